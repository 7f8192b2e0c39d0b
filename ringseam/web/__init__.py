"""Asynchronous HTTP/1.1 client and server; both use h11 as the parser."""
