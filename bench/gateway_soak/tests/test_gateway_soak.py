"""Tests of the soak: it is good on its own, and finds what breaks a promise."""

import unittest

from bench.gateway_soak import FAULTS, run_soak
from bench.gateway_soak._faults import SoakContext, register_fault


class GatewaySoakTest(unittest.TestCase):
    """Short seeded soaks over real processes."""

    def test_a_short_soak_breaks_no_promise(self):
        report = run_soak(4.0, seed=3)
        self.assertGreater(sum(report.faults.values()), 2)
        self.assertGreater(sum(report.answers.values()), 100)
        self.assertEqual(report.broken, {})

    def test_servers_that_run_what_they_say_they_did_not_are_found(self):
        @register_fault("lies")
        def lie(context: SoakContext) -> None:
            for addresses in context.fleet.servers.values():
                for address in addresses:
                    context.fleet.set_faults(address, lie_share=0.5)

        self.addCleanup(FAULTS.pop, "lies")
        report = run_soak(1.0, seed=3, kinds=("lies",))
        self.assertGreater(report.broken.get("doubled", 0), 0)
        self.assertGreater(report.broken.get("false not-run", 0), 0)
