"""Tests of sending probes and recording their results."""

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
    """Reports and failures of probes reach the load record."""

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
        self.probe_calls = []

    def run_probes(self, answer):
        """Run the controller for 20 s with probes that end as `answer` does."""

        def probe(address, timeout_s):
            self.probe_calls.append((address, timeout_s))
            return answer()

        self.controller._client = types.SimpleNamespace(probe=probe)
        for _ in range(40):
            self.controller.step()
            self.clock.advance_s(0.5)

    def test_a_report_reaches_the_record(self):
        self.run_probes(lambda: LoadReport(3, 1, 4, None, False, monotonic_s()))
        self.assertEqual(self.server.report.running_count, 3)
        self.assertEqual(self.probe_calls[0], ("10.0.0.1:80", 0.024))

    def test_a_failed_probe_counts_as_a_failure_of_the_server(self):
        def fail():
            raise ProbeFailed("no load")

        self.run_probes(fail)
        self.assertGreater(self.server.failure_ratio, 0)

    def test_a_timed_out_probe_does_not_count_as_a_failure(self):
        def time_out():
            raise ProbeTimeout("no answer")

        self.run_probes(time_out)
        self.assertTrue(self.probe_calls)
        self.assertEqual(self.server.failure_ratio, 0)
