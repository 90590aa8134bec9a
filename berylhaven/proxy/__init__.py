"""The callers' interface: locate answers, and calls sent to backend servers."""

from berylhaven.http1._connection_pool import ConnectionCounts, ConnectionPool
from berylhaven.proxy._application import CallersApplication
from berylhaven.proxy._call_handler import CallHandler
from berylhaven.proxy._callers_protocol import END_CONNECTION_KEY
from berylhaven.proxy._server import serve_callers
from berylhaven.proxy._unresponsive_timeout import unresponsive_timeout_s
from berylhaven.proxy._upstream_caller import UpstreamCaller, UpstreamExchange

__all__ = [
    "END_CONNECTION_KEY",
    "CallHandler",
    "CallersApplication",
    "ConnectionCounts",
    "ConnectionPool",
    "UpstreamCaller",
    "UpstreamExchange",
    "unresponsive_timeout_s",
    "serve_callers",
]
