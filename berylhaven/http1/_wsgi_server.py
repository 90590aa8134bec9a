"""Serving a WSGI application on one port."""

from collections.abc import Callable

import eventlet
import eventlet.wsgi

LISTEN_BACKLOG = 512
KEEPALIVE_TIMEOUT_S = 60.0
# Answers go on as they come; the server would hold small pieces back.
MINIMUM_CHUNK_BYTES = 1


class _NullLog:
    """Drops the WSGI server's own lines; the program logs calls itself."""

    def info(self, *arguments: object) -> None:
        """Drop a line."""

    error = debug = info


def serve(
    host: str,
    port: int,
    application: Callable,
    concurrency_limit: int,
    socket_timeout_s: float,
    protocol: Callable = eventlet.wsgi.HttpProtocol,
    request_line_limit_bytes: int = eventlet.wsgi.MAX_REQUEST_LINE,
) -> eventlet.greenthread.GreenThread:
    """Serve an application in a green thread.

    Parameters
    ----------
    host : str
        The IP number to listen on.
    port : int
        The port to listen on.
    application : callable
        The WSGI application.
    concurrency_limit : int
        The most connections served at once.
    socket_timeout_s : float
        A peer that is silent for longer within a request is cut off.
    protocol : callable
        Serves one connection, given the server's record of it and the server.
    request_line_limit_bytes : int
        The longest request line.

    Returns
    -------
    GreenThread
        Ends when the listening socket is closed or the thread is killed.
    """
    listener = eventlet.listen((host, port), backlog=LISTEN_BACKLOG, reuse_port=False)
    return eventlet.spawn(
        eventlet.wsgi.server,
        listener,
        application,
        log=_NullLog(),
        log_output=False,
        debug=False,
        max_size=concurrency_limit,
        socket_timeout=socket_timeout_s,
        keepalive=KEEPALIVE_TIMEOUT_S,
        minimum_chunk_size=MINIMUM_CHUNK_BYTES,
        capitalize_response_headers=False,
        protocol=protocol,
        url_length_limit=request_line_limit_bytes,
    )
