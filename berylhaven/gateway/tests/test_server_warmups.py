"""Tests of what all instances together send to cold servers."""

import contextlib
import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway.members._members import DISCOVERY_S
from berylhaven.gateway.servers._finish_estimate import RouteWork
from berylhaven.gateway.servers._server_chooser import ChoiceRequest, ServerChooser
from berylhaven.gateway.servers._server_limits import ServerLimits
from berylhaven.gateway.servers._server_signals import ServerSignals
from berylhaven.gateway.servers._server_warmups import INTERVALS_LIMIT
from berylhaven.gateway.tests._gateway_path import READS, FakeDialect, configuration
from berylhaven.gateway.tests._warmup_fleet import (
    SLOT_COUNT,
    TOLERANCE,
    WARMUP_S,
    WarmupFleet,
    entry,
    peak_count,
)
from berylhaven.http1 import ConnectionPool, HeadFields
from berylhaven.load_report import LoadReport
from berylhaven.overload import StartDecision
from berylhaven.overload._warmup_share import _rank

# The limits of the two deployments, and the instances of a fleet in one data centre.
LIMITS_PER_S = (3.4, 6.5)
STEP_S = 0.05
# How long all instances send after each event.
SERVED_S = 1.5
# The instances by which the tables of a fleet may differ.
MISSING_COUNT = 3
COLD_SERVER_COUNT = 24
# The requests a second of one instance for a service of `weitblick`.
DEMAND_PER_S = 1.03
# The same for another of its services.
LOW_DEMAND_PER_S = 0.51


class ColdServerMachine(RuleBasedStateMachine):
    """Any order of news, restarts, loss and cuts, at full demand."""

    def __init__(self):
        super().__init__()
        self.stack = contextlib.ExitStack()
        self.clock = self.stack.enter_context(ManualClock())
        self.run_count = 0

    def teardown(self):
        self.stack.close()

    @initialize(
        size=st.sampled_from((58, 20, 7, 5, 243)),
        limit_per_s=st.sampled_from(LIMITS_PER_S),
        seed=st.integers(0, 1_000),
    )
    def start(self, size, limit_per_s, seed):
        self.fleet = WarmupFleet(size, limit_per_s, seed)
        self.is_cut = False
        self.clock.advance_s(2 * DISCOVERY_S)
        self.start_server()

    @rule()
    def start_server(self):
        self.run_count += 1
        self.started_at_s = monotonic_s()
        self.fleet.put(entry("s", started_at_ms=self.run_count))

    @rule(duration_s=st.sampled_from((0.7, 2.0, 5.0)))
    def pause(self, duration_s):
        # Turns are not used, and are late afterwards.
        self.clock.advance_s(duration_s)

    @rule(index=st.integers(0, 1_000))
    def tell(self, index):
        left_s = self.started_at_s + WARMUP_S - monotonic_s()
        instance = self.fleet.instances[index % self.fleet.size]
        record = instance.table.record("s")
        if record is not None and left_s > 0:
            record.record_warmup_left(left_s, monotonic_s())

    @rule(index=st.integers(0, 1_000))
    def remove_and_list(self, index):
        instance = self.fleet.instances[index % self.fleet.size]
        if instance.table.remove("s") is not None:
            new = entry("s", started_at_ms=self.run_count)
            instance.table.put(new, monotonic_s(), is_start=True)

    @rule(index=st.integers(0, 1_000))
    def lose(self, index):
        self.fleet.instances[index % self.fleet.size].is_running = False

    @precondition(lambda self: not self.is_cut)
    @rule(index=st.integers(0, 1_000))
    def restart(self, index):
        instance = self.fleet.instances[index % self.fleet.size]
        instance.is_running = True
        instance.start()
        # The first snapshot has the server as it is.
        left_s = max(0.0, self.started_at_s + WARMUP_S - monotonic_s())
        new = entry("s", started_at_ms=self.run_count, warmup_left_s=left_s)
        instance.table.put(new, monotonic_s())

    @rule(group_count=st.integers(1, 4))
    def cut(self, group_count):
        self.is_cut = group_count > 1
        for instance in self.fleet.instances:
            instance.group = self.fleet.random.randrange(group_count)

    @rule()
    def differ(self):
        # Only the first instances at the server matter to the choice of sharers.
        addresses = sorted(
            (i.own.peers_address for i in self.fleet.instances),
            key=lambda address: _rank("s", address),
        )[: 3 * MISSING_COUNT]
        for instance in self.fleet.instances:
            if self.fleet.size > 2 * MISSING_COUNT:
                missing = self.fleet.random.sample(addresses, MISSING_COUNT)
                instance.missing = set(missing)

    @invariant()
    def keeps_to_the_peak(self):
        # All instances want to send in every step.
        if monotonic_s() >= self.started_at_s + WARMUP_S - SERVED_S:
            self.start_server()
        for _ in range(round(SERVED_S / STEP_S)):
            self.fleet.send()
            self.clock.advance_s(STEP_S)
        bound = TOLERANCE.peak_count(self.fleet.limit_per_s)
        count = peak_count(self.fleet.sent_at_s.get("s", []))
        assert count <= bound, (count, bound)


ColdServerMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=25, deadline=None
)


class AnyOrderTest(ColdServerMachine.TestCase):
    """Guards the bound of any one second."""


class WarmupUseTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)

    def serve(self, fleet, duration_s, demand_per_s):
        step_s = 0.02
        for _ in range(round(duration_s / step_s)):
            mean_count = demand_per_s * step_s * fleet.size
            count = int(mean_count + fleet.random.random())
            fleet.send(count)
            self.clock.advance_s(step_s)

    def test_most_of_the_rate_is_used_and_no_more(self):
        # Fleets of 20, 230 and 730 instances in three or four data centres.
        for size in (5, 7, 58, 243):
            for limit_per_s in LIMITS_PER_S:
                with self.subTest(f"{size} {limit_per_s}"):
                    fleet = WarmupFleet(size, limit_per_s)
                    self.clock.advance_s(2 * DISCOVERY_S)
                    fleet.put(entry("s", warmup_left_s=600.0))
                    fleet.put(entry("s", warmup_left_s=601.0))
                    demand_per_s = max(DEMAND_PER_S, 5 * limit_per_s / size)
                    self.serve(fleet, 120.0, demand_per_s)
                    rate_per_s = len(fleet.sent_at_s["s"]) / 120.0
                    self.assertGreater(rate_per_s, 0.7 * limit_per_s)
                    self.assertLessEqual(rate_per_s, 1.02 * limit_per_s)
                    self.assertLessEqual(
                        peak_count(fleet.sent_at_s["s"]),
                        TOLERANCE.peak_count(limit_per_s),
                    )

    def test_most_of_the_rate_is_used_where_instances_receive_few_requests(self):
        # Guards against turns that lapse before the next request of their instance.
        for seed in (1, 2, 3):
            with self.subTest(f"seed {seed}"):
                fleet = WarmupFleet(58, 3.4, seed)
                self.clock.advance_s(2 * DISCOVERY_S)
                fleet.put(entry("s", warmup_left_s=600.0))
                self.serve(fleet, 120.0, LOW_DEMAND_PER_S)
                times_s = fleet.sent_at_s["s"]
                self.assertGreater(len(times_s) / 120.0, 0.7 * 3.4)
                self.assertLessEqual(len(times_s) / 120.0, 3.4)
                self.assertLessEqual(peak_count(times_s), TOLERANCE.peak_count(3.4))

    def test_all_servers_of_a_service_are_cold_at_once(self):
        # A data centre of `weitblick`: 58 of 230 instances, 6 of 24 servers.
        fleet = WarmupFleet(58, 3.4)
        self.clock.advance_s(2 * DISCOVERY_S)
        for number in range(COLD_SERVER_COUNT):
            fleet.put(entry(f"s{number}", f"dc{number % 4}" if number % 4 else "here"))
        probers = [FakeProber() for _ in fleet.instances]
        choosers = [
            ServerChooser(
                "here", instance.table, prober, fleet.random, lambda address: False
            )
            for instance, prober in zip(fleet.instances, probers, strict=True)
        ]
        sent_at_s = {}
        refused = 0
        end_s = monotonic_s() + 15.0
        while monotonic_s() < end_s:
            index = fleet.random.randrange(fleet.size)
            choice = choosers[index].choose(choice_request())
            if choice.server is not None:
                times_s = sent_at_s.setdefault(choice.server.entry.server_id, [])
                times_s.append(monotonic_s())
            else:
                refused += 1
                self.assertIs(choice.decision, StartDecision.REFUSE)
                self.assertGreater(choice.quiet_s, 0.0)
                self.assertLess(choice.quiet_s, WARMUP_S)
            # Two requests a second of each instance.
            self.clock.advance_s(1 / (2 * fleet.size))
        self.assertEqual(len(sent_at_s), COLD_SERVER_COUNT // 4)
        for times_s in sent_at_s.values():
            self.assertLessEqual(peak_count(times_s), TOLERANCE.peak_count(3.4))
        rate_per_s = sum(map(len, sent_at_s.values())) / 15.0
        self.assertGreater(rate_per_s, 0.7 * 6 * 3.4)
        self.assertGreater(refused, 0)
        probe_count = sum(len(prober.probed) for prober in probers)
        self.assertLess(probe_count / 15.0, 1.5 * 6 * 3.4)


class FakeProber:
    """Reports idle servers."""

    def __init__(self):
        self.probed = []

    def refresh(self, servers, health_path):
        for server in servers:
            self.probed.append(server.entry.server_id)
            report = LoadReport(0, 0, SLOT_COUNT, None, False, monotonic_s())
            server.record_report(report)


def choice_request(wait_limit_s=0.0):
    config = configuration()
    now_s = monotonic_s()
    return ChoiceRequest(
        config.routes[0],
        config.services[READS],
        RouteWork(0.1),
        now_s,
        now_s + 1.0,
        wait_limit_s=wait_limit_s,
    )


class ColdNewsTest(unittest.TestCase):
    """From what an instance learns that a server is cold."""

    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.fleet = WarmupFleet(1, 1.0)
        self.instance = self.fleet.instances[0]
        self.clock.advance_s(2 * DISCOVERY_S)

    def put(self, is_start=False, **changes):
        return self.instance.table.put(
            entry("s", **changes), monotonic_s(), is_start=is_start
        )

    def left_s(self, record):
        return max(0.0, record.warmup_end_s - monotonic_s())

    def test_the_first_snapshot_does_not_count_as_a_start(self):
        self.assertFalse(self.put().is_cold(monotonic_s()))
        self.assertEqual(self.left_s(self.put(warmup_left_s=7.0)), 7.0)

    def test_a_new_run_is_cold_for_the_time_of_its_service(self):
        self.assertEqual(self.left_s(self.put(is_start=True)), WARMUP_S)
        self.clock.advance_s(WARMUP_S)
        record = self.put(is_start=True)
        self.assertFalse(record.is_cold(monotonic_s()))
        record = self.put(is_start=True, started_at_ms=2)
        self.assertEqual(self.left_s(record), WARMUP_S)

    def test_a_run_that_is_listed_again_is_as_cold_as_before(self):
        self.put(is_start=True)
        self.clock.advance_s(5.0)
        self.instance.table.remove("s")
        self.assertEqual(self.left_s(self.put(is_start=True)), WARMUP_S - 5.0)

    def test_answers_say_how_long_a_server_stays_cold(self):
        record = self.put()
        signals = ServerSignals(
            FakeDialect(),
            ConnectionPool(lambda address: 1, 1_000),
            ServerLimits(lambda: 1, random.Random(1), EventLog(1, 0, 0)),
            EventLog(1, 0, 0),
        )
        for text, left_s in (("12", 12.0), ("0", 0.0), ("3.5", 3.5)):
            signals.record(record, 200, HeadFields([("Wordy-Warmup-S", text)]))
            self.assertEqual(self.left_s(record), left_s)
        signals.record(record, 200, HeadFields([]))
        self.assertEqual(self.left_s(record), 3.5)

    def test_a_server_may_be_cold_after_an_evacuation_until_an_answer(self):
        record = self.put()
        record.record_possible_cold(monotonic_s())
        self.assertEqual(self.left_s(record), WARMUP_S)
        record.record_warmup_left(0.0, monotonic_s())
        self.assertFalse(record.is_cold(monotonic_s()))

    def test_a_peer_that_starts_now_is_told_which_servers_are_cold(self):
        # Guards against a peer that takes a server for warm whose entry names no time.
        record = self.put(is_start=True)
        self.clock.advance_s(5.0)
        left_s = record.reported_entry(monotonic_s()).warmup_left_s
        self.assertAlmostEqual(left_s, WARMUP_S - 5.0)
        self.clock.advance_s(WARMUP_S)
        self.assertEqual(record.reported_entry(monotonic_s()), record.entry)

    def test_without_a_limit_nothing_changes(self):
        fleet = WarmupFleet(1, 0.0)
        server = entry("s", warmup_left_s=9.0)
        record = fleet.instances[0].table.put(server, monotonic_s(), is_start=True)
        record.record_warmup_left(30.0, monotonic_s())
        record.record_possible_cold(monotonic_s())
        self.assertEqual(self.left_s(record), 9.0)
        self.assertEqual(record.reported_entry(monotonic_s()), server)
        self.assertFalse(record.is_quiet(monotonic_s()))

    def test_nothing_is_sent_before_the_other_instances_are_known(self):
        fleet = WarmupFleet(20, 100.0)
        fleet.put(entry("s"))
        for _ in range(round(DISCOVERY_S / STEP_S) - 1):
            fleet.send()
            self.clock.advance_s(STEP_S)
        self.assertEqual(fleet.sent_at_s, {})

    def test_an_instance_that_is_cut_off_sends_nothing_to_cold_servers(self):
        fleet = WarmupFleet(20, 100.0)
        self.clock.advance_s(2 * DISCOVERY_S)
        fleet.put(entry("s"))
        for number, instance in enumerate(fleet.instances):
            instance.group = number
        for _ in range(round(WARMUP_S / STEP_S) - 1):
            self.clock.advance_s(STEP_S)
            fleet.send()
        self.assertEqual(fleet.sent_at_s, {})

    def test_servers_of_other_data_centres_are_left_to_their_instances(self):
        record = self.put(data_centre="there", is_start=True)
        self.clock.advance_s(WARMUP_S - 0.1)
        self.assertTrue(record.is_quiet(monotonic_s()))
        self.clock.advance_s(0.2)
        self.assertFalse(record.is_quiet(monotonic_s()))

    def test_a_request_waits_for_a_token_that_comes_within_its_limit(self):
        record = self.put(is_start=True)
        chooser = ServerChooser(
            "here",
            self.instance.table,
            FakeProber(),
            random.Random(1),
            lambda address: False,
        )
        wait_s = record.quiet_s(monotonic_s())
        refused = chooser.choose(choice_request(wait_limit_s=wait_s / 2))
        self.assertIs(refused.decision, StartDecision.REFUSE)
        self.assertEqual(refused.quiet_s, wait_s)
        waiting = chooser.choose(choice_request(wait_limit_s=2 * wait_s))
        self.assertIs(waiting.decision, StartDecision.WAIT)
        self.clock.advance_s(wait_s)
        self.assertIs(chooser.choose(choice_request()).server, record)
        self.assertIsNone(chooser.choose(choice_request()).server)

    def choose_among_unnoticed(self, cold_count):
        """Choose among six servers of which some say only now that they are cold."""
        for number in range(6):
            self.instance.table.put(entry(f"s{number}"), monotonic_s())
        # The turns begin at random, all of them later than the probes here.
        self.fleet.random.random = lambda: 0.5
        prober = WarmupProber(cold_count)
        chooser = ServerChooser(
            "here",
            self.instance.table,
            prober,
            random.Random(1),
            lambda address: False,
        )
        return chooser.choose(choice_request()), prober

    def test_a_request_is_sent_elsewhere_if_the_first_probed_servers_are_cold(self):
        # Guards against a refusal although warm servers have room.
        choice, prober = self.choose_among_unnoticed(2)
        self.assertIsNotNone(choice.server)
        self.assertNotIn(choice.server.entry.server_id, prober.probed[:2])

    def test_a_refusal_names_the_next_turn_if_all_probed_servers_are_cold(self):
        # Guards against callers that come back at once and probe the servers again.
        choice, _ = self.choose_among_unnoticed(6)
        self.assertIsNone(choice.server)
        self.assertEqual(choice.quiet_s, 0.5)

    def test_servers_that_come_and_go_for_days_are_forgotten(self):
        # Guards against memory that grows with each restart under a new id.
        for number in range(INTERVALS_LIMIT + 1):
            server = entry(f"s{number}")
            record = self.instance.table.put(server, monotonic_s(), is_start=True)
            record.quiet_s(monotonic_s())
            self.instance.table.remove(server.server_id)
        self.assertLessEqual(len(self.instance.warmups._intervals_s), INTERVALS_LIMIT)

    def test_nothing_queues_at_a_cold_server(self):
        record = self.put(is_start=True)
        self.clock.advance_s(record.quiet_s(monotonic_s()))
        record.in_flight_count = SLOT_COUNT
        chooser = ServerChooser(
            "here",
            self.instance.table,
            SilentProber(),
            random.Random(1),
            lambda address: False,
        )
        choice = chooser.choose(choice_request(wait_limit_s=1.0))
        self.assertIs(choice.decision, StartDecision.REFUSE)


class WarmupProber(FakeProber):
    """Reports idle servers, of which the first ones say that they are cold."""

    def __init__(self, cold_count):
        super().__init__()
        self.cold_count = cold_count

    def refresh(self, servers, health_path):
        super().refresh(servers, health_path)
        for server in servers:
            if server.entry.server_id in self.probed[: self.cold_count]:
                server.record_warmup_left(WARMUP_S, monotonic_s())


class SilentProber:
    """Reports nothing."""

    def refresh(self, servers, health_path):
        pass
