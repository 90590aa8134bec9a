"""A benchmark of the routing policies with simulated backend servers."""
