"""One instance of a large fleet on a paused clock, with servers that are values."""

import dataclasses
import heapq
import math
import random
import unittest.mock
import zlib

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.gateway import ServerEntry
from berylhaven.gateway.servers._finish_estimate import RouteWork
from berylhaven.gateway.servers._server_chooser import ChoiceRequest, ServerChooser
from berylhaven.gateway.servers._server_probe import FRESH_REPORT_S
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.tests._gateway_path import READS, configuration, route
from berylhaven.http1 import ConnectionPool
from berylhaven.load_report import LoadReport
from berylhaven.overload import StartDecision, wait_limit_s, wait_step_s

CONNECTIONS = "berylhaven.http1._connection_pool.UpstreamConnection"
# The spells of the servers' machines, as in docs/HARD-LOAD.md.
SPELL_S = 0.15
CYCLE_S = 0.5
# The step in which the progress of a request is counted.
STEP_S = 0.02
SLOWNESS = 5.0
TAIL_SHARE = 0.03
TAIL_RATIO = 7.0
CONNECTION_LIMIT = 8
SERVER_IDLE_LIMIT_S = 8.0


class FakeConnection:
    """A connection without a socket."""

    def __init__(self, address, head_limit_bytes):
        self.address = address
        self.idle_limit_s = math.inf
        self.is_open = self.was_open_attempted = True
        self.opened_at_s = self.used_at_s = monotonic_s()

    def is_input_empty(self):
        return True

    def close(self):
        self.is_open = False


class SparseInstance:
    """An instance that receives requests for one service at random times."""

    def __init__(
        self,
        servers,
        slots,
        used_share,
        work_s,
        objective_s,
        kind,
        seed=1,
        make_subsets=None,
    ):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        # Arrivals and work do not depend on the choices.
        self.load_random = random.Random(seed)
        self.used_share = used_share
        self.slots = slots
        self.has_spells = True
        self.work_s = work_s
        self.work = RouteWork(work_s)
        self.full = set()
        self.silent = set()
        self.route = route(
            "/x/", kind, latency_objective_s=objective_s, timeout_s=10 * objective_s
        )
        self.service = configuration().services[READS]
        self.table = ServerTable()
        self.causes = []
        self.probe_count = 0
        self.finished = []
        self.durations = []
        self.chosen = []
        with self.clock:
            self.pool = ConnectionPool(
                lambda address: CONNECTION_LIMIT,
                1_000,
                random.Random(seed),
                SERVER_IDLE_LIMIT_S,
                self.causes.append,
            )
            for name, data_centre in servers:
                entry = ServerEntry(
                    name, READS, f"{name}:80", data_centre, slots, False
                )
                self.table.put(entry, monotonic_s() - 60)
            self.chooser = self._make_chooser(make_subsets)

    def _make_chooser(self, make_subsets):
        self.subsets = make_subsets(self) if make_subsets else None
        return ServerChooser(
            "here",
            self.table,
            self,
            self.random,
            lambda address: self.pool.counts(address).open_count > 0,
            self.subsets,
        )

    def fake_connections(self):
        return unittest.mock.patch(CONNECTIONS, FakeConnection)

    def _slowness(self, name, at_s):
        """Return the slowness at a time; each cycle of a server has one slow spell."""
        cycle, since_s = divmod(at_s, CYCLE_S)
        share = hash((zlib.crc32(name.encode()), int(cycle))) % 9973 / 9973
        spell_at_s = share * (CYCLE_S - SPELL_S)
        is_slow = self.has_spells and spell_at_s <= since_s < spell_at_s + SPELL_S
        return SLOWNESS if is_slow else 1.0

    def refresh(self, servers, health_path):
        """Stand for the prober."""
        now_s = monotonic_s()
        for server in servers:
            if server.report_age_s(now_s) <= FRESH_REPORT_S:
                continue
            self.probe_count += 1
            if server.entry.server_id in self.silent:
                server.record_probe_failure(now_s)
                continue
            connection = self.pool.acquire(server.entry.address, is_idempotent=True)
            self.pool.release(connection, True)
            name = server.entry.server_id
            others = sum(
                self.random.random() < self.used_share for _ in range(self.slots)
            )
            running = min(self.slots, others + server.in_flight_count)
            waiting = 3 * self.slots if name in self.full else 0
            slowness = self._slowness(name, now_s)
            server.record_report(
                LoadReport(running, waiting, self.slots, None, False, now_s, slowness)
            )

    def run(self, request_count, request_per_s):
        """Receive requests; return the share that was late."""
        late_count = 0
        with self.clock, self.fake_connections():
            for _ in range(request_count):
                self._advance_to(
                    monotonic_s() + self.load_random.expovariate(request_per_s)
                )
                late_count += self.receive_now()
        return late_count / request_count

    def receive_now(self):
        """Choose and send as the attempt runner does; return whether it was late."""
        now_s = received_at_s = monotonic_s()
        limit_s = wait_limit_s(self.route.latency_objective_s)
        request = ChoiceRequest(
            self.route,
            self.service,
            self.work,
            now_s,
            now_s + self.route.timeout_s,
            wait_limit_s=limit_s,
        )
        choice = self.chooser.choose(request)
        while choice.decision is StartDecision.WAIT:
            self._advance_to(monotonic_s() + wait_step_s(limit_s, self.random.random()))
            waited_s = monotonic_s() - received_at_s
            request = dataclasses.replace(request, waited_s=waited_s)
            choice = self.chooser.choose(request)
        if choice.server is None:
            return True
        return self._send(choice.server, received_at_s)

    def _advance_to(self, at_s):
        while self.finished and self.finished[0][0] <= at_s:
            finish_s, _, connection, server = heapq.heappop(self.finished)
            self.clock.advance_s(max(0.0, finish_s - monotonic_s()))
            server.in_flight_count -= 1
            self.pool.release(connection, True)
        self.clock.advance_s(max(0.0, at_s - monotonic_s()))

    def _send(self, server, received_at_s):
        """Send a request; return whether its answer is after the objective."""
        self.chosen.append(server.entry.server_id)
        connection = self.pool.acquire(server.entry.address, self.route.is_idempotent)
        server.in_flight_count += 1
        left_s = self.work_s
        if self.load_random.random() < TAIL_SHARE:
            left_s *= TAIL_RATIO
        finish_s = monotonic_s()
        while left_s > 0:
            slowness = self._slowness(server.entry.server_id, finish_s)
            step_s = min(STEP_S, left_s * slowness)
            left_s -= step_s / slowness
            finish_s += step_s
        self.durations.append(finish_s - received_at_s)
        heapq.heappush(self.finished, (finish_s, len(self.chosen), connection, server))
        return finish_s - received_at_s > self.route.latency_objective_s
