"""Tests of the shares of a server's limit, for many instances in virtual time."""

import itertools
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylhaven.overload import LimitShare, parse_limit_per_s, turn_interval_s
from berylhaven.overload._limit_share import (
    MIN_LIMIT_PER_S,
    TURN_DURATION_S,
    USED_RATIO,
)
from berylhaven.overload.tests._limit_rule import allowed_count, largest_window_count

STEP_S = 0.1
DURATION_S = 60.0
LIMITS_PER_S = (0.0, 0.4, 1.2, 2.3, 8.0, 40.0)


class Fleet:
    """Instances that are told a limit at about the same time."""

    def __init__(self, count, limit_per_s, seed):
        self.random = random.Random(seed)
        self.count = count
        self.shares = []
        interval_s = turn_interval_s(limit_per_s, count)
        for _ in range(count):
            told_at_s = self.random.random()
            first_s = told_at_s + self.random.random() * interval_s
            self.shares.append(LimitShare(limit_per_s, interval_s, first_s))

    def send(self, from_s, to_s, demand_ratio=1.0):
        """Return when requests are sent; each instance has one for each step."""
        sent_at_s = []
        for step in range(round((to_s - from_s) / STEP_S)):
            now_s = from_s + step * STEP_S
            for share in self.shares:
                is_wanted = self.random.random() < demand_ratio
                while is_wanted and share.wait_s(now_s) == 0.0:
                    share.record_send()
                    sent_at_s.append(now_s)
                    is_wanted = self.random.random() < 0.5
        return sent_at_s


class LimitShareTest(unittest.TestCase):
    def test_all_instances_together_keep_to_the_limit_at_any_demand(self):
        cases = itertools.product((1, 20, 312), LIMITS_PER_S, (1.0, 0.02), range(3))
        for count, limit_per_s, demand_ratio, seed in cases:
            with self.subTest(f"{count} {limit_per_s} {demand_ratio} {seed}"):
                fleet = Fleet(count, limit_per_s, seed)
                sent_at_s = fleet.send(0.0, DURATION_S, demand_ratio)
                self.assertLessEqual(
                    largest_window_count(sent_at_s), allowed_count(limit_per_s)
                )

    def test_a_burst_after_a_quiet_time_keeps_to_the_limit(self):
        for count, limit_per_s, seed in itertools.product(
            (20, 312), LIMITS_PER_S, range(3)
        ):
            with self.subTest(f"{count} {limit_per_s} {seed}"):
                fleet = Fleet(count, limit_per_s, seed)
                sent_at_s = fleet.send(DURATION_S, 2 * DURATION_S)
                self.assertLessEqual(
                    largest_window_count(sent_at_s), allowed_count(limit_per_s)
                )

    def test_under_demand_most_of_the_limit_is_used(self):
        for count, limit_per_s in itertools.product((1, 20, 312), (1.2, 8.0)):
            with self.subTest(f"{count} {limit_per_s}"):
                sent_at_s = Fleet(count, limit_per_s, 1).send(0.0, DURATION_S)
                used_ratio = len(sent_at_s) / DURATION_S / limit_per_s
                self.assertGreater(used_ratio, 0.75 * USED_RATIO)

    def test_a_limit_that_changes_all_the_time_is_kept(self):
        for seed in range(5):
            fleet = Fleet(20, 2.0, seed)
            sent_at_s = []
            for step in range(round(DURATION_S)):
                for share in fleet.shares:
                    limit_per_s = fleet.random.choice((1.5, 2.0, 3.0))
                    interval_s = turn_interval_s(limit_per_s, fleet.count)
                    share.update(limit_per_s, interval_s, float(step))
                sent_at_s += fleet.send(float(step), step + 1.0)
            self.assertLessEqual(largest_window_count(sent_at_s), allowed_count(3.0))

    def test_a_server_that_takes_nothing_is_asked_from_time_to_time(self):
        sent_at_s = Fleet(20, 0.0, 1).send(0.0, 4 * DURATION_S)
        expected_count = USED_RATIO * MIN_LIMIT_PER_S * 4 * DURATION_S
        self.assertGreater(len(sent_at_s), 0.75 * expected_count)

    @given(st.floats(0.0, 1e6), st.integers(1, 1_000), st.floats(0.0, 1e4))
    def test_turns_lapse_and_follow_one_another(self, limit_per_s, count, now_s):
        interval_s = turn_interval_s(limit_per_s, count)
        share = LimitShare(limit_per_s, interval_s, 0.0)
        wait_s = share.wait_s(now_s)
        self.assertLessEqual(wait_s, interval_s)
        self.assertGreater(share.turn_at_s, now_s - TURN_DURATION_S - 1e-6)

    @given(st.text())
    def test_any_text_is_a_limit_or_none(self, text):
        limit_per_s = parse_limit_per_s(text)
        self.assertTrue(limit_per_s is None or limit_per_s >= 0.0)

    def test_only_decimal_numbers_are_limits(self):
        for text, expected in (("2.3", 2.3), ("0", 0.0), ("12", 12.0)):
            self.assertEqual(parse_limit_per_s(text), expected)
        for text in ("", "-1", "nan", "inf", "1e3", "1.", "2,3", " 1", "1\n", "9" * 30):
            with self.subTest(text):
                self.assertIsNone(parse_limit_per_s(text))
