"""Tests of the files that the platform deploys the system with."""
