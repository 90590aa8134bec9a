"""Replays of routes of different priority on servers that they share."""

import dataclasses
import heapq
import itertools
import random
import unittest

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.gateway import ServerEntry
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway.servers._finish_estimate import RouteWork
from berylhaven.gateway.servers._server_chooser import ChoiceRequest, ServerChooser
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.tests._gateway_path import READS, configuration, route
from berylhaven.load_report import LoadReport
from berylhaven.overload import (
    StartDecision,
    is_crowded,
    must_keep_slot_free,
    wait_limit_s,
    wait_step_s,
)
from berylhaven.overload._priority_admission import GUARANTEED_SHARE

# Service abrechnung of docs/HARD-LOAD.md, with a third of its servers.
SERVER_COUNT = 8
SLOT_COUNT = 4
WORK_S = 0.276
TAIL_SHARE, TAIL_RATIO = 0.03, 7.0
SLOWDOWN_RATIO = 1.7
URGENT = route("/shift/", priority=0, latency_objective_s=0.63, timeout_s=4.861)
LESS_URGENT = route("/payroll/", priority=2, latency_objective_s=3.342, timeout_s=6.644)
URGENT_PER_S, LESS_URGENT_PER_S = 26.7, 38.5
BURST_RATIO = 2.3
DURATION_S = 20.0
# A route may be served so much less often than a less urgent one.
PRIORITY_MARGIN = 0.05


class SharedServers:
    """Servers of one service, and the requests of an instance that stands for all."""

    def __init__(self, server_count=SERVER_COUNT, slot_count=SLOT_COUNT, seed=1):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.slot_count = slot_count
        self.table = ServerTable()
        self.routes = ActiveRoutes()
        self.routes.activate(configuration(routes=(URGENT, LESS_URGENT)))
        self.work = RouteWork(WORK_S)
        self.events = []
        self.number = itertools.count()
        self.counts = {}
        with self.clock:
            for name in map(str, range(server_count)):
                entry = ServerEntry(name, READS, name, "here", slot_count, False)
                self.table.put(entry, monotonic_s() - 60)
        self.chooser = ServerChooser(
            "here", self.table, self, self.random, lambda address: True
        )

    def refresh(self, servers, health_path):
        """Stand for the prober: the reports are accurate."""
        for server in servers:
            running = server.in_flight_count
            server.record_report(
                LoadReport(running, 0, self.slot_count, None, False, monotonic_s())
            )

    def schedule(self, delay_s, action, *args):
        event = (monotonic_s() + delay_s, next(self.number), action, args)
        heapq.heappush(self.events, event)

    def run(self, rates_per_s, loss_at_s=None):
        """Return the share of the requests of each route that was served."""
        with self.clock:
            for sender, rate_per_s in rates_per_s:
                self.counts[sender.name] = [0, 0]
                self.schedule(0.0, self.arrive, sender, rate_per_s)
            if loss_at_s is not None:
                self.schedule(loss_at_s, self.lose_half)
            end_s = monotonic_s() + DURATION_S
            while self.events[0][0] < end_s:
                at_s, _, action, args = heapq.heappop(self.events)
                self.clock.advance_s(max(0.0, at_s - monotonic_s()))
                action(*args)
        return [served / count for count, served in self.counts.values()]

    def lose_half(self):
        for name in range(len(self.table.records()) // 2):
            self.table.remove(str(name))

    def arrive(self, sender, rate_per_s):
        self.schedule(
            self.random.expovariate(rate_per_s), self.arrive, sender, rate_per_s
        )
        self.counts[sender.name][0] += 1
        now_s = monotonic_s()
        is_less_urgent = self.routes.has_more_urgent(sender, READS)
        request = ChoiceRequest(
            sender,
            self.routes.service(READS),
            self.work,
            now_s,
            now_s + sender.timeout_s,
            wait_limit_s=wait_limit_s(sender.latency_objective_s),
            is_less_urgent=is_less_urgent,
            keeps_slot_free=is_less_urgent
            and must_keep_slot_free(self.random.random()),
        )
        self.look(request)

    def look(self, request):
        waited_s = monotonic_s() - request.received_at_s
        request = dataclasses.replace(request, waited_s=waited_s)
        choice = self.chooser.choose(request)
        if choice.decision is StartDecision.WAIT:
            step_s = wait_step_s(request.wait_limit_s, self.random.random())
            self.schedule(step_s, self.look, request)
        elif choice.server is not None:
            self.counts[request.route.name][1] += 1
            self.send(choice.server)

    def send(self, server):
        server.in_flight_count += 1
        count = server.in_flight_count
        is_tail = self.random.random() < TAIL_SHARE
        run_s = WORK_S * (TAIL_RATIO if is_tail else 1.0)
        run_s *= SLOWDOWN_RATIO if is_crowded(count, self.slot_count) else 1.0
        self.schedule(run_s * max(1.0, count / self.slot_count), self.end, server)

    def end(self, server):
        server.in_flight_count -= 1


class PriorityAdmissionTest(unittest.TestCase):
    def assert_shares(self, urgent, less_urgent):
        self.assertGreaterEqual(urgent, less_urgent - PRIORITY_MARGIN)
        self.assertGreaterEqual(less_urgent, GUARANTEED_SHARE * urgent)

    def test_a_burst_of_the_less_urgent_route_costs_the_urgent_one_little(self):
        rates = (URGENT, URGENT_PER_S), (LESS_URGENT, BURST_RATIO * LESS_URGENT_PER_S)
        for slot_count in (4, 2, 1):
            servers = SharedServers(SERVER_COUNT * SLOT_COUNT // slot_count, slot_count)
            with self.subTest(slot_count=slot_count):
                shares = servers.run(rates)
                self.assert_shares(*shares)

    def test_the_less_urgent_route_is_served_in_a_burst_of_the_urgent_one(self):
        burst_per_s = 2 * BURST_RATIO * URGENT_PER_S
        rates = (URGENT, burst_per_s), (LESS_URGENT, LESS_URGENT_PER_S)
        shares = SharedServers().run(rates)
        self.assert_shares(*shares)

    def test_the_loss_of_half_of_the_servers_costs_the_urgent_route_little(self):
        rates = (URGENT, URGENT_PER_S), (LESS_URGENT, LESS_URGENT_PER_S)
        shares = SharedServers(2 * SERVER_COUNT, 2).run(rates, loss_at_s=DURATION_S / 4)
        self.assert_shares(*shares)
