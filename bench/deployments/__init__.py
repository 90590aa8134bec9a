"""Deployments drawn from a seed, to find what only the known ones have."""

from bench.deployments._deployment import (
    DrawnDeployment,
    DrawnRoute,
    draw_deployment,
)

__all__ = ["DrawnDeployment", "DrawnRoute", "draw_deployment"]
