"""Measurements: each module is a program that prints its figures."""
