"""Pool of connections to backend servers, each used for one call at a time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.http1._connect_backoff import ConnectBackoff
from berylhaven.http1._open_cause import OpenCause
from berylhaven.http1._upstream_connection import UpstreamConnection

# A connection that was idle for longer may have been dropped by the network. A call
# that is not idempotent must not run twice, so it can't be retried if it is lost there,
# and uses a newer connection.
NON_IDEMPOTENT_IDLE_LIMIT_S = 2.0
# Connections that were idle for longer are closed.
IDLE_LIMIT_S = 20.0
# Connections opened within this time after another one count as equally old.
SIBLING_AGE_TOLERANCE_S = 0.5
# Interval between checks for expired idle connections.
SWEEP_INTERVAL_S = 1.0
# The number of addresses without a connection whose last close is remembered.
CLOSE_CAUSES_LIMIT = 4_096


@dataclass(slots=True, frozen=True)
class ConnectionCounts:
    """Numbers of open connections to one backend server."""

    # Connections in use by a call.
    busy_count: int
    # Idle connections.
    idle_count: int

    @property
    def open_count(self) -> int:
        """The number of busy and idle connections."""
        return self.busy_count + self.idle_count


@dataclass(slots=True)
class _ServerConnections:
    """The connections to one backend server."""

    # Decides when a new connection may be opened.
    backoff: ConnectBackoff
    # Idle connections, the most recently used one last.
    idle: list[UpstreamConnection] = field(default_factory=list)
    # Connections in use by a call.
    busy: set[UpstreamConnection] = field(default_factory=set)

    @property
    def open_count(self) -> int:
        """The number of busy and idle connections."""
        return len(self.idle) + len(self.busy)


class ConnectionPool:
    """Keeps connections by backend server and reuses the most recently used one first.

    Parameters
    ----------
    connection_limit_for : callable
        Returns the connection limit of this instance for an address.
    head_limit_bytes : int
        The size limit of an answer's header fields, in bytes.
    rng : random.Random or None
        The random number generator of the backoff; None for a new one.
    idle_limit_s : float
        The idle time after which a connection is closed, in seconds.
    record_open : callable
        Called with the cause of each new connection.
    """

    __slots__ = (
        "_idle_limit_s",
        "_connection_limit_for",
        "_head_limit_bytes",
        "_random",
        "_record_open",
        "_servers",
        "_close_causes",
        "_swept_at_s",
        "_is_closed",
    )

    def __init__(
        self,
        connection_limit_for: Callable[[str], int],
        head_limit_bytes: int,
        rng: random.Random | None = None,
        idle_limit_s: float = IDLE_LIMIT_S,
        record_open: Callable[[OpenCause], None] = lambda cause: None,
    ) -> None:
        self._record_open = record_open
        self._idle_limit_s = idle_limit_s
        self._connection_limit_for = connection_limit_for
        self._head_limit_bytes = head_limit_bytes
        self._random = rng or random.Random()
        self._servers: dict[str, _ServerConnections] = {}
        # Why the last connection to an address was closed, the latest one last.
        self._close_causes: dict[str, OpenCause] = {}
        self._swept_at_s = monotonic_s()
        self._is_closed = False

    def acquire(
        self,
        address: str,
        is_idempotent: bool = False,
        requires_new_connection: bool = False,
        request_id: str | None = None,
    ) -> UpstreamConnection:
        """Return an idle connection to a server, or a new one that is not yet open.

        Parameters
        ----------
        address : str
            HOST:PORT of the backend server.
        is_idempotent : bool
            Whether the call may run more than once and so may use a connection that
            was idle for longer than NON_IDEMPOTENT_IDLE_LIMIT_S.
        requires_new_connection : bool
            Whether to skip the idle connections.
        request_id : str or None
            The id of the request; connections that carried one with this id are
            skipped. None if it has none.

        Returns
        -------
        UpstreamConnection
            A connection for one call; it must be given to `release` afterwards.

        Raises
        ------
        AttemptFailed
            If no idle connection is usable and no new one may be opened now, because
            of the backoff or of the connection limit, or if the pool was closed.
        """
        if self._is_closed:
            raise AttemptFailed(AttemptEnd.INSTANCE_STOPS, "this instance has stopped")
        now_s = monotonic_s()
        if now_s - self._swept_at_s >= SWEEP_INTERVAL_S:
            self.close_expired()
        server = self._server(address)
        if not requires_new_connection:
            connection = self._pop_idle(server, now_s, is_idempotent, request_id)
            if connection is not None:
                server.busy.add(connection)
                return connection
        cause = self._open_cause(server, address, now_s, request_id)
        self._check_connect_allowed(server, address, now_s)
        self._record_open(cause)
        connection = UpstreamConnection(address, self._head_limit_bytes)
        server.busy.add(connection)
        return connection

    def _server(self, address: str) -> _ServerConnections:
        server = self._servers.get(address)
        if server is None:
            server = _ServerConnections(ConnectBackoff(self._random))
            self._servers[address] = server
        return server

    def _open_cause(
        self,
        server: _ServerConnections,
        address: str,
        now_s: float,
        request_id: str | None,
    ) -> OpenCause:
        if server.idle:
            if request_id is not None and server.idle[-1].has_carried(request_id):
                return OpenCause.SAME_ID
            is_expired = self._is_expired(server.idle[-1], now_s)
            return OpenCause.EXPIRED if is_expired else OpenCause.TOO_IDLE
        if server.busy:
            return OpenCause.BUSY
        return self._close_causes.get(address, OpenCause.FIRST)

    def _note_close(self, address: str, cause: OpenCause) -> None:
        self._close_causes.pop(address, None)
        self._close_causes[address] = cause
        if len(self._close_causes) > CLOSE_CAUSES_LIMIT:
            del self._close_causes[next(iter(self._close_causes))]

    def _pop_idle(
        self,
        server: _ServerConnections,
        now_s: float,
        is_idempotent: bool,
        request_id: str | None,
    ) -> UpstreamConnection | None:
        """Remove and return the usable connection that was used most recently."""
        skipped: list[UpstreamConnection] = []
        if request_id is not None:
            skipped = [c for c in server.idle if c.has_carried(request_id)]
        if not skipped:
            return self._pop_usable(server, now_s, is_idempotent)
        server.idle[:] = [c for c in server.idle if c not in skipped]
        connection = self._pop_usable(server, now_s, is_idempotent)
        server.idle[:] = sorted(server.idle + skipped, key=lambda c: c.used_at_s)
        return connection

    def _pop_usable(
        self, server: _ServerConnections, now_s: float, is_idempotent: bool
    ) -> UpstreamConnection | None:
        idle_limit_s = (
            self._idle_limit_s if is_idempotent else NON_IDEMPOTENT_IDLE_LIMIT_S
        )
        while server.idle:
            # The last one was used most recently: the others were idle for longer.
            idle_s = now_s - server.idle[-1].used_at_s
            if idle_s > idle_limit_s:
                return None
            connection = server.idle.pop()
            if idle_s <= connection.idle_limit_s and connection.is_input_empty():
                return connection
            connection.close()
            self._note_close(connection.address, OpenCause.CLOSED_BY_SERVER)
        return None

    def _check_connect_allowed(
        self, server: _ServerConnections, address: str, now_s: float
    ) -> None:
        if not server.backoff.may_connect(now_s):
            message = f"connecting to {address} failed recently; backing off"
            raise AttemptFailed(AttemptEnd.NOT_CONNECTED, message)
        limit = self._connection_limit_for(address)
        if server.open_count >= limit and server.idle:
            # The idle connections can't serve this call; one makes room for a new one.
            server.idle.pop(0).close()
        if server.open_count >= limit:
            message = f"all {limit} connections to {address} are in use"
            raise AttemptFailed(AttemptEnd.CONNECTION_LIMIT, message)

    def release(self, connection: UpstreamConnection, is_reusable: bool) -> None:
        """Return a connection to the pool, or close it if it is not reusable.

        Parameters
        ----------
        connection : UpstreamConnection
            A connection that `acquire` returned.
        is_reusable : bool
            Whether its last answer was read exactly to its end.
        """
        server = self._server(connection.address)
        server.busy.discard(connection)
        self._update_backoff(server, connection)
        if not is_reusable or not connection.is_open or self._is_closed:
            connection.close()
            self._note_close(connection.address, OpenCause.NOT_REUSABLE)
            return
        connection.used_at_s = monotonic_s()
        server.idle.append(connection)

    def _update_backoff(
        self, server: _ServerConnections, connection: UpstreamConnection
    ) -> None:
        if connection.opened_at_s is None:
            if connection.was_open_attempted:
                server.backoff.record_failure(monotonic_s())
        else:
            server.backoff.record_success()

    def close_idle_siblings(self, connection: UpstreamConnection) -> None:
        """Close the idle connections that are as old as an unresponsive one or older.

        If a device on the path dropped the state of this connection, it has probably
        dropped that of connections of the same age and older too. Busy connections may
        still deliver their answers: each has its own timeout, and is reused only if its
        answer is complete.

        Parameters
        ----------
        connection : UpstreamConnection
            The connection whose answer is later than estimated.
        """
        server = self._server(connection.address)
        if connection.opened_at_s is None:
            return
        suspect_opened_until_s = connection.opened_at_s + SIBLING_AGE_TOLERANCE_S
        kept = []
        for idle in server.idle:
            if idle.opened_at_s <= suspect_opened_until_s:
                idle.close()
            else:
                kept.append(idle)
        server.idle[:] = kept

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address whose server was removed.

        Parameters
        ----------
        address : str
            HOST:PORT, which another server may reuse.
        """
        server = self._servers.get(address)
        if server is not None:
            while server.idle:
                server.idle.pop().close()
        self._close_causes.pop(address, None)

    def close(self) -> None:
        """Close the idle connections, and give out no connection any more.

        A check of a server or a retry may outlast the instance by seconds, and the
        address may be that of another server then.
        """
        self._is_closed = True
        for address in list(self._servers):
            self.close_idle(address)

    def close_expired(self) -> None:
        """Close connections past their idle limit and drop unused server records."""
        now_s = self._swept_at_s = monotonic_s()
        for address, server in list(self._servers.items()):
            while server.idle and self._is_expired(server.idle[0], now_s):
                server.idle.pop(0).close()
                self._note_close(address, OpenCause.EXPIRED)
            if server.open_count == 0 and server.backoff.is_expired(now_s):
                del self._servers[address]

    def _is_expired(self, connection: UpstreamConnection, now_s: float) -> bool:
        limit_s = min(self._idle_limit_s, connection.idle_limit_s)
        return now_s - connection.used_at_s > limit_s

    def counts(self, address: str) -> ConnectionCounts:
        """Return the numbers of open connections to a server."""
        server = self._servers.get(address)
        if server is None:
            return ConnectionCounts(0, 0)
        return ConnectionCounts(len(server.busy), len(server.idle))

    def open_count(self) -> int:
        """Return the number of open connections to all servers."""
        return sum(server.open_count for server in self._servers.values())
