"""Tests of the probe budget and of the probe planner."""

import unittest
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from berylhaven.catalogue import parse_catalogue
from berylhaven.load import ProbeBudget, ProbePlanner
from berylhaven.load.tests._records import SERVICE, answer, report, table_of

MAX_INSTANCES = 5
SERVERS = 2
PRICE_MS = 6.0
BUDGET_RATIO = 0.01
SLOTS = 4
BUDGET_MS_PER_S = BUDGET_RATIO * SLOTS * 1000
TICK_S = 0.5
RESTART_INTERVAL_S = 0.2
TIMEOUT_MS = 24.0
CATALOGUE = parse_catalogue(
    f"""
[fleet]
max_entry_instances = {MAX_INSTANCES}
[firm carpatic]
guaranteed_share_ratio = 0.5
[service {SERVICE}]
owner = carpatic
class = interactive
concurrency_limit = 10
rate_limit_per_s = 10
deadline_ms = 100
measuring_budget_ratio = {BUDGET_RATIO}
probe_cost_ms = {PRICE_MS}
""".encode()
)


class Instance:
    """One incarnation of an instance, without shared state."""

    def __init__(self, now_s, seed):
        self.table = table_of(SERVERS)
        self.planner = ProbePlanner(now_s, Random(seed))
        self.outstanding = []


