"""Tests of ``cmd``."""
