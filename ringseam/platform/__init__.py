"""Adapter between the platform provider's wire formats and Ringseam's own types."""
