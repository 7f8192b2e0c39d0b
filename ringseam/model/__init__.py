"""Simulate load and backend servers in virtual time, with the gateway's real policies."""
