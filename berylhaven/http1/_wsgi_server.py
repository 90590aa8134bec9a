"""The WSGI server of one port."""

import functools
from collections.abc import Callable

import eventlet
import eventlet.wsgi

from berylhaven.http1._bounded_protocol import BoundedProtocol
from berylhaven.http1._port_connections import PortConnections
from berylhaven.http1._retrying_listener import RetryingListener

LISTEN_BACKLOG = 512
KEEPALIVE_TIMEOUT_S = 60.0
# Forward each piece of an answer at once; by default the server buffers small pieces.
MIN_CHUNK_BYTES = 1


class _NullLog:
    """Discards the log lines of the WSGI server; calls are logged elsewhere."""

    def info(self, *arguments: object) -> None:
        """Discard a line."""

    error = debug = info


def serve(
    host: str,
    port: int,
    application: Callable,
    concurrency_limit: int,
    socket_timeout_s: float,
    protocol: Callable | None = None,
    request_line_limit_bytes: int = eventlet.wsgi.MAX_REQUEST_LINE,
    on_accept_failure: Callable[[OSError | None], None] = lambda error: None,
    body_limit_bytes: int = 0,
) -> eventlet.greenthread.GreenThread:
    """Serve an application in a green thread.

    Parameters
    ----------
    host : str
        The IP address to listen on.
    port : int
        The port to listen on.
    application : callable
        The WSGI application.
    concurrency_limit : int
        The maximum number of connections served concurrently.
    socket_timeout_s : float
        The time limit of a socket operation within a request, in seconds; the
        connection is closed after it. `BoundedProtocol` has it for a whole head and for
        a whole body as well.
    protocol : callable or None
        Serves one connection, given its connection state and the server; None for a
        `BoundedProtocol`.
    request_line_limit_bytes : int
        The size limit of the request line, in bytes.
    on_accept_failure : callable
        Called with the error when connections can't be accepted, and with None once
        they can be again.
    body_limit_bytes : int
        The size limit of a request body in bytes; for `BoundedProtocol` only.

    Returns
    -------
    GreenThread
        Runs until the listening socket is closed or the thread is killed.
    """
    if protocol is None:
        connections = PortConnections(concurrency_limit, body_limit_bytes)
        protocol = functools.partial(BoundedProtocol, connections)
    else:
        connections = eventlet.GreenPool(concurrency_limit)
    listener = eventlet.listen((host, port), backlog=LISTEN_BACKLOG, reuse_port=False)
    return eventlet.spawn(
        eventlet.wsgi.server,
        RetryingListener(listener, on_accept_failure),
        application,
        log=_NullLog(),
        log_output=False,
        debug=False,
        custom_pool=connections,
        socket_timeout=socket_timeout_s,
        keepalive=KEEPALIVE_TIMEOUT_S,
        minimum_chunk_size=MIN_CHUNK_BYTES,
        capitalize_response_headers=False,
        protocol=protocol,
        url_length_limit=request_line_limit_bytes,
    )
