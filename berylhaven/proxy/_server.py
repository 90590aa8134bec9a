"""Server of the callers' port."""

import functools
from collections.abc import Callable

import eventlet

from berylhaven.http1 import serve
from berylhaven.proxy._callers_protocol import CallersProtocol
from berylhaven.settings import Settings

# Callers keep idle connections, so more connections are open than calls in flight.
CONNECTIONS_PER_CALL = 4


def serve_callers(
    settings: Settings, application: Callable
) -> eventlet.greenthread.GreenThread:
    """Serve the callers' port.

    Parameters
    ----------
    settings : Settings
        Gives the port and the limits.
    application : callable
        The WSGI application.

    Returns
    -------
    GreenThread
        Ends when the listening socket is closed or the thread is killed.
    """
    proxy = settings.proxy
    return serve(
        settings.instance.host,
        settings.instance.callers_port,
        application,
        CONNECTIONS_PER_CALL * proxy.concurrency_limit,
        proxy.sender_timeout_s,
        functools.partial(CallersProtocol, proxy),
        # CallersProtocol itself refuses heads that exceed the limit.
        proxy.header_limit_bytes + 2,
    )
