"""Attempts at backend servers over pooled connections."""

from collections.abc import Callable

from berylhaven.http1._connection_pool import ConnectionCounts, ConnectionPool
from berylhaven.http1._upstream_answer import BodyFault, UpstreamAnswer
from berylhaven.http1._upstream_connection import UpstreamConnection
from berylhaven.proxy._attempt import AttemptLimits, send_attempt
from berylhaven.proxy._call_request import CallRequest
from berylhaven.proxy._caller_watch import CallerWatch
from berylhaven.proxy._stop_watch import StopWatch
from berylhaven.settings import ProxySettings


class UpstreamExchange:
    """An answer with the connection that still carries the rest of its body.

    Parameters
    ----------
    pool : ConnectionPool
        The pool that owns the connection.
    connection : UpstreamConnection
        The connection to the backend server.
    answer : UpstreamAnswer
        The answer, whose body is partly read.
    """

    __slots__ = ("_pool", "_connection", "answer", "on_fault")

    def __init__(
        self,
        pool: ConnectionPool,
        connection: UpstreamConnection,
        answer: UpstreamAnswer,
    ) -> None:
        self._pool = pool
        self._connection: UpstreamConnection | None = connection
        # The answer, whose body is partly read.
        self.answer = answer
        # Called at the release if the body broke off.
        self.on_fault: Callable[[BodyFault], None] = lambda fault: None

    def release(self, is_reusable: bool) -> None:
        """Return the connection to the pool; further calls do nothing.

        Parameters
        ----------
        is_reusable : bool
            Whether the answer was read exactly to its end.
        """
        if self._connection is not None:
            connection, self._connection = self._connection, None
            self._pool.release(connection, is_reusable)
            if self.answer.fault is not None:
                self.on_fault(self.answer.fault)


class UpstreamCaller:
    """Runs attempts over a pool of connections.

    Parameters
    ----------
    settings : ProxySettings
        Gives the size limits of heads and body pieces.
    connection_limit_for : callable
        Returns the connection limit of this instance for an address.
    stop_watch : StopWatch
        Ends the attempts when the instance stops.
    """

    __slots__ = ("_settings", "_watch", "_stop_watch", "pool")

    def __init__(
        self,
        settings: ProxySettings,
        connection_limit_for: Callable[[str], int],
        stop_watch: StopWatch,
    ) -> None:
        self._settings = settings
        self._stop_watch = stop_watch
        self._watch = CallerWatch()
        # The connections to backend servers.
        self.pool = ConnectionPool(connection_limit_for, settings.header_limit_bytes)

    def attempt(
        self,
        address: str,
        request: CallRequest,
        unresponsive_timeout_s: float | None = None,
        requires_new_connection: bool = False,
        may_give_up: Callable[[], bool] | None = None,
    ) -> UpstreamExchange:
        """Send a call to a backend server and wait for the head of its answer.

        Parameters
        ----------
        address : str
            HOST:PORT of the backend server.
        request : CallRequest
            The call.
        unresponsive_timeout_s : float or None
            How long the answer may take on a reused connection before that counts as
            unresponsive, in seconds; None to wait until the deadline.
        requires_new_connection : bool
            Whether to use a new connection only, as after an unresponsive one.
        may_give_up : callable or None
            Called once if that timeout passes and the call is safe to send again; the
            attempt goes on if it returns False. None always allows to give up.

        Returns
        -------
        UpstreamExchange
            The answer; its `release` must be called.

        Raises
        ------
        AttemptFailed
            If the attempt ends without an answer; the connection is closed.
        """
        is_idempotent = request.is_idempotent
        connection = self.pool.acquire(address, is_idempotent, requires_new_connection)
        # A newly opened connection works; a slow answer on it is due to the server.
        reused_timeout_s = unresponsive_timeout_s if connection.is_open else None
        limits = AttemptLimits(
            self._settings.chunk_bytes,
            reused_timeout_s,
            lambda: self.pool.close_idle_siblings(connection),
            may_give_up,
        )
        answer = None
        try:
            answer = send_attempt(
                connection, request, limits, self._stop_watch, self._watch
            )
        finally:
            if answer is None:
                # Also if this green thread is killed.
                self.pool.release(connection, is_reusable=False)
        return UpstreamExchange(self.pool, connection, answer)

    def counts(self, address: str) -> ConnectionCounts:
        """Return the numbers of connections to a backend server."""
        return self.pool.counts(address)
