"""A client's request from its first byte to its last."""
