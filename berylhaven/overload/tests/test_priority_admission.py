"""Tests of the decision on less urgent requests."""

import dataclasses
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylhaven.overload import (
    StartDecision,
    StartOutlook,
    decide_less_urgent_start,
    decide_start,
    must_keep_slot_free,
)
from berylhaven.overload._priority_admission import GUARANTEED_SHARE

OUTLOOK = StartOutlook(1, 3, 4, 0.1, 0.3, 1.0, 0.0, 0.04)


def decide(other_free_count=0, **changes):
    outlook = dataclasses.replace(OUTLOOK, **changes)
    return decide_less_urgent_start(outlook, other_free_count)


class LessUrgentStartTest(unittest.TestCase):
    def test_the_last_slot_is_left_to_more_urgent_requests(self):
        self.assertIs(decide(request_count=2), StartDecision.SEND)
        self.assertIs(decide(9, request_count=3), StartDecision.WAIT)
        self.assertIs(decide(9, request_count=3, waited_s=0.04), StartDecision.REFUSE)

    def test_the_only_slot_of_a_server_is_taken_after_a_wait(self):
        single = {"best_concurrency": 1, "slot_count": 1}
        self.assertIs(decide(1, **single), StartDecision.SEND)
        self.assertIs(decide(0, **single), StartDecision.WAIT)
        self.assertIs(decide(0, **single, waited_s=0.04), StartDecision.SEND)
        self.assertIs(decide(0, **single, wait_limit_s=0.0), StartDecision.SEND)
        busy = decide(1, **single, request_count=2, waited_s=0.04)
        self.assertIs(busy, StartDecision.REFUSE)

    @given(
        st.integers(1, 9),
        st.integers(1, 6),
        st.integers(0, 9),
        st.floats(0, 2),
        st.floats(0, 0.1),
        st.booleans(),
    )
    def test_nothing_is_sent_that_an_urgent_request_would_not_be(
        self, count, best, other_free_count, finish_s, waited_s, is_trial
    ):
        values = {
            "request_count": count,
            "best_concurrency": best,
            "slot_count": 6,
            "finish_s": finish_s,
            "waited_s": waited_s,
            "is_trial": is_trial,
        }
        if decide(other_free_count, **values) is StartDecision.SEND:
            urgent = dataclasses.replace(OUTLOOK, **{**values, "is_trial": False})
            self.assertIs(decide_start(urgent), StartDecision.SEND)
            self.assertLessEqual(count, max(1, best - 1))

    def test_the_guaranteed_share_keeps_no_slot_free(self):
        draw = random.Random(1)
        kept_count = sum(must_keep_slot_free(draw.random()) for _ in range(10_000))
        self.assertAlmostEqual(1 - kept_count / 10_000, GUARANTEED_SHARE, delta=0.02)
