"""A model of backend servers in virtual time, driven by the gateway's own policies."""
