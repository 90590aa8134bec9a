"""Open connections to backend servers, each carrying one call at a time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.http1._connect_backoff import ConnectBackoff
from berylhaven.http1._upstream_connection import UpstreamConnection

# Idle for longer, a connection may have been dropped on the way: what may not run
# twice goes over a newer one, so that no call is lost in it.
NON_IDEMPOTENT_IDLE_LIMIT_S = 2.0
# Idle for longer, a connection is closed.
IDLE_LIMIT_S = 20.0
# Connections that were opened within this time of one another are of one age.
SAME_AGE_S = 0.5
# How often the pool looks for connections that are idle for too long.
SWEEP_EVERY_S = 1.0


@dataclass(slots=True, frozen=True)
class ConnectionCounts:
    """How many connections to one backend server are open."""

    # Carrying a call.
    busy_count: int
    # Waiting for one.
    idle_count: int

    @property
    def open_count(self) -> int:
        """All connections."""
        return self.busy_count + self.idle_count


@dataclass(slots=True)
class _ServerConnections:
    """The connections to one backend server."""

    # Whether and when a new one may be opened.
    backoff: ConnectBackoff
    # Waiting for a call, the one used last at the end.
    idle: list[UpstreamConnection] = field(default_factory=list)
    # Carrying a call.
    busy: set[UpstreamConnection] = field(default_factory=set)

    @property
    def open_count(self) -> int:
        """All connections."""
        return len(self.idle) + len(self.busy)


class ConnectionPool:
    """Connections by backend server, the one used last taken first.

    Parameters
    ----------
    connection_limit_for : callable
        Returns the most connections that this instance may have to an address.
    head_limit_bytes : int
        The longest head of an answer.
    source : random.Random or None
        The source of random numbers for the backoff.
    idle_limit_s : float
        Idle for longer, a connection is closed.
    """

    __slots__ = (
        "_idle_limit_s",
        "_connection_limit_for",
        "_head_limit_bytes",
        "_random",
        "_servers",
        "_swept_at_s",
    )

    def __init__(
        self,
        connection_limit_for: Callable[[str], int],
        head_limit_bytes: int,
        source: random.Random | None = None,
        idle_limit_s: float = IDLE_LIMIT_S,
    ) -> None:
        self._idle_limit_s = idle_limit_s
        self._connection_limit_for = connection_limit_for
        self._head_limit_bytes = head_limit_bytes
        self._random = source or random.Random()
        self._servers: dict[str, _ServerConnections] = {}
        self._swept_at_s = monotonic_s()

    def acquire(
        self,
        address: str,
        is_idempotent: bool = False,
        requires_new_connection: bool = False,
    ) -> UpstreamConnection:
        """Return an idle connection to a server, or a new one, not yet open.

        Parameters
        ----------
        address : str
            HOST:PORT of the backend server.
        is_idempotent : bool
            Whether the call may run more than once, and so use an older connection.
        requires_new_connection : bool
            Whether only a new connection will do.

        Returns
        -------
        UpstreamConnection
            For one call; `release` must follow.

        Raises
        ------
        AttemptFailed
            If no connection is idle and none may be opened now.
        """
        now_s = monotonic_s()
        if now_s - self._swept_at_s >= SWEEP_EVERY_S:
            self.close_expired()
        server = self._server(address)
        if not requires_new_connection:
            connection = self._take_idle(server, now_s, is_idempotent)
            if connection is not None:
                server.busy.add(connection)
                return connection
        self._check_may_open(server, address, now_s)
        connection = UpstreamConnection(address, self._head_limit_bytes)
        server.busy.add(connection)
        return connection

    def _server(self, address: str) -> _ServerConnections:
        server = self._servers.get(address)
        if server is None:
            server = _ServerConnections(ConnectBackoff(self._random))
            self._servers[address] = server
        return server

    def _take_idle(
        self, server: _ServerConnections, now_s: float, is_idempotent: bool
    ) -> UpstreamConnection | None:
        age_limit_s = (
            self._idle_limit_s if is_idempotent else NON_IDEMPOTENT_IDLE_LIMIT_S
        )
        while server.idle:
            # The last one is the youngest, so what is left is older still.
            idle_s = now_s - server.idle[-1].used_at_s
            if idle_s > age_limit_s:
                return None
            connection = server.idle.pop()
            if idle_s <= connection.idle_limit_s and connection.is_quiet():
                return connection
            connection.close()
        return None

    def _check_may_open(
        self, server: _ServerConnections, address: str, now_s: float
    ) -> None:
        if not server.backoff.may_connect(now_s):
            message = f"openings to {address} failed and are held back"
            raise AttemptFailed(AttemptEnd.NOT_CONNECTED, message)
        limit = self._connection_limit_for(address)
        if server.open_count >= limit and server.idle:
            # An idle one that is too old for this call makes room for a new one.
            server.idle.pop(0).close()
        if server.open_count >= limit:
            message = f"all {limit} connections to {address} are in use"
            raise AttemptFailed(AttemptEnd.CONNECTION_LIMIT, message)

    def release(self, connection: UpstreamConnection, is_reusable: bool) -> None:
        """Keep a connection for another call, or close it.

        Parameters
        ----------
        connection : UpstreamConnection
            The connection that `acquire` returned.
        is_reusable : bool
            Whether its last answer was read to the exact end.
        """
        server = self._server(connection.address)
        server.busy.discard(connection)
        self._learn(server, connection)
        if not is_reusable or not connection.is_open:
            connection.close()
            return
        connection.used_at_s = monotonic_s()
        server.idle.append(connection)

    def _learn(
        self, server: _ServerConnections, connection: UpstreamConnection
    ) -> None:
        if connection.opened_at_s is None:
            if connection.was_tried:
                server.backoff.record_failure(monotonic_s())
        else:
            server.backoff.record_success()

    def close_idle_siblings(self, connection: UpstreamConnection) -> None:
        """Take in that a connection went silent, and suspect its siblings.

        Whatever lost track of this connection has probably lost those of its age and
        older too. Idle ones are closed. A busy one may still speak: its own lateness
        judges it, and it is kept only if its answer comes whole.

        Parameters
        ----------
        connection : UpstreamConnection
            The connection whose answer is late beyond its estimate.
        """
        server = self._server(connection.address)
        if connection.opened_at_s is None:
            return
        suspect_until_s = connection.opened_at_s + SAME_AGE_S
        kept = []
        for idle in server.idle:
            if idle.opened_at_s <= suspect_until_s:
                idle.close()
            else:
                kept.append(idle)
        server.idle[:] = kept

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address whose server has gone.

        Parameters
        ----------
        address : str
            HOST:PORT, which another server may take over.
        """
        server = self._servers.get(address)
        if server is not None:
            while server.idle:
                server.idle.pop().close()

    def close_expired(self) -> None:
        """Close what has been idle for too long, and forget unused servers."""
        now_s = self._swept_at_s = monotonic_s()
        for address, server in list(self._servers.items()):
            while server.idle and self._is_aged(server.idle[0], now_s):
                server.idle.pop(0).close()
            if server.open_count == 0 and server.backoff.is_expired(now_s):
                del self._servers[address]

    def _is_aged(self, connection: UpstreamConnection, now_s: float) -> bool:
        limit_s = min(self._idle_limit_s, connection.idle_limit_s)
        return now_s - connection.used_at_s > limit_s

    def counts(self, address: str) -> ConnectionCounts:
        """Return how many connections to a server are open."""
        server = self._servers.get(address)
        if server is None:
            return ConnectionCounts(0, 0)
        return ConnectionCounts(len(server.busy), len(server.idle))

    def open_count(self) -> int:
        """Return how many connections are open, all servers together."""
        return sum(server.open_count for server in self._servers.values())
