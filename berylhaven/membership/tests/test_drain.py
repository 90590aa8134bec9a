"""Tests of the stages of a drain."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.membership import Drain, DrainStage
from berylhaven.membership._drain import EARLY_RATIO

TIMES = st.floats(0, 100)


class DrainTest(unittest.TestCase):
    """A drain waits for callers and calls in flight, at most for its time limit."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(TIMES, TIMES, TIMES, st.integers(0, 3))
    def test_no_call_is_cut_before_the_limit(self, to_live_s, limit_s, now_s, count):
        drain = Drain(0.0, to_live_s, limit_s)
        stage = drain.stage(now_s, count)
        if now_s >= limit_s:
            self.assertIs(stage, DrainStage.DONE)
        elif now_s < to_live_s:
            self.assertIs(stage, DrainStage.ANNOUNCED)
        elif count:
            self.assertIsNot(stage, DrainStage.DONE)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(TIMES, st.floats(1.0, 100.0), TIMES, TIMES)
    def test_a_late_call_is_due_before_calls_are_cut(
        self, to_live_s, limit_s, now_s, deadline_s
    ):
        # Guards against calls that are taken and cut at the limit.
        drain = Drain(0.0, to_live_s, limit_s)
        if drain.takes(now_s, deadline_s) and now_s >= EARLY_RATIO * limit_s:
            self.assertLessEqual(deadline_s, drain.cuts_at_s)
        self.assertLess(drain.cuts_at_s, drain.ends_by_s)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(TIMES, st.floats(1.0, 100.0), st.floats(0.0, 5.0), TIMES, TIMES)
    def test_a_late_notice_shortens_the_drain_and_not_the_time_of_old_addresses(
        self, to_live_s, limit_s, unnoticed_s, now_s, deadline_s
    ):
        # Guards against calls that are cut by the end of the process, and against an
        # end while callers are still told to use the instance.
        drain = Drain(unnoticed_s, to_live_s, limit_s, unnoticed_s)
        self.assertAlmostEqual(drain.ends_by_s, limit_s)
        if drain.takes(now_s, deadline_s) and now_s >= EARLY_RATIO * limit_s:
            self.assertLessEqual(deadline_s, drain.cuts_at_s)
        if now_s < min(unnoticed_s + to_live_s, limit_s - 0.001):
            self.assertIs(drain.stage(now_s, 0), DrainStage.ANNOUNCED)

    def test_it_ends_when_nothing_is_left(self):
        drain = Drain(0.0, locate_time_to_live_s=5.0, limit_s=900.0)
        self.assertIs(drain.stage(7.9, 0), DrainStage.ANNOUNCED)
        self.assertIs(drain.stage(8.0, 0), DrainStage.CLOSING)
        self.assertIs(drain.stage(9.0, 1), DrainStage.CLOSING)
        self.assertIs(drain.stage(9.0, 0), DrainStage.DONE)
