"""Pieces of stages: graph, batches, calls and results."""
