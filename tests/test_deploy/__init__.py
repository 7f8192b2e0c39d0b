"""Tests of the files by which the platform runs the product."""
