"""Attempts at backend servers over pooled connections."""

from collections.abc import Callable

from berylhaven.http1._connection_pool import ConnectionCounts, ConnectionPool
from berylhaven.http1._upstream_answer import UpstreamAnswer
from berylhaven.http1._upstream_connection import UpstreamConnection
from berylhaven.proxy._attempt import AttemptLimits, send_attempt
from berylhaven.proxy._call_request import CallRequest
from berylhaven.proxy._caller_watch import CallerWatch
from berylhaven.settings import ProxySettings


class UpstreamExchange:
    """An answer whose connection is still held for the rest of its body.

    Parameters
    ----------
    pool : ConnectionPool
        Where the connection came from.
    connection : UpstreamConnection
        The connection.
    answer : UpstreamAnswer
        The answer.
    """

    __slots__ = ("_pool", "_connection", "answer")

    def __init__(
        self,
        pool: ConnectionPool,
        connection: UpstreamConnection,
        answer: UpstreamAnswer,
    ) -> None:
        self._pool = pool
        self._connection: UpstreamConnection | None = connection
        # The answer, its body read in part.
        self.answer = answer

    def release(self, is_reusable: bool) -> None:
        """Give the connection back, once; further calls do nothing.

        Parameters
        ----------
        is_reusable : bool
            Whether the answer was read to its exact end.
        """
        if self._connection is not None:
            connection, self._connection = self._connection, None
            self._pool.put_back(connection, is_reusable)


class UpstreamCaller:
    """Makes attempts and keeps the connections for them.

    Parameters
    ----------
    settings : ProxySettings
        With the bounds of heads and bodies.
    connection_limit_for : callable
        Returns the most connections that this instance may have to an address.
    """

    __slots__ = ("_settings", "_watch", "pool")

    def __init__(
        self, settings: ProxySettings, connection_limit_for: Callable[[str], int]
    ) -> None:
        self._settings = settings
        self._watch = CallerWatch()
        # The connections.
        self.pool = ConnectionPool(connection_limit_for, settings.header_limit_bytes)

    def attempt(
        self,
        address: str,
        request: CallRequest,
        unresponsive_timeout_s: float | None = None,
        needs_new: bool = False,
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
            How long the answer may take on a connection that was open before, until
            that is held to be silent; None to wait until the deadline.
        needs_new : bool
            Whether only a new connection will do, as after a silent one.
        may_give_up : callable or None
            Asked once if the answer is late and the call is safe to send again; the
            attempt goes on if it says no. None stands for yes.

        Returns
        -------
        UpstreamExchange
            The answer; its `release` must be called.

        Raises
        ------
        AttemptFailed
            With the place at which it ended; the connection is closed then.
        """
        is_idempotent = request.is_idempotent
        connection = self.pool.acquire(address, is_idempotent, needs_new)
        # A connection that was just opened works; a late answer on it is a slow one.
        reused_timeout_s = unresponsive_timeout_s if connection.is_open else None
        limits = AttemptLimits(
            self._settings.chunk_bytes,
            reused_timeout_s,
            lambda: self.pool.condemn(connection),
            may_give_up,
        )
        answer = None
        try:
            answer = send_attempt(connection, request, limits, self._watch)
        finally:
            if answer is None:
                # Also when this green thread is ended from outside.
                self.pool.put_back(connection, is_reusable=False)
        return UpstreamExchange(self.pool, connection, answer)

    def counts(self, address: str) -> ConnectionCounts:
        """Return how many connections to a server are open."""
        return self.pool.counts(address)
