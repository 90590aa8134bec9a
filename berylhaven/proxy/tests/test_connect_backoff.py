"""Tests of the backoff after a failed connection attempt."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.http1._connect_backoff import (
    BACKOFF_BASE_S,
    BACKOFF_LIMIT_S,
    ConnectBackoff,
)


class ConnectBackoffTest(unittest.TestCase):
    """Connection attempts after failures are few, spread, and free after a success."""

    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 2**32), st.floats(0, 1e6))
    def test_a_long_outage_costs_few_openings(self, seed, start_s):
        backoff = ConnectBackoff(random.Random(seed))
        opened_count = 0
        # A call every 10 ms for a minute, each of which would open a connection.
        for step in range(6000):
            now_s = start_s + step * 0.01
            if backoff.may_connect(now_s):
                opened_count += 1
                backoff.record_failure(now_s)
        # A mean pause of half the cap, after a few short ones; at most twice that.
        self.assertLess(opened_count, 2 * (60 / (BACKOFF_LIMIT_S / 2) + 10))

    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 2**32), st.integers(1, 50))
    def test_no_pause_is_over_the_cap_and_a_success_ends_it(self, seed, failures):
        backoff = ConnectBackoff(random.Random(seed))
        for _ in range(failures):
            backoff.record_failure(0.0)
        self.assertTrue(backoff.may_connect(BACKOFF_LIMIT_S))
        backoff.record_success()
        self.assertTrue(backoff.may_connect(0.0))

    def test_many_instances_do_not_come_back_together(self):
        first_tries = []
        for seed in range(200):
            backoff = ConnectBackoff(random.Random(seed))
            for _ in range(10):
                backoff.record_failure(0.0)
            times_s = [
                slot * BACKOFF_BASE_S
                for slot in range(int(BACKOFF_LIMIT_S / BACKOFF_BASE_S) + 1)
            ]
            first_tries.append(next(t for t in times_s if backoff.may_connect(t)))
        # No slot of the pause gets more than a tenth of the instances.
        most = max(first_tries.count(slot) for slot in set(first_tries))
        self.assertLessEqual(most, 20)
