"""Tests of the rate limit over the whole fleet."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.admission import (
    BURST_S,
    LEASE_DURATION_S,
    BorrowedLease,
    Escrow,
    RateLimit,
)

LIMIT_PER_S = 100.0
INSTANCES = 4


class RateLimitTest(unittest.TestCase):
    """The calls admitted in any window are at most rate times time plus the burst."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, INSTANCES - 1),
                st.floats(0.0, 0.5),
                st.integers(0, 200),
                st.booleans(),
            ),
            min_size=1,
            max_size=60,
        )
    )
    def test_the_fleet_admits_no_more_than_the_limit(self, steps):
        now_s = 0.0
        limits = [
            RateLimit(Escrow(LIMIT_PER_S / INSTANCES, -2 * LEASE_DURATION_S), now_s)
            for _ in range(INSTANCES)
        ]
        admitted = []
        for number, (index, pause_s, count, borrows) in enumerate(steps):
            now_s += pause_s
            if borrows:
                self.borrow(limits, index, number, now_s)
            for _ in range(count):
                if limits[index].try_acquire(now_s):
                    admitted.append(now_s)
        self.assert_within_bound(admitted)

    def borrow(self, limits, index, number, now_s):
        lender = limits[(index + 1) % INSTANCES]
        lender.refill(now_s)
        limits[index].refill(now_s)
        lease = lender.escrow.lend(str(number), 5.0, 0.0, now_s)
        if lease is not None:
            borrowed = BorrowedLease(str(number), "", lease.amount, lease.ends_at_s)
            limits[index].escrow.add_borrowed(borrowed)
        lender.refill(now_s)
        limits[index].refill(now_s)

    def assert_within_bound(self, admitted):
        # Each bucket may hold its burst, or one call, at the start of the window.
        burst = 2 * LIMIT_PER_S * BURST_S + INSTANCES
        for first, started_at_s in enumerate(admitted):
            for last in range(first, len(admitted), 7):
                window_s = admitted[last] - started_at_s
                allowed = LIMIT_PER_S * window_s + burst
                self.assertLessEqual(last - first + 1, allowed)

    def test_a_bucket_starts_empty(self):
        limit = RateLimit(Escrow(25.0, 0.0), 0.0)
        self.assertFalse(limit.try_acquire(0.0))
        self.assertTrue(limit.try_acquire(0.1))

    def test_a_lease_that_ended_in_a_pause_earns_nothing(self):
        limit = RateLimit(Escrow(1.0, -100.0), 0.0)
        limit.refill(0.0)
        limit.escrow.add_borrowed(BorrowedLease("a", "", 1_000.0, ends_at_s=5.0))
        limit.refill(0.0)
        taken = sum(limit.try_acquire(60.0) for _ in range(100))
        self.assertEqual(taken, 1)
