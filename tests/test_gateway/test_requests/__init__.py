"""Tests of ``gateway.requests``."""
