"""Keeps the order in which this instance prefers the servers of each service."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.subsets import SUBSET_SIZE, is_sparse, order_servers

# How often it is checked whether the members or servers have changed.
CHECK_INTERVAL_S = 1.0
# The time constant of a service's request rate: longer than the waves of the load.
RATE_PERIOD_S = 15.0
# A server with a higher recent failure ratio leaves the subset for a while.
FAILING_RATIO = 0.2


@dataclass(slots=True)
class _ServiceOrder:
    """The preferred order of one service's servers."""

    # The ranks by server id; None if the service is served without a subset.
    ranks: dict[str, int] | None = None
    # The members and servers from which the ranks follow.
    inputs: tuple = ()
    # When the inputs were checked last, on the hub's clock.
    checked_at_s: float = -math.inf
    # The moving average of the requests a second.
    request_per_s: float = 0.0
    # When the last request was counted, on the hub's clock.
    counted_at_s: float = -math.inf

    def count_request(self, now_s: float) -> None:
        """Count a request for the service."""
        age_s = now_s - self.counted_at_s
        self.request_per_s *= math.exp(-age_s / RATE_PERIOD_S)
        self.request_per_s += 1 / RATE_PERIOD_S
        self.counted_at_s = now_s


class ServerSubsets:
    """Tells which servers this instance prefers where it meets each server rarely.

    Parameters
    ----------
    members : MemberTable
        The instances that share the servers.
    table : ServerTable
        The backend servers.
    has_idle_connection : callable
        Returns whether an idle connection to an address is open.
    event_log : EventLog
        Receives a line when subsets of a service are used or no longer used.
    """

    __slots__ = (
        "_members",
        "_table",
        "_event_log",
        "_orders",
        "has_idle_connection",
    )

    def __init__(
        self,
        members: MemberTable,
        table: ServerTable,
        has_idle_connection: Callable[[str], bool],
        event_log: EventLog,
    ) -> None:
        self._members = members
        self._table = table
        self._event_log = event_log
        self._orders: dict[str, _ServiceOrder] = {}
        # Returns whether an idle connection to an address is open.
        self.has_idle_connection = has_idle_connection

    def count_request(self, service: str) -> None:
        """Count a request that this instance received for a service.

        Parameters
        ----------
        service : str
            The service's name.
        """
        order = self._orders.setdefault(service, _ServiceOrder())
        order.count_request(monotonic_s())

    def subset(
        self, service: str, candidates: list[ServerRecord], now_s: float
    ) -> frozenset[str] | None:
        """Return the preferred servers among those that may be used now.

        Parameters
        ----------
        service : str
            The service's name.
        candidates : list of ServerRecord
            The servers to which the request may be sent.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        frozenset of str or None
            The ids of up to SUBSET_SIZE servers, local ones first. The next ones in
            the order take the places of those that are full, failing, unresponsive or
            cold. None if the service is served without a subset.
        """
        order = self._orders.setdefault(service, _ServiceOrder())
        if now_s - order.checked_at_s >= CHECK_INTERVAL_S:
            order.checked_at_s = now_s
            self._update(service, order, now_s)
        ranks = order.ranks
        if ranks is None:
            return None
        usable = [server for server in candidates if _is_usable(server, now_s)]
        usable.sort(key=lambda server: ranks.get(server.entry.server_id, len(ranks)))
        return frozenset(server.entry.server_id for server in usable[:SUBSET_SIZE])

    def _update(self, service: str, order: _ServiceOrder, now_s: float) -> None:
        servers = self._table.candidates(service)
        own = self._members.own
        # Heartbeats of other data centres may be older here than in locate answers.
        ready = [member for member in self._members.live(now_s) if member.is_ready]
        ready.append(own)
        idle_s = max(0.0, now_s - order.counted_at_s)
        rate_per_s = order.request_per_s * math.exp(-idle_s / RATE_PERIOD_S)
        was_sparse = order.ranks is not None
        if not is_sparse(len(servers), len(ready), rate_per_s, was_sparse):
            order.ranks = None
            order.inputs = ()
        else:
            local = {
                s.entry.server_id
                for s in servers
                if s.entry.data_centre == own.data_centre
            }
            remote = {s.entry.server_id for s in servers} - local
            local_members = {
                m.peers_address for m in ready if m.data_centre == own.data_centre
            }
            # A local server is shared by the local instances, a remote one by all.
            all_members = {m.peers_address for m in ready}
            inputs = (local, remote, local_members, all_members)
            if inputs != order.inputs:
                order.inputs = inputs
                address = own.peers_address
                ordered = order_servers(service, address, local_members, local)
                ordered += order_servers(service, address, all_members, remote)
                order.ranks = {name: rank for rank, name in enumerate(ordered)}
        if was_sparse != (order.ranks is not None):
            self._event_log.write(
                "fleet",
                "subset not used" if was_sparse else "subset used",
                service=service,
                servers=len(servers),
                ready=len(ready),
                request_per_s=rate_per_s,
            )


def _is_usable(server: ServerRecord, now_s: float) -> bool:
    """Return whether nothing is known that advises against a server."""
    return (
        now_s >= server.full_until_s
        and now_s >= server.backoff_until_s
        and now_s >= server.warmup_end_s
        and server.failure_ratio(now_s) <= FAILING_RATIO
    )
