"""Tests of servers that refuse requests although they have free slots."""

import random
import unittest
from unittest.mock import MagicMock, patch

from berylhaven.attempts import AttemptFailed
from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.gateway import ServerEntry
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.callers._held_bytes import HeldBytes
from berylhaven.gateway.requests import _attempt_runner
from berylhaven.gateway.requests._attempt_runner import AttemptRunner, NoServerAvailable
from berylhaven.gateway.servers._finish_estimate import RouteWork
from berylhaven.gateway.servers._server_chooser import ChoiceRequest, ServerChooser
from berylhaven.gateway.servers._server_exchange import ServerAnswer
from berylhaven.gateway.servers._server_signals import ServerSignals
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.tests._gateway_path import READS, FakeDialect, configuration
from berylhaven.http1 import HeadFields
from berylhaven.load_report import LoadReport

SERVER_COUNT = 4
REQUEST_COUNT = 500
REFUSED_SHARE = 0.55
FREE, FULL = "1,0,4,1", "4,0,4,1"


class RejectingServersTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.random = random.Random(1)
        self.refused_share = REFUSED_SHARE
        self.table = ServerTable()
        for name in map(str, range(SERVER_COUNT)):
            entry = ServerEntry(name, READS, name, "here", 4, False)
            self.table.put(entry, monotonic_s() - 60)
        chooser = ServerChooser(
            "here", self.table, self, self.random, lambda address: True
        )
        evacuations = MagicMock()
        evacuations.is_evacuated.return_value = False
        self.runner = AttemptRunner(
            chooser,
            MagicMock(),
            FakeDialect(),
            ServerSignals(FakeDialect(), MagicMock(), MagicMock(), MagicMock()),
            self.random,
            MagicMock(),
            GatewayMetrics(),
            MagicMock(),
            MagicMock(),
            evacuations,
            HeldBytes(),
        )

    def refresh(self, servers, health_path):
        """Stand for the prober: all servers have free slots."""
        for server in servers:
            server.record_report(LoadReport(1, 0, 4, None, False, monotonic_s()))

    def send(self, load, excluded=frozenset()):
        """Send one attempt; return its server and whether the server accepted it."""
        config = configuration()
        now_s = monotonic_s()
        request = ChoiceRequest(
            config.routes[0], config.services[READS], RouteWork(0.1), now_s, now_s + 1
        )
        request.excluded = excluded
        message = MagicMock()
        message.body.position = 0
        message.body.content_length = 0
        server = self.runner.choose(message, request)
        pairs = [("Wordy-Load", load)] if load else []
        status = 200
        if self.random.random() < self.refused_share:
            status = 503
            pairs.append(("Wordy-Not-Run", "1"))
        answer = ServerAnswer(status, "", HeadFields(pairs), b"", True, None)
        with patch.object(_attempt_runner, "exchange", return_value=answer):
            try:
                self.runner.send(message, request, server)
            except AttemptFailed:
                return server, False
        return server, True

    def test_requests_are_sent_elsewhere_at_once_and_none_finds_no_server(self):
        # Each request makes two attempts, 10 ms after the one before.
        accepted_count = 0
        for _ in range(REQUEST_COUNT):
            try:
                server, is_accepted = self.send(FREE)
                if not is_accepted:
                    tried = frozenset({server.entry.server_id})
                    _, is_accepted = self.send(FREE, tried)
            except NoServerAvailable as refusal:
                self.fail(refusal.message)
            accepted_count += is_accepted
            self.clock.advance_s(0.01)
        expected = 1 - REFUSED_SHARE**2
        self.assertGreaterEqual(accepted_count / REQUEST_COUNT, expected - 0.05)

    def test_a_refusal_with_free_slots_counts_as_a_failure_of_the_server(self):
        self.refused_share = 1.0
        server, _ = self.send(FREE)
        self.assertLess(server.full_until_s, monotonic_s())
        self.assertGreater(server.failure_ratio(monotonic_s()), 0.2)

    def test_a_full_server_is_treated_as_full(self):
        self.refused_share = 1.0
        server, _ = self.send(FULL)
        self.assertGreater(server.full_until_s, monotonic_s())
        self.assertEqual(server.failure_ratio(monotonic_s()), 0.0)
