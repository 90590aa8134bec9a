"""Tests that retries are safe, within the budget and in time."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.calls import (
    ATTEMPTS_LIMIT,
    CLASSIFICATIONS,
    RESERVE_RETRIES,
    FailedAttempt,
    RetryBudget,
    backoff_s,
    is_safe_to_retry,
    joint_outcome,
)
from berylhaven.results import Outcome

FAILED_ATTEMPTS = st.builds(
    FailedAttempt,
    judgement=st.sampled_from(list(CLASSIFICATIONS.values())),
    attempt_count=st.integers(1, 6),
    is_idempotent=st.booleans(),
    is_body_replayable=st.booleans(),
    remaining_s=st.floats(-1, 5),
    expected_answer_s=st.floats(0, 1),
)
PURE = settings(derandomize=True, deadline=None, max_examples=300)


class RetryTest(unittest.TestCase):
    """Properties of retries for any failed attempt and any order of calls."""

    @PURE
    @given(FAILED_ATTEMPTS)
    def test_a_retry_is_safe_and_in_time(self, failed):
        if not is_safe_to_retry(failed):
            return
        is_unrun = failed.judgement.outcome is Outcome.NOT_RUN
        self.assertTrue(failed.is_idempotent or is_unrun)
        self.assertTrue(failed.judgement.may_retry and failed.is_body_replayable)
        self.assertLess(failed.attempt_count, ATTEMPTS_LIMIT)
        self.assertGreater(failed.remaining_s, failed.expected_answer_s)

    @PURE
    @given(FAILED_ATTEMPTS, st.integers())
    def test_the_wait_leaves_time_for_an_answer(self, failed, seed):
        wait_s = backoff_s(failed, Random(seed))
        self.assertGreaterEqual(wait_s, 0.0)
        spare_s = max(0.0, failed.remaining_s - failed.expected_answer_s)
        self.assertLessEqual(wait_s, spare_s)

    def test_waits_are_spread_over_their_whole_range(self):
        failed = FailedAttempt(
            next(iter(CLASSIFICATIONS.values())), 3, True, True, 5, 0
        )
        waits = [backoff_s(failed, Random(seed)) for seed in range(200)]
        self.assertLess(min(waits), 0.1 * max(waits))

    @PURE
    @given(
        st.floats(0, 1),
        st.lists(st.tuples(st.integers(0, 40), st.integers(0, 40)), max_size=40),
    )
    def test_retries_are_a_share_of_calls_over_any_stretch(self, ratio, bursts):
        budget = RetryBudget()
        history = []
        for call_count, wanted_count in bursts:
            for _ in range(call_count):
                budget.record_call(ratio)
            taken_count = sum(budget.try_acquire(ratio) for _ in range(wanted_count))
            history.append((call_count, taken_count))
            for start in range(len(history)):
                calls = sum(count for count, _ in history[start:])
                taken = sum(count for _, count in history[start:])
                self.assertLessEqual(taken, ratio * calls + RESERVE_RETRIES + 1e-6)
                if ratio == 0:
                    self.assertEqual(taken, 0)

    @PURE
    @given(st.lists(st.sampled_from(Outcome)))
    def test_not_run_needs_proof_from_every_attempt(self, outcomes):
        joint = joint_outcome(outcomes)
        if joint is Outcome.NOT_RUN:
            self.assertEqual(set(outcomes) - {Outcome.NOT_RUN}, set())
        if Outcome.RUN in outcomes:
            self.assertIs(joint, Outcome.RUN)
