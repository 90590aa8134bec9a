"""Slopes: what one entry instance costs as the fleet around it grows."""
