"""A load balancer for backend servers whose load shifts in milliseconds."""

from berylhaven._version import VERSION

__all__ = ["VERSION"]
