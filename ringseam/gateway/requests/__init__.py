"""Handling of client requests: admission, server selection, forwarding and responses."""
