"""Tests of sending probes."""

import types
import unittest
from random import Random

from berylhaven.backend import ProbeFailed, ProbeTimeout
from berylhaven.blackboard import Blackboard
from berylhaven.catalogue import CATALOGUE_SECTION, ActiveCatalogue, parse_catalogue
from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.controllers._probe_controller import ProbeController
from berylhaven.discovery import BackendServer
from berylhaven.load import LoadReport, LoadTable
from berylhaven.operations import MetricsRegistry

CATALOGUE = parse_catalogue(
    b"""
[fleet]
max_entry_instances = 1
[firm carpatic]
guaranteed_share_ratio = 0.5
[service positions]
owner = carpatic
class = interactive
concurrency_limit = 10
rate_limit_per_s = 10
deadline_ms = 100
"""
)


class ProbeControllerTest(unittest.TestCase):
    """What a probe brings, or fails to bring, reaches the record."""

    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        blackboard = Blackboard()
        writer = blackboard.claim(CATALOGUE_SECTION, "test")
        writer.write(ActiveCatalogue(1, CATALOGUE.digest, CATALOGUE))
        table = LoadTable()
        row = BackendServer("10.0.0.1:80", "positions", "a", 4, 1, False)
        table.update_servers("positions", [row])
        [self.server] = table.candidates("positions")
        context = types.SimpleNamespace(
            blackboard=blackboard,
            load_table=table,
            metrics=MetricsRegistry(),
            random=Random(1),
        )
        self.controller = ProbeController(context)
        self.asked = []

    def probe_with(self, answer):
        """Let the controller run for 20 s, its probes ending as told."""

        def probe(address, timeout_s):
            self.asked.append((address, timeout_s))
            return answer()

        self.controller._client = types.SimpleNamespace(probe=probe)
        for _ in range(40):
            self.controller.step()
            self.clock.advance_s(0.5)

    def test_a_report_reaches_the_record(self):
        self.probe_with(lambda: LoadReport(3, 1, 4, None, False, monotonic_s()))
        self.assertEqual(self.server.report.running_count, 3)
        self.assertEqual(self.asked[0], ("10.0.0.1:80", 0.024))

    def test_a_failed_probe_weighs_against_the_server(self):
        def fail():
            raise ProbeFailed("no load")

        self.probe_with(fail)
        self.assertGreater(self.server.failure_ratio, 0)

    def test_a_late_probe_weighs_against_no_one(self):
        def late():
            raise ProbeTimeout("no answer")

        self.probe_with(late)
        self.assertTrue(self.asked)
        self.assertEqual(self.server.failure_ratio, 0)
