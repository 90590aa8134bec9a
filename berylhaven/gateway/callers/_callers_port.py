"""The port that serves callers' requests."""

import collections
import errno
import functools
import socket
from collections.abc import Callable

import eventlet
import eventlet.wsgi

from berylhaven.event_log import EventLog
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.callers._caller_connection import CallerConnection
from berylhaven.gateway.callers._connection_context import ConnectionContext
from berylhaven.gateway.callers._request_end_log import ConnectionEnd
from berylhaven.gateway.callers._request_progress import RequestStage
from berylhaven.http1 import serve

# The maximum number of open connections; each takes a file descriptor and some
# kilobytes.
CONNECTIONS_LIMIT = 1_500
# The WSGI server's timeout is not used: each connection applies its own limits.
SOCKET_TIMEOUT_S = 600.0


class CallersPort:
    """Serves callers' connections and closes them while the instance is draining.

    Parameters
    ----------
    context : ConnectionContext
        What the connections share.
    event_log : EventLog
        Receives a line when connections can't be accepted.
    metrics : GatewayMetrics
        Counts these failures.
    """

    __slots__ = (
        "context",
        "_event_log",
        "_connections",
        "_accept_failures",
        "is_accepting",
    )

    def __init__(
        self, context: ConnectionContext, event_log: EventLog, metrics: GatewayMetrics
    ) -> None:
        # What the connections share.
        self.context = context
        self._event_log = event_log
        self._connections: set[CallerConnection] = set()
        self._accept_failures = metrics.counter(
            "accept_failures_total",
            "Times at which connections of callers could no longer be accepted.",
        )
        # Whether connections of callers can be accepted.
        self.is_accepting = True

    @property
    def pending_count(self) -> int:
        """The number of requests that have begun to arrive and are not yet answered."""
        return sum(connection.pending_count for connection in self._connections)

    @property
    def unread_count(self) -> int:
        """The number of connections with input that was received and not yet read."""
        return sum(connection.has_unread_input for connection in self._connections)

    @property
    def undelivered_count(self) -> int:
        """The number of connections with output that the caller has not received."""
        return sum(c.has_undelivered_output for c in self._connections)

    @property
    def unfinished_count(self) -> int:
        """The number of requests and connections that keep a drain from its end."""
        return self.pending_count + self.unread_count + self.undelivered_count

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def listen(self, address: str) -> eventlet.greenthread.GreenThread:
        """Serve an address from a new green thread.

        Parameters
        ----------
        address : str
            The address as HOST:PORT.

        Returns
        -------
        GreenThread
            The server; it runs until it is killed.
        """
        host, _, port = address.rpartition(":")
        return serve(
            host,
            int(port),
            _unused_application,
            CONNECTIONS_LIMIT,
            SOCKET_TIMEOUT_S,
            functools.partial(PipelinedProtocol, self),
            on_accept_failure=self._record_accept_failure,
        )

    def _record_accept_failure(self, error: OSError | None) -> None:
        self.is_accepting = error is None
        if error is None:
            self._event_log.write("callers", "accepting again")
            return
        self._accept_failures.inc({"error": errno.errorcode.get(error.errno, "other")})
        self._event_log.write_failure("callers", "not accepting", error=str(error))

    def end_requests(self) -> dict[str, int]:
        """Log the requests that the end of the process leaves unanswered.

        Returns
        -------
        dict of str to int
            How many requests are at which stage, and how many connections have input
            that was not read, or output that was not delivered.
        """
        connections = list(self._connections)
        stages = collections.Counter(
            progress.stage.value
            for connection in connections
            for progress in connection.pending_progress()
        )
        for connection in connections:
            self.context.end_log.record_unanswered(
                connection.pending_progress(), ConnectionEnd.INSTANCE_STOPS
            )
        self.context.end_log.stop()
        return {
            "pending": self.pending_count,
            **{stage.value: stages[stage.value] for stage in RequestStage},
            "unread": self.unread_count,
            "undelivered": self.undelivered_count,
            "connections": len(connections),
        }

    def add(self, connection: CallerConnection) -> None:
        """Register an open connection."""
        self._connections.add(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def give_up(self) -> None:
        """Answer the pending requests that the drain gives up."""
        for connection in list(self._connections):
            connection.give_up()

    def close_idle(self) -> None:
        """Close the connections that have no pending request."""
        for connection in list(self._connections):
            connection.close_if_idle()


class PipelinedProtocol(eventlet.wsgi.HttpProtocol):
    """Serves a connection of the WSGI server by a `CallerConnection`.

    Parameters
    ----------
    port : CallersPort
        The port that owns the connection.
    conn_state : list
        The WSGI server's state of the connection.
    server : eventlet.wsgi.Server
        The WSGI server.
    """

    # The size of a connection's read buffer. Most heads fit, and larger reads of bodies
    # bypass it; the default is 8,192 bytes.
    rbufsize = 2_048

    def __init__(self, port: CallersPort, conn_state: list, server: object) -> None:
        self._port = port
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Set TCP_NODELAY, so that small answers are sent immediately."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def handle(self) -> None:
        """Serve the connection until it is closed."""
        connection = CallerConnection(self.connection, self.rfile, self._port.context)
        self._port.add(connection)
        try:
            connection.serve()
        finally:
            self._port.remove(connection)


def _unused_application(environ: dict, start_response: Callable) -> list[bytes]:
    """Placeholder for the WSGI application, which the protocol does not call."""
    raise NotImplementedError("requests are answered by CallerConnection")
