"""A measurement of the routing policies at small fake backend servers."""