class FleetBudget(RuleBasedStateMachine):
    """No partition, pause, restart or peak makes the fleet exceed the budget.

    The instances receive nothing from one another, which is the worst partition.
    Over any window of T seconds the probes of one server cost at most BUDGET * T,
    and in addition the maximum cost of one probe for each instance.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.seed = 0
        self.spent = {}
        self.instances = []

    @initialize(
        count=st.integers(1, MAX_INSTANCES),
        probe_duration_ms=st.sampled_from([0, 12, 99]),
    )
    def start(self, count, probe_duration_ms):
        self.probe_duration_ms = probe_duration_ms
        for _ in range(count):
            self.instances.append(self.new_instance())

    def new_instance(self):
        self.seed += 1
        return Instance(self.now_s, self.seed)

    def charge(self, address, cost_ms):
        self.spent.setdefault(address, []).append((self.now_s, cost_ms))

    def end_probes(self, instance):
        for probe in instance.outstanding:
            instance.planner.probe_ended(probe, self.probe_duration_ms / 1000)
            extra_ms = min(self.probe_duration_ms, TIMEOUT_MS) - PRICE_MS
            self.charge(probe.server.address, max(0.0, extra_ms))
        instance.outstanding = []

    def step(self, instance):
        busy = {probe.server.address for probe in instance.outstanding}
        for probe in instance.planner.plan(CATALOGUE, instance.table, self.now_s):
            assert probe.server.address not in busy, "two probes at one server"
            self.charge(probe.server.address, probe.cost_ms)
            instance.outstanding.append(probe)

    @rule(duration_s=st.floats(0, 60), steps=st.booleans())
    def pause(self, duration_s, steps):
        self.now_s += duration_s
        if steps:
            for instance in self.instances:
                self.step(instance)

    @rule(duration_s=st.floats(1, 30))
    def peak(self, duration_s):
        """Step all instances at each tick, with calls whose answers have no report."""
        for _ in range(int(duration_s / TICK_S)):
            self.now_s += TICK_S
            for instance in self.instances:
                self.end_probes(instance)
                for server in instance.table.candidates(SERVICE):
                    answer(server, 0.005, self.now_s)
                self.step(instance)

    @rule(duration_s=st.floats(1, 20))
    def restart_storm(self, duration_s):
        for _ in range(int(duration_s / RESTART_INTERVAL_S)):
            self.now_s += RESTART_INTERVAL_S
            for index, instance in enumerate(self.instances):
                self.step(instance)
                self.instances[index] = self.new_instance()

    @rule(index=st.integers(0, MAX_INSTANCES - 1), keeps=st.booleans())
    def replace(self, index, keeps):
        if len(self.instances) < MAX_INSTANCES:
            self.instances.append(self.new_instance())
        elif not keeps:
            self.instances[index] = self.new_instance()

    @rule(index=st.integers(0, MAX_INSTANCES - 1), running=st.integers(0, 8))
    def answers_bring_reports(self, index, running):
        instance = self.instances[index % len(self.instances)]
        for server in instance.table.candidates(SERVICE):
            answer(server, 0.005, self.now_s, running)

    @invariant()
    def every_window_is_within_the_budget(self):
        slack_ms = MAX_INSTANCES * TIMEOUT_MS
        for spent in self.spent.values():
            total_ms = 0.0
            for at_s, cost_ms in reversed(spent):
                total_ms += cost_ms
                window_s = spent[-1][0] - at_s
                assert total_ms <= BUDGET_MS_PER_S * window_s + slack_ms + 1e-6


FleetBudget.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=20
)


class FleetBudgetTest(FleetBudget.TestCase):
    """Runs the state machine."""


class ProbeBudgetTest(unittest.TestCase):
    """A budget is refilled by time only and holds at most the cost of one probe."""

    def test_a_new_budget_is_empty(self):
        budget = ProbeBudget(10.0)
        budget.refill(10.0, 2.0, PRICE_MS)
        self.assertFalse(budget.can_spend(PRICE_MS))

    def test_a_pause_saves_one_probe(self):
        budget = ProbeBudget(0.0)
        budget.refill(3_600.0, 2.0, PRICE_MS)
        self.assertTrue(budget.can_spend(PRICE_MS))
        budget.spend(PRICE_MS)
        self.assertFalse(budget.can_spend(PRICE_MS))

    def test_the_unused_cost_is_refunded(self):
        budget = ProbeBudget(0.0)
        budget.refill(12.0, 2.0, TIMEOUT_MS)
        budget.spend(TIMEOUT_MS)
        budget.refund(TIMEOUT_MS - PRICE_MS)
        self.assertEqual(budget.spent_ms, PRICE_MS)
        self.assertFalse(budget.can_spend(TIMEOUT_MS))
        budget.refill(15.0, 2.0, TIMEOUT_MS)
        self.assertTrue(budget.can_spend(TIMEOUT_MS))


class PlannerTest(unittest.TestCase):
    """The budget is spent on the most useful probes, and only if they are needed."""

    def setUp(self):
        self.table = table_of(SERVERS)
        self.planner = ProbePlanner(0.0, Random(1))

    def run_for(self, duration_s, has_answers, first_s=0.0):
        """Step the planner and return the address of each probed server."""
        probes = []
        for tick in range(int(duration_s / TICK_S)):
            now_s = first_s + tick * TICK_S
            for server in self.table.candidates(SERVICE):
                if has_answers:
                    answer(server, 0.005, now_s, 1)
                else:
                    server.call_started()
                    server.call_cancelled()
            for probe in self.planner.plan(CATALOGUE, self.table, now_s):
                probes.append(probe.server.address)
                self.planner.probe_ended(probe, PRICE_MS / 1000)
        return probes

    def test_servers_without_reports_are_probed(self):
        probes = self.run_for(60.0, has_answers=False)
        share_ms = 60.0 * BUDGET_MS_PER_S / MAX_INSTANCES
        for server in self.table.candidates(SERVICE):
            spent_ms = probes.count(server.address) * PRICE_MS
            self.assertGreater(spent_ms, share_ms / 2)
            self.assertLessEqual(spent_ms, share_ms)

    def test_nothing_is_spent_where_answers_bring_reports(self):
        self.assertEqual(self.run_for(30.0, has_answers=True), [])

    def test_no_second_probe_starts_while_one_is_outstanding(self):
        probes = []
        for tick in range(1_000):
            probes += self.planner.plan(CATALOGUE, self.table, tick * TICK_S)
        self.assertEqual(len(probes), SERVERS)

    def test_a_slow_server_costs_in_proportion_to_its_slow_ratio(self):
        for server in self.table.candidates(SERVICE):
            server.record_slow_ratio(10.0, 0.0)
        ordinary = ProbePlanner(0.0, Random(1))
        ordinary_table = table_of(SERVERS)
        slow_count = len(self.run_for(60.0, has_answers=False))
        self.planner, self.table = ordinary, ordinary_table
        ordinary_count = len(self.run_for(60.0, has_answers=False))
        self.assertLess(5 * slow_count, ordinary_count)

    def test_without_a_budget_nothing_is_probed(self):
        text = CATALOGUE.text.replace(f"ratio = {BUDGET_RATIO}", "ratio = 0")
        catalogue = parse_catalogue(text.encode())
        for tick in range(400):
            now_s = tick * TICK_S
            self.assertEqual(self.planner.plan(catalogue, self.table, now_s), [])

    def test_a_server_that_comes_back_begins_with_nothing(self):
        self.run_for(60.0, has_answers=False)
        self.planner.plan(CATALOGUE, table_of(0), 60.0)
        self.assertEqual(self.planner.plan(CATALOGUE, self.table, 61.0), [])

    def test_a_report_from_a_peer_saves_a_probe(self):
        for tick in range(120):
            now_s = tick * TICK_S
            for server in self.table.candidates(SERVICE):
                server.record_peer_report(report(1, 0, now_s))
            self.assertEqual(self.planner.plan(CATALOGUE, self.table, now_s), [])
