"""The callers' interface: the locate answer, and calls passed to backend servers."""

from berylhaven.proxy._application import CallersApplication
from berylhaven.proxy._call_handler import CallHandler
from berylhaven.proxy._connection_pool import ConnectionPool
from berylhaven.proxy._server import serve

__all__ = ["CallHandler", "CallersApplication", "ConnectionPool", "serve"]
