"""The gateway: handles client requests end to end, without agents."""
