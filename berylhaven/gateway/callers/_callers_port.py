"""The port that serves callers' requests."""

import collections
import errno
import functools
import socket
import traceback
from collections.abc import Callable

import eventlet
import eventlet.wsgi

from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.callers._caller_connection import CallerConnection
from berylhaven.gateway.callers._close_reason import CloseReason
from berylhaven.gateway.callers._drain import Drain
from berylhaven.gateway.callers._drain_log import DrainLog
from berylhaven.gateway.callers._held_bytes import HeldBytes
from berylhaven.gateway.callers._request import (
    GatewayAnswer,
    GatewayRequest,
    error_answer,
)
from berylhaven.gateway.callers._request_progress import RequestStage
from berylhaven.http1 import serve
from berylhaven.routes import CallerLimits

# The maximum number of open connections; each takes a file descriptor and some
# kilobytes.
CONNECTIONS_LIMIT = 1_500
# The WSGI server's timeout is not used: each connection applies its own limits.
SOCKET_TIMEOUT_S = 600.0


class CallersPort:
    """Serves callers' connections and closes them while the instance is draining.

    Parameters
    ----------
    application : callable
        Returns the answer to a request.
    routes : ActiveRoutes
        The active configuration, with the callers' limits.
    dialect : Dialect
        The header names of the deployment.
    event_log : EventLog
        Receives a line for each rejected head and each internal error.
    is_peer : callable
        Returns whether a host is that of another instance.
    held : HeldBytes
        The account of held bytes.
    drain : Drain
        Tells which requests are still taken.
    metrics : GatewayMetrics
        Counts the connections that are closed after an answer.
    """

    __slots__ = (
        "is_peer",
        "held",
        "_application",
        "_routes",
        "dialect",
        "_event_log",
        "_connections",
        "_drain",
        "_closed_connections",
        "_accept_failures",
        "drain_log",
        "is_accepting",
    )

    def __init__(
        self,
        application: Callable[[GatewayRequest], GatewayAnswer],
        routes: ActiveRoutes,
        dialect: Dialect,
        event_log: EventLog,
        is_peer: Callable[[str], bool],
        held: HeldBytes,
        drain: Drain,
        metrics: GatewayMetrics,
    ) -> None:
        # The account of the bytes held for callers and servers.
        self.held = held
        # Whether a host is that of another instance.
        self.is_peer = is_peer
        self._application = application
        self._routes = routes
        # The header names of the deployment.
        self.dialect = dialect
        self._event_log = event_log
        self._connections: set[CallerConnection] = set()
        self._drain = drain
        # Records the requests that a drain ends.
        self.drain_log = DrainLog(drain, event_log, metrics)
        self._closed_connections = metrics.counter(
            "caller_connections_closed_total",
            "Connections of callers that were closed after an answer, by reason.",
        )
        self._accept_failures = metrics.counter(
            "accept_failures_total",
            "Times at which connections of callers could no longer be accepted.",
        )
        # Whether connections of callers can be accepted.
        self.is_accepting = True

    @property
    def caller_limits(self) -> CallerLimits:
        """The active limits for callers."""
        return self._routes.caller_limits

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after their last pending answer."""
        return self._drain.has_begun

    def gives_up(self, due_at_s: float) -> bool:
        """Return whether a pending request gets an answer of this instance now.

        Parameters
        ----------
        due_at_s : float
            The time at which the request has its final answer at the latest.

        Returns
        -------
        bool
            True at the end of a drain.
        """
        return self._drain.gives_up(monotonic_s(), due_at_s)

    def check_intake(self, request: GatewayRequest) -> None:
        """Raise an error if a request may not be taken, before its body is read.

        Parameters
        ----------
        request : GatewayRequest
            The caller's request.

        Raises
        ------
        DrainRefusal
            If its answer may be due after the end of the process.
        """
        if self._drain.has_begun and self._routes.is_loaded:
            route = self._routes.table.find(request.host, request.path)
            if route is not None:
                due_at_s = request.due_at_s(route.timeout_s)
                self._drain.check_intake(monotonic_s(), due_at_s)

    @property
    def pending_count(self) -> int:
        """The number of requests that have begun to arrive and are not yet answered."""
        return sum(connection.pending_count for connection in self._connections)

    @property
    def unread_count(self) -> int:
        """The number of connections with input that was received and not yet read."""
        return sum(connection.has_unread_input for connection in self._connections)

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

    def answer(self, request: GatewayRequest) -> GatewayAnswer:
        """Answer one request; an internal error is answered with status 500.

        Parameters
        ----------
        request : GatewayRequest
            The caller's request.

        Returns
        -------
        GatewayAnswer
            The final answer.
        """
        try:
            return self._application(request)
        except Exception as error:
            self._event_log.write_failure(
                "callers",
                "fault",
                request=request.request_id,
                error=type(error).__name__,
                trace=traceback.format_exc(),
            )
            return error_answer(500, f"internal error of type {type(error).__name__}")

    def log_head_rejected(
        self, request_id: str | None, status: int, message: str
    ) -> None:
        """Log that a request was rejected by its head.

        Parameters
        ----------
        request_id : str or None
            The request id from the caller, if it is known.
        status : int
            The HTTP status of the answer.
        message : str
            The reason for the rejection.
        """
        self._event_log.write_failure(
            "callers",
            "head refused",
            request=request_id,
            status=status,
            reason=message,
        )

    def end_requests(self, reason: str) -> dict[str, int]:
        """Log the requests that the end of the process leaves unanswered.

        Parameters
        ----------
        reason : str
            Why they end.

        Returns
        -------
        dict of str to int
            How many requests are at which stage, and how many connections have input
            that was not read.
        """
        connections = list(self._connections)
        stages = collections.Counter(
            progress.stage.value
            for connection in connections
            for progress in connection.pending_progress()
        )
        for connection in connections:
            self.drain_log.record_unanswered(connection.pending_progress(), reason)
        self.drain_log.end()
        return {
            "pending": self.pending_count,
            **{stage.value: stages[stage.value] for stage in RequestStage},
            "unread": self.unread_count,
            "connections": len(connections),
        }

    def record_close(self, reason: CloseReason) -> None:
        """Count a connection that is closed after an answer."""
        self._closed_connections.inc({"reason": reason.value})

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
        connection = CallerConnection(self.connection, self.rfile, self._port)
        self._port.add(connection)
        try:
            connection.serve()
        finally:
            self._port.remove(connection)


def _unused_application(environ: dict, start_response: Callable) -> list[bytes]:
    """Placeholder for the WSGI application, which the protocol does not call."""
    raise NotImplementedError("requests are answered by CallerConnection")
