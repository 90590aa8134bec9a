"""Tests of the rate limit on reads of the configuration service."""

import math
import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.discovery import ReadBudget

SERVICE_READS_PER_S = 2_000
TIMES = st.lists(st.floats(0, 60), max_size=80)


class ReadBudgetTest(unittest.TestCase):
    """The fleet's reads stay below the service's capacity and grow sublinearly."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.integers(1, 2_000), TIMES)
    def test_an_instance_stays_within_its_share_whenever_it_reads(self, size, times):
        budget = ReadBudget(size)
        taken = [now_s for now_s in sorted(times) if budget.try_acquire(now_s)]
        for index, first_s in enumerate(taken):
            for count, last_s in enumerate(taken[index:], start=1):
                allowed = 2 + (last_s - first_s) * 10 / math.sqrt(size)
                self.assertLessEqual(count, allowed + 1e-6)

    def test_reads_grow_more_slowly_than_the_fleet_also_in_a_restart_storm(self):
        peaks = {}
        for size in (10, 40, 160, 640, 2_560):
            budget = ReadBudget(size)
            random = Random(size)
            starts = [budget.start_delay_s(random) for _ in range(size)]
            # First reads by windows of a quarter of a second.
            slots = [int(start_s / 0.25) for start_s in starts]
            peaks[size] = 4 * max(slots.count(slot) for slot in set(slots))
        for small, large in ((40, 160), (160, 640), (640, 2_560)):
            self.assertLess(peaks[large], 3 * peaks[small])
        self.assertLess(max(peaks.values()), SERVICE_READS_PER_S)

    def test_checks_of_all_instances_stay_few(self):
        for size in (40, 1_000):
            budget = ReadBudget(size)
            random = Random(1)
            intervals = [budget.check_interval_s(random) for _ in range(1_000)]
            fleet_rate = size * 1_000 / sum(intervals)
            self.assertLess(fleet_rate, math.sqrt(size))
