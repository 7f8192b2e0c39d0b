"""The gateway: client requests from first byte to last, without agents."""
