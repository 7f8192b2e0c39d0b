"""Tests of ``gateway.following``."""
