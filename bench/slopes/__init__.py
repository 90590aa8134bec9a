"""Measures how the resource use of one entry instance grows with the fleet."""
