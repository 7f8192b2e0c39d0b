"""State that a gateway keeps about routes, backend servers and other gateways."""
