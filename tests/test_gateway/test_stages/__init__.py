"""Tests of ``gateway.stages``."""
