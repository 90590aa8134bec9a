"""The instances of a data centre, each with its part of the rates of cold servers."""

import random

from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway import GatewayMetrics, ServerEntry
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.servers._server_warmups import ServerWarmups
from berylhaven.gateway.tests._gateway_path import READS, configuration
from berylhaven.overload import WarmupTolerance

TOLERANCE = WarmupTolerance(1.5, 8)
WARMUP_S = 20.0
SLOT_COUNT = 4


def peak_count(times_s):
    """Return the most requests in any one second."""
    first = largest = 0
    for index, time_s in enumerate(times_s):
        while time_s - times_s[first] > 1.0:
            first += 1
        largest = max(largest, index - first + 1)
    return largest


def entry(server_id, data_centre="here", started_at_ms=1, warmup_left_s=0.0):
    """Return the entry of a server."""
    return ServerEntry(
        server_id,
        READS,
        f"{server_id}:80",
        data_centre,
        SLOT_COUNT,
        False,
        warmup_left_s,
        started_at_ms,
    )


class Instance:
    """One instance with its own table of servers, and the part of a member table."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        address = f"10.1.{number // 250}.{number % 250}:7100"
        self.own = Member(address, address, "here", 1, 1, True)
        self.group = 0
        self.is_running = True
        self.start()

    def start(self):
        """Start, or start again without any state."""
        self.expects_peers = self.fleet.size > 1
        # The instances that its member table lacks.
        self.missing = set()
        self.known = set()
        self.table = ServerTable()
        routes = ActiveRoutes()
        routes.activate(configuration(warmup=(WARMUP_S, self.fleet.limit_per_s)))
        self.warmups = ServerWarmups(
            routes,
            self.table,
            self,
            TOLERANCE,
            self.fleet.random,
            EventLog(1, 0, 0),
            GatewayMetrics(),
        )
        self.table.admission = self.warmups

    def live(self, now_s):
        found = [
            other.own
            for other in self.fleet.instances
            if other is not self and other.is_running and other.group == self.group
        ]
        found = [m for m in found if m.peers_address not in self.missing]
        self.known.update(member.peers_address for member in found)
        return found

    def addresses(self):
        return list(self.known)

    def is_local(self, address):
        return True


class WarmupFleet:
    """Instances of one data centre."""

    def __init__(self, size, limit_per_s, seed=1):
        self.size = size
        self.limit_per_s = limit_per_s
        self.random = random.Random(seed)
        self.instances = []
        for number in range(size):
            self.instances.append(Instance(self, number))
        for instance in self.instances:
            instance.live(monotonic_s())
        # When requests were sent, by server.
        self.sent_at_s = {}

    def put(self, server_entry, is_start=True):
        """Tell all running instances an entry."""
        for instance in self.instances:
            if instance.is_running:
                instance.table.put(server_entry, monotonic_s(), is_start=is_start)

    def send(self, wanted_count=None):
        """Send from each instance, or some, what it may send now."""
        now_s = monotonic_s()
        instances = [i for i in self.instances if i.is_running]
        if wanted_count is not None:
            instances = self.random.choices(instances, k=wanted_count)
        for instance in instances:
            for server in instance.table.candidates(READS):
                if not server.is_quiet(now_s):
                    server.record_send(now_s)
                    self.sent_at_s.setdefault(server.entry.server_id, []).append(now_s)
                    if wanted_count is not None:
                        break
