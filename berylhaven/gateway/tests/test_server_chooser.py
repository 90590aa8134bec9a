"""Tests of which servers an instance probes and chooses."""

import dataclasses
import random
import unittest
import unittest.mock

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.gateway import ServerEntry
from berylhaven.gateway.servers import _server_chooser
from berylhaven.gateway.servers._finish_estimate import RouteWork
from berylhaven.gateway.servers._server_chooser import (
    NEW_SERVER_PERIOD_S,
    ChoiceRequest,
    ServerChooser,
)
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.tests._gateway_path import READS, configuration
from berylhaven.load_report import LoadReport
from berylhaven.overload import StartDecision

SLOT_COUNT = 4


class FakeProber:
    """Reports the load that a test sets."""

    def __init__(self):
        self.probed = []
        self.running_count = {}
        self.slowness = {}
        self.silent = set()

    def refresh(self, servers, health_path):
        for server in servers:
            server_id = server.entry.server_id
            self.probed.append(server_id)
            if server_id in self.silent:
                server.record_probe_failure(monotonic_s())
                continue
            running = self.running_count.get(server_id, 0)
            slowness = self.slowness.get(server_id, 1.0)
            report = LoadReport(
                running, 0, SLOT_COUNT, None, False, monotonic_s(), slowness
            )
            server.record_report(report)


class ServerChooserTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.table = ServerTable()
        self.connected = set()
        self.prober = FakeProber()
        self.chooser = ServerChooser(
            "here",
            self.table,
            self.prober,
            random.Random(1),
            self.connected.__contains__,
        )
        for number in range(30):
            self.join(f"s{number}")
        self.clock.advance_s(2 * NEW_SERVER_PERIOD_S)

    def join(self, name, data_centre="here"):
        entry = ServerEntry(name, READS, f"{name}:80", data_centre, SLOT_COUNT, False)
        self.table.put(entry, monotonic_s())

    def choose(self):
        config = configuration()
        now_s = monotonic_s()
        request = ChoiceRequest(
            config.routes[0], config.services[READS], RouteWork(0.1), now_s, now_s + 1.0
        )
        server = self.chooser.choose(request).server
        self.connected.add(server.entry.address)
        self.clock.advance_s(0.1)
        return server.entry.server_id

    def test_with_idle_servers_few_connections_are_opened(self):
        chosen = {self.choose() for _ in range(100)}
        self.assertLessEqual(len(chosen), 4)

    def test_more_servers_are_used_once_connected_ones_are_full(self):
        first = {self.choose() for _ in range(20)}
        for name in first:
            self.prober.running_count[name] = 3 * SLOT_COUNT
        later = {self.choose() for _ in range(20)}
        self.assertFalse(first & later)

    def test_a_busy_data_centre_sends_requests_to_another(self):
        for number in range(30):
            self.prober.running_count[f"s{number}"] = 6 * SLOT_COUNT
            self.join(f"remote{number}", "there")
        self.clock.advance_s(2 * NEW_SERVER_PERIOD_S)
        chosen = [self.choose() for _ in range(20)]
        self.assertTrue(all(name.startswith("remote") for name in chosen), chosen)

    def test_an_idle_data_centre_sends_no_requests_to_another(self):
        for number in range(30):
            self.join(f"remote{number}", "there")
        self.clock.advance_s(2 * NEW_SERVER_PERIOD_S)
        chosen = [self.choose() for _ in range(20)]
        self.assertFalse(any(name.startswith("remote") for name in chosen), chosen)

    def test_a_new_server_gets_requests(self):
        for _ in range(20):
            self.choose()
        self.join("new")
        self.assertIn("new", {self.choose() for _ in range(20)})


@unittest.mock.patch.object(_server_chooser, "TRIAL_SHARE", 0.0)
class FullBestServerTest(unittest.TestCase):
    """A fast server without room is the best of two; the other has room."""

    def choose(self, slowness, wait_limit_s=0.1, is_silent=False, **running):
        with ManualClock() as clock:
            table, prober = ServerTable(), FakeProber()
            for name in ("fast", "slow"):
                entry = ServerEntry(name, READS, name, "here", SLOT_COUNT, False)
                table.put(entry, monotonic_s())
            clock.advance_s(2 * NEW_SERVER_PERIOD_S)
            prober.running_count = {"fast": 3, **running}
            prober.slowness["slow"] = slowness
            if is_silent:
                prober.silent.add("slow")
            chooser = ServerChooser(
                "here", table, prober, random.Random(1), lambda address: True
            )
            config = configuration()
            now_s = monotonic_s()
            request = ChoiceRequest(
                config.routes[0],
                config.services[READS],
                RouteWork(0.1),
                now_s,
                now_s + 1,
            )
            request = dataclasses.replace(request, wait_limit_s=wait_limit_s)
            choice = chooser.choose(request)
            return choice.server and choice.server.entry.server_id, choice.decision

    def test_the_other_server_is_used_instead_of_a_wait_or_a_refusal(self):
        for wait_limit_s in (0.1, 0.0):
            chosen = self.choose(3.0, wait_limit_s)
            self.assertEqual(chosen, ("slow", StartDecision.SEND))

    def test_a_late_answer_is_accepted_only_instead_of_a_refusal(self):
        self.assertEqual(self.choose(7.0), (None, StartDecision.WAIT))
        self.assertEqual(self.choose(7.0, 0.0), ("slow", StartDecision.SEND))

    def test_servers_that_are_full_silent_or_too_slow_are_not_used(self):
        refused = (None, StartDecision.REFUSE)
        self.assertEqual(self.choose(3.0, 0.0, slow=3), refused)
        self.assertEqual(self.choose(3.0, 0.0, is_silent=True), refused)
        self.assertEqual(self.choose(12.0, 0.0), refused)
