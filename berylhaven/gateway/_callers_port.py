"""The port on which callers' requests come in."""

import functools
import socket
import traceback
from collections.abc import Callable

import eventlet
import eventlet.wsgi

from berylhaven.event_log import EventLog
from berylhaven.gateway._caller_connection import CallerConnection
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._request import GatewayAnswer, GatewayRequest, error_answer
from berylhaven.gateway._routes_in_force import RoutesInForce
from berylhaven.http1 import serve
from berylhaven.routes import CallerLimits

# Connections of callers at once; each takes a descriptor and some kilobytes.
CONNECTIONS_LIMIT = 1_500
# The WSGI server's own limits do not apply: each connection has its own.
SOCKET_TIMEOUT_S = 600.0


class CallersPort:
    """Serves callers' connections, and ends them when the instance drains.

    Parameters
    ----------
    application : callable
        Returns the answer of a request.
    routes : RoutesInForce
        With the callers' limits.
    dialect : Dialect
        The headers' names.
    event_log : EventLog
        Gets a line for each refused head and each fault.
    """

    __slots__ = (
        "_application",
        "_routes",
        "dialect",
        "_event_log",
        "_connections",
        "is_draining",
    )

    def __init__(
        self,
        application: Callable[[GatewayRequest], GatewayAnswer],
        routes: RoutesInForce,
        dialect: Dialect,
        event_log: EventLog,
    ) -> None:
        self._application = application
        self._routes = routes
        # The headers' names.
        self.dialect = dialect
        self._event_log = event_log
        self._connections: set[CallerConnection] = set()
        # Whether each connection is to be ended with its next answer.
        self.is_draining = False

    @property
    def caller_limits(self) -> CallerLimits:
        """What callers may send now."""
        return self._routes.caller_limits

    @property
    def pending_count(self) -> int:
        """Requests that were read and are not answered yet."""
        return sum(connection.pending_count for connection in self._connections)

    @property
    def connection_count(self) -> int:
        """Open connections of callers."""
        return len(self._connections)

    def listen(self, address: str) -> eventlet.greenthread.GreenThread:
        """Serve an address in a green thread.

        Parameters
        ----------
        address : str
            HOST:PORT.

        Returns
        -------
        GreenThread
            Ends when it is killed.
        """
        host, _, port = address.rpartition(":")
        return serve(
            host,
            int(port),
            _no_application,
            CONNECTIONS_LIMIT,
            SOCKET_TIMEOUT_S,
            functools.partial(PipelinedProtocol, self),
        )

    def answer(self, request: GatewayRequest) -> GatewayAnswer:
        """Answer one request; a fault of ours gets an answer too.

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
            answer = error_answer(500, f"fault of kind {type(error).__name__}")
            answer.closes_connection = not request.body.is_ended
            return answer

    def log_head_rejected(self, status: int, message: str) -> None:
        """Log that a head was refused.

        Parameters
        ----------
        status : int
            The HTTP status of the refusal.
        message : str
            Why it was refused.
        """
        self._event_log.write_failure(
            "callers", "head refused", status=status, reason=message
        )

    def add(self, connection: CallerConnection) -> None:
        """Count a connection as open."""
        self._connections.add(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Count a connection as closed."""
        self._connections.discard(connection)

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self._connections):
            connection.close_if_idle()


class PipelinedProtocol(eventlet.wsgi.HttpProtocol):
    """Hands a connection of the WSGI server to a `CallerConnection`.

    Parameters
    ----------
    port : CallersPort
        The port.
    conn_state : list
        The WSGI server's record of the connection.
    server : eventlet.wsgi.Server
        The WSGI server.
    """

    def __init__(self, port: CallersPort, conn_state: list, server: object) -> None:
        self._port = port
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Send small answers at once."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def handle(self) -> None:
        """Serve the connection until it ends."""
        connection = CallerConnection(self.connection, self.rfile, self._port)
        self._port.add(connection)
        try:
            connection.serve()
        finally:
            self._port.remove(connection)


def _no_application(environ: dict, start_response: Callable) -> list[bytes]:
    """Stand in for the WSGI application, which the protocol does not call."""
    raise NotImplementedError("requests are answered by CallerConnection")
