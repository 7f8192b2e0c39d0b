"""HTTP/1.1 over the event loop, with h11 as the parser on both sides."""
