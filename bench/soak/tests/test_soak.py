"""Tests of the soak: it passes with correct servers and detects violations."""

import unittest

import orjson

from bench.soak.__main__ import run_soak
from bench.soak._verdict import EndedCall, evaluate_calls
from berylhaven.client import CallResult
from berylhaven.results import Outcome


def ended_call(outcome=Outcome.RUN, is_idempotent=False, shown_id="a", body_bytes=3):
    document = orjson.dumps({"call_id": shown_id, "body_bytes": body_bytes})
    body = document if outcome is Outcome.RUN else None
    return EndedCall(CallResult(outcome, 200, 200, {}, body, "a", 1), is_idempotent, 3)


class VerdictTest(unittest.TestCase):
    """Each violated guarantee is counted, and nothing else is."""

    def test_correct_calls_count_no_violation(self):
        for call, run_count in (
            (ended_call(), 1),
            (ended_call(is_idempotent=True), 2),
            (ended_call(Outcome.NOT_RUN), 0),
            (ended_call(Outcome.UNKNOWN), 0),
            (ended_call(Outcome.UNKNOWN), 1),
        ):
            self.assertTrue(evaluate_calls([call], {"a": run_count}).is_good, call)

    def test_each_violation_is_counted(self):
        for name, call, run_count in (
            ("doubles", ended_call(), 2),
            ("doubles", ended_call(Outcome.UNKNOWN), 2),
            ("lost", ended_call(), 0),
            ("cut", ended_call(body_bytes=2), 1),
            ("foreign", ended_call(shown_id="b"), 1),
            ("false_not_run", ended_call(Outcome.NOT_RUN), 1),
            ("false_not_run", ended_call(Outcome.NOT_RUN, is_idempotent=True), 1),
        ):
            verdict = evaluate_calls([call], {"a": run_count})
            self.assertEqual(getattr(verdict, name), 1, name)
            self.assertFalse(verdict.is_good)


class SoakTest(unittest.TestCase):
    """Short soaks with real processes."""

    def test_a_short_soak_breaks_no_guarantee(self):
        report = run_soak(4.0, seed=3, thread_count=8)
        self.assertGreater(sum(report.faults.values()), 2)
        self.assertGreater(len(report.results), 100)
        self.assertTrue(report.verdict.is_good, report.verdict)

    def test_a_server_that_runs_calls_it_reported_as_not_started_is_detected(self):
        report = run_soak(0.5, seed=3, thread_count=8, cheat="run-after-shed")
        self.assertGreater(report.verdict.false_not_run, 0)
