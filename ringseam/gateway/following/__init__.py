"""What a gateway knows: routes, backend servers, other gateways."""
