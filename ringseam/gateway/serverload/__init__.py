"""Load, speed, connections and outstanding work of each backend server."""
