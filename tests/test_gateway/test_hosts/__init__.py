"""Tests of what a host has and holds."""
