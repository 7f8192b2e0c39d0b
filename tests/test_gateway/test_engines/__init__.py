"""Tests of ``gateway.engines``."""
