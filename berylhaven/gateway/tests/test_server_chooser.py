"""Tests of which servers an instance probes and chooses."""

import random
import unittest

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.gateway import ServerEntry
from berylhaven.gateway.servers._finish_estimate import RouteWork
from berylhaven.gateway.servers._server_chooser import (
    NEW_SERVER_PERIOD_S,
    ChoiceRequest,
    ServerChooser,
)
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.tests._gateway_path import READS, configuration
from berylhaven.load_report import LoadReport

SLOT_COUNT = 4


class FakeProber:
    """Reports the load that a test sets."""

    def __init__(self):
        self.probed = []
        self.running_count = {}

    def refresh(self, servers, health_path):
        for server in servers:
            server_id = server.entry.server_id
            self.probed.append(server_id)
            running = self.running_count.get(server_id, 0)
            report = LoadReport(running, 0, SLOT_COUNT, None, False, monotonic_s())
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
