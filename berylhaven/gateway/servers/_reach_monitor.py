"""Keeps track of the services whose servers do not answer this instance."""

import zlib
from collections.abc import Callable
from random import Random

import eventlet

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.overload import Reach, ServiceReach

# The interval of the checks while servers of a service are silent.
CHECK_INTERVAL_S = 0.25
# The number of servers that one check queries. In a service with few reached ones, that
# is enough to find one again.
CHECKED_SERVER_COUNT = 4
# The number of bits by which instances name services to one another.
SERVICE_BIT_COUNT = 30
# The number of instances that are notified at once when the reached services change.
NOTIFIED_PEERS = 4


def service_bit(service: str) -> int:
    """Return the bit that stands for a service; two services may share one."""
    return 1 << (zlib.crc32(service.encode()) % SERVICE_BIT_COUNT)


class ReachMonitor:
    """Records which servers answer, and checks those of services that are out of reach.

    Parameters
    ----------
    table : ServerTable
        The backend servers.
    members : MemberTable
        The membership table; tells other instances what this one does not reach.
    random : random.Random
        The source of random numbers.
    event_log : EventLog
        Receives a line when a service gets out of reach, and when it is reached again.
    metrics : GatewayMetrics
        Has a gauge of the services that are out of reach.
    notify_peers : callable
        Tells a number of instances a change at once.
    """

    __slots__ = (
        "_table",
        "_members",
        "_random",
        "_event_log",
        "_services",
        "_changed_at_s",
        "_states",
        "_checking",
        "_gauge",
        "_notify_peers",
        "check",
    )

    def __init__(
        self,
        table: ServerTable,
        members: MemberTable,
        random: Random,
        event_log: EventLog,
        metrics: GatewayMetrics,
        notify_peers: Callable[[int], None],
    ) -> None:
        self._table = table
        self._members = members
        self._random = random
        self._event_log = event_log
        self._services: dict[str, ServiceReach] = {}
        # The last logged state of each service, and since when it holds.
        self._states: dict[str, Reach] = {}
        self._changed_at_s: dict[str, float] = {}
        # The green threads that check servers, by service.
        self._checking: dict[str, eventlet.greenthread.GreenThread] = {}
        self._gauge = metrics.gauge(
            "services_out_of_reach",
            "Services of which half of the servers or more do not answer.",
        )
        metrics.add_refresher(self._refresh)
        self._notify_peers = notify_peers
        # Probes servers of one service, and records the results here; set once.
        self.check: Callable[[list[ServerRecord]], None] = lambda servers: None

    def record_answer(self, service: str, server_id: str) -> None:
        """Record that a server answered a request or a probe."""
        reach = self._services.get(service)
        # Without a failure before, there is nothing to correct.
        if reach is not None:
            reach.record_answer(server_id, monotonic_s())
            if self._states.get(service, Reach.MOST) is not Reach.MOST:
                self.state(service)

    def record_silence(self, service: str, server_id: str) -> None:
        """Record that a server could not be connected to, or did not answer."""
        reach = self._services.setdefault(service, ServiceReach())
        reach.record_silence(server_id, monotonic_s())
        if service not in self._checking:
            self._checking[service] = eventlet.spawn(self._check_repeatedly, service)

    def stop(self) -> None:
        """End the checks, which otherwise last until the servers answer."""
        for thread in list(self._checking.values()):
            thread.kill()
        self._checking.clear()

    def state(self, service: str) -> Reach:
        """Return how many servers of a service are reached.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        Reach
            MOST without evidence of the contrary.
        """
        reach = self._services.get(service)
        state = Reach.MOST
        if reach is not None and reach.has_silent_servers:
            state = reach.state(self._server_ids(service), monotonic_s())
        self._note_change(service, state)
        return state

    def _server_ids(self, service: str) -> set[str]:
        return {s.entry.server_id for s in self._table.candidates(service)}

    def _note_change(self, service: str, state: Reach) -> None:
        known = self._states.get(service, Reach.MOST)
        if state is known:
            return
        now_s = monotonic_s()
        changed_at_s = self._changed_at_s.get(service)
        self._states[service] = state
        self._changed_at_s[service] = now_s
        self._event_log.write_failure(
            "fleet",
            "servers reached",
            service=service,
            reach=state.value,
            before=known.value,
            for_s=None if changed_at_s is None else now_s - changed_at_s,
            servers=len(self._table.candidates(service)),
        )
        mask = 0
        for name, known_state in self._states.items():
            if known_state is not Reach.MOST:
                mask |= service_bit(name)
        if mask != self._members.own.unreached_mask:
            self._members.own.unreached_mask = mask
            self._notify_peers(NOTIFIED_PEERS)

    def _check_repeatedly(self, service: str) -> None:
        """Check servers until the service is reached and none is silent."""
        try:
            while True:
                sleep_s(CHECK_INTERVAL_S)
                reach = self._services[service]
                state = self.state(service)
                if state is Reach.MOST and not reach.is_failing:
                    return
                self._check_some(service)
        finally:
            self._checking.pop(service, None)

    def _check_some(self, service: str) -> None:
        now_s = monotonic_s()
        # Cold servers are probed as seldom as requests are sent to them.
        servers = [
            server
            for server in self._table.candidates(service)
            if server.warmup_wait_s(now_s) == 0
        ]
        checked = self._random.sample(servers, min(CHECKED_SERVER_COUNT, len(servers)))
        for server in checked:
            server.record_unused_probe(now_s)
        if checked:
            self.check(checked)

    def _refresh(self) -> None:
        states = self._states.values()
        self._gauge.set({}, sum(state is not Reach.MOST for state in states))
