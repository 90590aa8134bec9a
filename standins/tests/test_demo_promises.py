"""Tests of the count of broken promises."""

import dataclasses
import unittest

from berylhaven.results import Outcome
from standins.demo_callers import CallRecord
from standins.demo_promises import broken_promises

GOOD = CallRecord("bookings", False, "id", 0.003, Outcome.RUN, 200, True, False)


def broken(runs=1, **changes):
    counts = broken_promises([dataclasses.replace(GOOD, **changes)], {"id": runs})
    return {name for name, count in counts.items() if count}


class BrokenPromisesTest(unittest.TestCase):
    """Every kind of broken promise is counted, and nothing else is."""

    def test_kept_promises(self):
        self.assertEqual(broken(), set())
        self.assertEqual(broken(runs=2, is_idempotent=True), set())
        self.assertEqual(broken(runs=0, outcome=Outcome.NOT_RUN, result=203), set())
        self.assertEqual(broken(runs=1, outcome=Outcome.UNKNOWN, result=225), set())

    def test_broken_promises(self):
        self.assertEqual(broken(result=None, outcome=Outcome.UNKNOWN), {"lost"})
        self.assertEqual(broken(is_foreign=True), {"foreign or cut"})
        self.assertEqual(broken(runs=2), {"run twice"})
        self.assertEqual(broken(outcome=Outcome.NOT_RUN), {"false not-run"})
