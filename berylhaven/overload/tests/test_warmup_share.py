"""Tests of which instances share the rate of a cold server, for any tables."""

import itertools
import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.overload import (
    LimitShare,
    WarmupTolerance,
    plan_warmup,
    warmup_interval_s,
)
from berylhaven.overload._warmup_share import _rank

TOLERANCE = WarmupTolerance(1.5, 8)
LIMITS_PER_S = st.sampled_from((0.5, 3.4, 6.5, 20.0, 100.0))
# Up to all instances of the largest fleet in one data centre.
SIZES = st.integers(1, 243)
# The instances by which two tables may differ at the limits of the deployments.
MISSING_COUNT = 3


def names(count):
    return [f"10.0.0.{number}:7100" for number in range(count)]


def peak_of(intervals_s, plan):
    """Return the most requests of all sharers in one second."""
    return sum(1 + math.floor(1 / plan.gap_s(interval_s)) for interval_s in intervals_s)


class WarmupShareTest(unittest.TestCase):
    def test_the_limits_of_the_deployments_give_eight_and_twelve_sharers(self):
        for limit_per_s, count in ((3.4, 8), (6.5, 12)):
            plan = plan_warmup(limit_per_s, TOLERANCE, 57)
            self.assertEqual((plan.sharer_count, plan.spare_count), (count, 2))

    @settings(max_examples=40, deadline=None)
    @given(LIMITS_PER_S, SIZES, st.data())
    def test_instances_cut_from_one_another_keep_to_rate_and_peak(
        self, limit_per_s, count, data
    ):
        members = names(count)
        groups = data.draw(
            st.lists(st.integers(0, 3), min_size=count, max_size=count), "groups"
        )
        plan = plan_warmup(limit_per_s, TOLERANCE, count)
        found = [
            warmup_interval_s(
                "s",
                own,
                {m for m, other in zip(members, groups, strict=True) if other == group},
                members,
                plan,
            )
            for own, group in zip(members, groups, strict=True)
        ]
        intervals_s = [interval_s for interval_s in found if interval_s is not None]
        rate_per_s = sum(1 / interval_s for interval_s in intervals_s)
        self.assertLessEqual(rate_per_s, limit_per_s * (1 + 1e-9))
        self.assertLessEqual(
            peak_of(intervals_s, plan), TOLERANCE.peak_count(limit_per_s)
        )

    @settings(max_examples=40, deadline=None)
    @given(st.sampled_from((3.4, 6.5)), st.integers(20, 243), st.randoms())
    def test_tables_that_lack_a_few_instances_keep_to_the_peak(
        self, limit_per_s, count, random
    ):
        members = sorted(names(count), key=lambda member: _rank("s", member))
        intervals_s = []
        for own in members:
            # Those that are not first in the order are not missed.
            first = members[: 4 * MISSING_COUNT]
            missing = set(random.sample(first, MISSING_COUNT)) - {own}
            table = set(members) - missing
            plan = plan_warmup(limit_per_s, TOLERANCE, len(table))
            intervals_s.append(warmup_interval_s("s", own, table, table, plan))
        sharers = [interval_s for interval_s in intervals_s if interval_s is not None]
        self.assertLessEqual(peak_of(sharers, plan), TOLERANCE.peak_count(limit_per_s))

    @settings(max_examples=40, deadline=None)
    @given(LIMITS_PER_S, SIZES)
    def test_with_the_same_tables_the_whole_rate_is_given_out(self, limit_per_s, count):
        members = names(count)
        plan = plan_warmup(limit_per_s, TOLERANCE, count)
        found = [warmup_interval_s("s", own, members, members, plan) for own in members]
        rate_per_s = sum(1 / interval_s for interval_s in found if interval_s)
        self.assertAlmostEqual(rate_per_s, limit_per_s)

    @given(st.lists(st.sampled_from((0.1, 0.4, 1.0, 3.0)), max_size=30))
    def test_requests_keep_their_distance_also_after_a_late_turn(self, pauses_s):
        share = LimitShare(3.4, 2.35, 0.0, gap_s=1.05)
        now_s, sent_at_s = 0.0, []
        for pause_s in pauses_s:
            now_s += pause_s
            if share.wait_s(now_s) == 0.0:
                share.record_send(now_s)
                sent_at_s.append(now_s)
        for earlier_s, later_s in itertools.pairwise(sent_at_s):
            self.assertGreaterEqual(later_s - earlier_s, 1.05 - 1e-9)

    def test_lost_instances_are_replaced(self):
        members = names(57)
        plan = plan_warmup(3.4, TOLERANCE, 57)
        sharers = [
            m for m in members if warmup_interval_s("s", m, members, members, plan)
        ]
        live = set(members) - set(sharers[:2])
        left = [m for m in live if warmup_interval_s("s", m, live, members, plan)]
        self.assertEqual(len(left), plan.sharer_count)
