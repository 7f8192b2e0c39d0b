"""Tests of ``gateway.accounts``."""
