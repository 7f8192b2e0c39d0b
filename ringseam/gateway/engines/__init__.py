"""Placement of requests on model engines, and detection of silent engines."""
