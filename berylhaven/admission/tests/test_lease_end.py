"""Tests of the end of a lease at the lender and at the borrower."""

import unittest

from berylhaven.admission import (
    CLOCK_RATE_ERROR_RATIO,
    LEASE_DURATION_S,
    BorrowedLease,
    ConcurrencyLimit,
    Escrow,
    borrower_end_s,
)

NOW_S = 10 * LEASE_DURATION_S


class LeaseEndTest(unittest.TestCase):
    """The borrower stops using a lease before the lender uses it again."""

    def borrower(self, ends_at_s):
        limit = ConcurrencyLimit(Escrow(0.0, started_at_s=0.0))
        limit.escrow.add_borrowed(BorrowedLease("a", "peer:1", 2.0, ends_at_s))
        return limit

    def test_with_the_worst_clocks_the_borrower_ends_first(self):
        fast = 1 + CLOCK_RATE_ERROR_RATIO / 2
        slow = 1 - CLOCK_RATE_ERROR_RATIO / 2
        lender_end_s = LEASE_DURATION_S / fast
        end_s = borrower_end_s(0.0, LEASE_DURATION_S) / slow
        self.assertLess(end_s, lender_end_s)

    def test_a_call_that_would_outlive_the_lease_is_not_taken(self):
        limit = self.borrower(ends_at_s=NOW_S + 5.0)
        self.assertIsNone(limit.try_acquire(NOW_S, deadline_s=NOW_S + 5.1))
        self.assertIsNotNone(limit.try_acquire(NOW_S, deadline_s=NOW_S + 5.0))

    def test_a_process_paused_past_the_end_does_not_use_the_lease(self):
        limit = self.borrower(ends_at_s=NOW_S + 5.0)
        self.assertIsNone(limit.try_acquire(NOW_S + 60.0, deadline_s=NOW_S + 60.1))

    def test_a_repeated_request_gets_the_same_lease(self):
        escrow = Escrow(10.0, started_at_s=0.0)
        first = escrow.lend("a", 3.0, 0.0, NOW_S)
        self.assertIs(escrow.lend("a", 3.0, 0.0, NOW_S + 1), first)
        self.assertEqual(escrow.lent_amount(NOW_S), 3.0)

    def test_what_the_lender_needs_is_not_lent(self):
        escrow = Escrow(10.0, started_at_s=0.0)
        self.assertEqual(escrow.lend("a", 9.0, reserved=8.0, now_s=NOW_S).amount, 2.0)
        self.assertIsNone(escrow.lend("b", 9.0, reserved=8.0, now_s=NOW_S))

    def test_a_lease_given_back_is_usable_at_once(self):
        escrow = Escrow(10.0, started_at_s=0.0)
        escrow.lend("a", 5.0, 0.0, NOW_S)
        self.assertEqual(escrow.usable_quota(NOW_S), 5.0)
        escrow.reclaim("a")
        self.assertEqual(escrow.usable_quota(NOW_S), 10.0)
