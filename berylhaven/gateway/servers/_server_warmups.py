"""Keeps this instance's part of the rates of cold servers."""

from random import Random

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.members._members import DISCOVERY_S, MemberTable
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.overload import (
    TURN_DURATION_S,
    LimitShare,
    WarmupPlan,
    WarmupTolerance,
    plan_warmup,
    warmup_interval_s,
)

# How often the members are read; the answer of a member table holds for that time.
MEMBERS_INTERVAL_S = 0.5
# How long an instance that is not live counts as possibly running. The member table
# forgets it earlier; a partition of a data centre must not double the rate then.
REMEMBER_S = 300.0
# A turn lapses after so many intervals, since an instance may receive fewer requests
# than it has turns. The least time between two requests bounds those of one second.
KEPT_TURNS = 2
# The number of intervals that are kept; most belong to servers that are warm again.
INTERVALS_LIMIT = 1_024


class ServerWarmups:
    """Tells when this instance may send to a cold server.

    Parameters
    ----------
    routes : ActiveRoutes
        The services with their limits for cold servers.
    table : ServerTable
        The backend servers.
    members : MemberTable
        The instances.
    tolerance : WarmupTolerance
        What a cold server bears in one second.
    random : random.Random
        The source of random numbers.
    event_log : EventLog
        Receives a line for each server that is cold, or warm again.
    metrics : GatewayMetrics
        Has gauges of the cold servers and a counter of what they are sent.
    """

    __slots__ = (
        "_routes",
        "_table",
        "_members",
        "_random",
        "_event_log",
        "_started_at_s",
        "_members_read_at_s",
        "_live",
        "_last_seen_s",
        "_intervals_s",
        "_cold",
        "_requests",
        "_servers",
        "_rate",
        "tolerance",
    )

    def __init__(
        self,
        routes: ActiveRoutes,
        table: ServerTable,
        members: MemberTable,
        tolerance: WarmupTolerance,
        random: Random,
        event_log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._routes = routes
        self._table = table
        self._members = members
        # What a cold server bears in one second; changed when settings are reloaded.
        self.tolerance = tolerance
        self._random = random
        self._event_log = event_log
        self._started_at_s = monotonic_s()
        self._members_read_at_s = float("-inf")
        # The live instances of this data centre; None if none can be known.
        self._live: frozenset[str] | None = None
        # When each instance of this data centre was last listed as a member.
        self._last_seen_s: dict[str, float] = {}
        # This instance's intervals by server, limit and number of members.
        self._intervals_s: dict[tuple, float | None] = {}
        # The logged cold servers by id, with their services.
        self._cold: dict[str, str] = {}
        self._requests = metrics.counter(
            "cold_server_requests_total", "Requests sent to cold servers, by service."
        )
        self._servers = metrics.gauge(
            "cold_servers",
            "Cold servers by service, and whether this instance may use them.",
        )
        self._rate = metrics.gauge(
            "cold_server_requests_per_second",
            "The rate at which this instance may send to cold servers, by service.",
        )
        metrics.add_refresher(self._refresh)

    def warmup_s(self, service: str) -> float:
        """Return how long a server of a service is cold after its start, in seconds."""
        return self._routes.service(service).warmup_s

    def limit_per_s(self, service: str) -> float:
        """Return the rate of each cold server of a service; 0 without a limit."""
        return self._routes.service(service).warmup_limit_per_s

    def wait_s(self, server: ServerRecord, now_s: float) -> float:
        """Return the time until a request may be sent to a cold server, in seconds.

        Parameters
        ----------
        server : ServerRecord
            A cold server of a service with a limit.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        float
            Zero during a turn. Without a part of the rate, the time between two turns
            of an instance that has one, since a caller may use any instance.
        """
        left_s = server.warmup_end_s - now_s
        interval_s = self._interval_s(server, now_s)
        if interval_s is None:
            discovery_s = self._started_at_s + DISCOVERY_S - now_s
            return min(left_s, max(discovery_s, self._plan(server).interval_s(0)))
        share = server.warmup_share
        if share is None:
            # The first turns are spread, so that the sharers do not start together.
            first_turn_at_s = now_s + self._random.random() * interval_s
            share = server.warmup_share = LimitShare(
                self.limit_per_s(server.entry.service), interval_s, first_turn_at_s
            )
        elif share.interval_s != interval_s:
            limit_per_s = self.limit_per_s(server.entry.service)
            share.update(limit_per_s, interval_s, now_s)
        share.turn_duration_s = max(TURN_DURATION_S, KEPT_TURNS * interval_s)
        share.gap_s = self._plan(server).gap_s(interval_s)
        return min(left_s, share.wait_s(now_s))

    def record_send(self, server: ServerRecord, now_s: float) -> None:
        """Record that a request is sent to a cold server.

        Parameters
        ----------
        server : ServerRecord
            The server.
        now_s : float
            The time on the hub's clock.
        """
        self._requests.inc({"service": server.entry.service})
        if server.warmup_share is not None:
            server.warmup_share.record_send(now_s)

    def record_probe(self, server: ServerRecord, now_s: float) -> None:
        """Record that a cold server was probed and not chosen.

        It is not probed again within the least time between two requests.
        """
        if server.warmup_share is not None:
            server.warmup_share.sent_at_s = now_s

    def run(self) -> None:
        """Read the members and log the cold servers from time to time, for ever."""
        while True:
            now_s = monotonic_s()
            self._read_members(now_s)
            self._log_changes(now_s)
            sleep_s(MEMBERS_INTERVAL_S)

    def _interval_s(self, server: ServerRecord, now_s: float) -> float | None:
        """Return the time between two turns here; None if there are none."""
        if now_s - self._started_at_s < DISCOVERY_S:
            return None
        if now_s - self._members_read_at_s >= MEMBERS_INTERVAL_S:
            self._read_members(now_s)
        own = self._members.own
        # Others do not count an instance that is not ready, such as one that drains.
        if self._live is None or not own.is_ready:
            return None
        if server.entry.data_centre != own.data_centre:
            return None
        limit_per_s = self.limit_per_s(server.entry.service)
        key = (server.entry.server_id, limit_per_s, self.tolerance)
        if key not in self._intervals_s:
            if len(self._intervals_s) >= INTERVALS_LIMIT:
                self._intervals_s.clear()
            self._intervals_s[key] = warmup_interval_s(
                server.entry.server_id,
                own.peers_address,
                self._live,
                self._last_seen_s,
                self._plan(server),
            )
        return self._intervals_s[key]

    def _plan(self, server: ServerRecord) -> WarmupPlan:
        limit_per_s = self.limit_per_s(server.entry.service)
        return plan_warmup(limit_per_s, self.tolerance, len(self._last_seen_s) + 1)

    def _read_members(self, now_s: float) -> None:
        self._members_read_at_s = now_s
        members = self._members
        others = members.live(now_s)
        for address in members.addresses():
            if members.is_local(address):
                self._last_seen_s[address] = now_s
        last_seen_s = {
            address: seen_at_s
            for address, seen_at_s in self._last_seen_s.items()
            if now_s - seen_at_s < REMEMBER_S
        }
        live = frozenset(
            member.peers_address
            for member in others
            if member.is_ready and members.is_local(member.peers_address)
        )
        # After a freeze or a cut, no other instance is live; which of them share the
        # rate is not known then.
        has_peers = members.expects_peers or bool(members.addresses())
        live = None if has_peers and not others else live
        if live != self._live or last_seen_s.keys() != self._last_seen_s.keys():
            self._intervals_s.clear()
        self._live = live
        self._last_seen_s = last_seen_s

    def _log_changes(self, now_s: float) -> None:
        cold = {
            server.entry.server_id: server
            for server in self._table.records()
            if server.is_cold(now_s)
        }
        for server_id in [name for name in self._cold if name not in cold]:
            service = self._cold.pop(server_id)
            self._event_log.write(
                "fleet", "server warm", server=server_id, service=service
            )
        for server_id, server in cold.items():
            if server_id in self._cold:
                continue
            self._cold[server_id] = server.entry.service
            self._event_log.write(
                "fleet",
                "server cold",
                server=server_id,
                service=server.entry.service,
                left_s=server.warmup_end_s - now_s,
                limit_per_s=self.limit_per_s(server.entry.service),
                interval_s=self._interval_s(server, now_s),
            )

    def _refresh(self) -> None:
        now_s = monotonic_s()
        self._servers.values.clear()
        self._rate.values.clear()
        counts: dict[tuple[str, str], int] = {}
        rates_per_s: dict[str, float] = {}
        for server in self._table.records():
            if not server.is_cold(now_s):
                continue
            service = server.entry.service
            interval_s = self._interval_s(server, now_s)
            key = (service, "no" if interval_s is None else "yes")
            counts[key] = counts.get(key, 0) + 1
            if interval_s is not None:
                rates_per_s[service] = rates_per_s.get(service, 0.0) + 1 / interval_s
        for (service, shared), count in counts.items():
            self._servers.set({"service": service, "shared": shared}, count)
        for service, rate_per_s in rates_per_s.items():
            self._rate.set({"service": service}, rate_per_s)
