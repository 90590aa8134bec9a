"""Tests of the delay of a hedge and of what speaks against one."""

import dataclasses
import itertools
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.hedging import (
    HedgeDenial,
    HedgeLimit,
    HedgeOutlook,
    LoadSample,
    TimeDistribution,
    busy_ratio,
    deny_hedge,
)
from berylhaven.hedging._time_distribution import BUCKET_COUNT, MAX_RATIO

LIMIT = HedgeLimit(0.05, 0.7)
GOOD = HedgeOutlook(False, True, True, 0.4, True, True)
# 3 in 100 requests, evenly spread.
TAIL_INTERVAL = 33
TAIL_RATIO = 7.0
# A spell of 0.15 s at a fifth of the speed delays a request by at most this time,
# relative to 0.33 s of work.
SPELL_DELAY_RATIO = 0.15 * (1 - 1 / 5) / 0.33


def learnt(draw, count=400):
    """Return a distribution of drawn times, one in two seconds."""
    times = TimeDistribution()
    for index in range(count):
        times.record(draw(), 2.0 * index)
    return times, 2.0 * count


class TimeDistributionTest(unittest.TestCase):
    def setUp(self):
        self.random = random.Random(5)
        self.numbers = itertools.count()

    def ordinary(self):
        return self.random.uniform(0.6, 1.4)

    def with_tail(self):
        is_tail = next(self.numbers) % TAIL_INTERVAL == 0
        return self.ordinary() * (TAIL_RATIO if is_tail else 1.0)

    def with_spells(self):
        delay = SPELL_DELAY_RATIO * self.random.random()
        return self.ordinary() + (delay if self.random.random() < 0.3 else 0.0)

    def test_a_tail_is_told_from_ordinary_work(self):
        # Guards against a delay that the tail itself lengthens.
        times, now_s = learnt(self.with_tail)
        delay = times.quantile(LIMIT.delay_quantile, now_s)
        self.assertGreater(delay, 1.1)
        self.assertLess(delay, 2.0)

    def test_a_slow_spell_is_waited_for(self):
        # Guards against hedges for each request that a spell of 150 ms delays.
        times, now_s = learnt(self.with_spells)
        delay = times.quantile(LIMIT.delay_quantile, now_s)
        late = sum(self.with_spells() > delay for _ in range(4_000))
        self.assertLess(late / 4_000, 0.2)
        self.assertLess(delay, 1.4 + SPELL_DELAY_RATIO)

    def test_few_times_give_no_quantile(self):
        times, now_s = learnt(self.ordinary, 15)
        self.assertIsNone(times.quantile(0.9, now_s))

    def test_old_times_lose_their_weight(self):
        # Guards against a delay from before a change of the servers.
        times, now_s = learnt(lambda: 3.0)
        for index in range(400):
            times.record(0.5, now_s + 2.0 * index)
        self.assertLess(times.quantile(0.8, now_s + 800.0), 0.7)
        self.assertIsNone(times.quantile(0.8, now_s + 8_000.0))

    @settings(deadline=None)
    @given(st.lists(st.floats(0, 1e9), min_size=30), st.floats(0.1, 0.99))
    def test_any_times_give_a_quantile_within_bounds(self, ratios, share):
        times = TimeDistribution()
        for ratio in ratios:
            times.record(ratio, 0.0)
        quantile = times.quantile(share, 0.0)
        self.assertEqual(len(times._weights), BUCKET_COUNT)
        self.assertTrue(quantile is None or 0 < quantile <= MAX_RATIO)

    def test_hedges_shorten_the_tail_within_the_limit(self):
        # Replays the tail: 3 in 100 attempts take 7 times as long.
        times, now_s = learnt(self.with_tail)
        delay = times.quantile(HedgeLimit(0.1, 0.7).delay_quantile, now_s)
        first = [self.with_tail() for _ in range(4_000)]
        hedged = [t if t <= delay else min(t, delay + self.with_tail()) for t in first]
        self.assertGreater(sorted(first)[3_920], 4.0)
        self.assertLess(sorted(hedged)[3_920], 3.0)
        self.assertLess(sum(t > delay for t in first) / 4_000, 0.2)


class HedgeDecisionTest(unittest.TestCase):
    def test_each_objection_denies_a_hedge(self):
        self.assertIsNone(deny_hedge(LIMIT, GOOD))
        for change, denial in (
            ({"is_suspect": True}, HedgeDenial.SUSPECT),
            ({"can_attempt": False}, HedgeDenial.NO_ATTEMPT),
            ({"is_reached": False}, HedgeDenial.UNREACHED),
            ({"busy_ratio": 0.71}, HedgeDenial.BUSY),
            ({"busy_ratio": None}, HedgeDenial.BUSY),
            ({"has_hedge": False}, HedgeDenial.LIMIT),
            ({"has_retry": False}, HedgeDenial.RETRY_BUDGET),
        ):
            with self.subTest(change):
                outlook = dataclasses.replace(GOOD, **change)
                self.assertIs(deny_hedge(LIMIT, outlook), denial)

    def test_a_limit_of_zero_switches_hedging_off(self):
        off = HedgeLimit(0.0, 0.7)
        self.assertIs(deny_hedge(off, GOOD), HedgeDenial.SWITCHED_OFF)

    def test_hedges_stop_in_an_overload_and_resume_after_it(self):
        # Replays an overload: 58 servers of 2 slots fill up, queue and empty again.
        for occupied, is_allowed in ((1, True), (2, False), (5, False), (1, True)):
            known = [LoadSample(occupied, 2, 0.01)] * 4
            known += [LoadSample(0, 2, 30.0)] * 54
            outlook = dataclasses.replace(GOOD, busy_ratio=busy_ratio(known))
            self.assertIs(deny_hedge(LIMIT, outlook) is None, is_allowed)

    def test_without_reports_the_share_of_busy_slots_is_unknown(self):
        self.assertIsNone(busy_ratio([]))
