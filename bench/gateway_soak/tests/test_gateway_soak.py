"""Tests of the soak: it passes with correct servers and detects false answers."""

import unittest

from bench.gateway_soak import FAULTS, run_soak
from bench.gateway_soak._faults import register_fault
from bench.gateway_soak._soak_context import SoakContext


class GatewaySoakTest(unittest.TestCase):
    """Short seeded soaks with real processes."""

    def test_a_short_soak_breaks_no_guarantee(self):
        report = run_soak(4.0, seed=3)
        self.assertGreater(sum(report.faults.values()), 2)
        self.assertGreater(sum(report.answers.values()), 100)
        self.assertEqual(report.broken, {})

    def test_a_cut_by_resets_of_accepted_connections_is_noticed(self):
        # Only connections that could not be opened counted as silence of a server.
        report = run_soak(4.0, seed=2811, kinds=("gateway cut from servers",))
        self.assertEqual(report.broken, {})

    def test_popular_requests_are_served_again_after_servers_ended_all_the_time(self):
        # Nothing cleared a held request, and requests with the same ends were all held.
        report = run_soak(4.0, seed=5, kinds=("servers ended",))
        self.assertEqual(report.broken, {})

    def test_servers_that_falsely_report_requests_as_not_run_are_detected(self):
        @register_fault("lies")
        def falsely_report_not_run(context: SoakContext) -> None:
            for addresses in context.fleet.servers.values():
                for address in addresses:
                    context.fleet.set_faults(address, lie_share=0.5)

        self.addCleanup(FAULTS.pop, "lies")
        report = run_soak(1.0, seed=3, kinds=("lies",))
        self.assertGreater(report.broken.get("doubled", 0), 0)
        self.assertGreater(report.broken.get("false not-run", 0), 0)
