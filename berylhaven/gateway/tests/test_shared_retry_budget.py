"""Tests that all instances together stay within the retry allowance."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylhaven.gateway.requests._shared_retry_budget import (
    RetryAllowance,
    SharedRetryBudget,
)

ALLOWANCE = RetryAllowance(ratio=0.2, extra_count=75, window_s=10)


class SharedRetryBudgetTest(unittest.TestCase):
    @given(
        st.integers(16, 40),
        st.lists(st.tuples(st.integers(0, 39), st.floats(0, 30), st.booleans())),
    )
    def test_all_instances_together_keep_within_the_allowance(self, count, events):
        budgets = [SharedRetryBudget(ALLOWANCE) for _ in range(count)]
        requests, retries = [], []
        for index, at_s, is_request in sorted(events, key=lambda event: event[1]):
            budget = budgets[index % count]
            if is_request:
                budget.record_request(at_s)
                requests.append(at_s)
            elif budget.try_acquire(count, at_s):
                retries.append(at_s)
        for end_s in retries:
            in_window = [t for t in retries if end_s - 10 <= t <= end_s]
            window_requests = [t for t in requests if end_s - 20 <= t <= end_s]
            self.assertLessEqual(len(in_window), 0.2 * len(window_requests) + 75)

    def test_a_single_known_instance_uses_a_small_share(self):
        budget = SharedRetryBudget(ALLOWANCE)
        acquired = sum(budget.try_acquire(1, 0.0) for _ in range(100))
        self.assertLessEqual(16 * acquired, 75)

    def test_spent_retries_expire_with_the_window(self):
        budget = SharedRetryBudget(ALLOWANCE)
        while budget.try_acquire(16, 0.0):
            pass
        self.assertFalse(budget.try_acquire(16, 9.0))
        self.assertTrue(budget.try_acquire(16, 10.5))

    def test_hedges_leave_a_reserve_to_retries(self):
        # Guards against hedges after which a failed request cannot be sent again.
        budget = SharedRetryBudget(ALLOWANCE)
        for _ in range(100):
            budget.record_request(0.0)
        while budget.may_hedge(16, 0.0):
            self.assertTrue(budget.try_acquire(16, 0.0))
        self.assertTrue(budget.try_acquire(16, 0.0))
        self.assertFalse(budget.may_hedge(16, 0.0))

    def test_hedges_leave_a_whole_retry_after_a_failure(self):
        # Guards against hedges that use up the 2.5 retries of an instance with a
        # request a second, after which a failed request is not sent again.
        budget = SharedRetryBudget(RetryAllowance(0.2, 351, 10))
        for _ in range(10):
            budget.record_request(0.0)
        self.assertTrue(budget.try_acquire(230, 0.0))
        self.assertFalse(budget.may_hedge(230, 9.0))
        self.assertTrue(budget.try_acquire(230, 9.0))
        # Without failures in the window hedges may use it.
        for _ in range(10):
            budget.record_request(19.5)
        self.assertTrue(budget.may_hedge(230, 19.5))
        self.assertTrue(budget.try_acquire(230, 19.5, is_hedge=True))
        self.assertTrue(budget.may_hedge(230, 19.5))
