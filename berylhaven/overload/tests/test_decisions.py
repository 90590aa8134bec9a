"""Tests of the decisions under overload, and replays of the load that they answer."""

import heapq
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylhaven.overload import (
    Crowding,
    StartDecision,
    StartOutlook,
    best_concurrency,
    decide_start,
    is_crowded,
    return_after_s,
    wait_limit_s,
    wait_step_s,
)
from berylhaven.overload._return_time import MAX_RETURN_S, MIN_RETURN_S

SLOWDOWN_RATIO = 1.7
SLOT_COUNT = 4
WORK_S = 0.1
OBJECTIVE_S = 0.3
DEADLINE_S = 1.0


def outlook(**changes):
    """Return the outlook of a request for a server with one free slot."""
    values = {
        "request_count": 3,
        "best_concurrency": 3,
        "slot_count": 4,
        "finish_s": 0.1,
        "objective_remaining_s": 0.3,
        "deadline_remaining_s": 1.0,
        "waited_s": 0.0,
        "wait_limit_s": 0.04,
    }
    return StartOutlook(**{**values, **changes})


class BestConcurrencyTest(unittest.TestCase):
    def test_slots_stay_free_only_where_that_raises_the_throughput(self):
        self.assertEqual(best_concurrency(4, SLOWDOWN_RATIO), 3)
        self.assertEqual(best_concurrency(6, SLOWDOWN_RATIO), 4)
        # Two slots, of which none may stay free.
        self.assertEqual(best_concurrency(2, SLOWDOWN_RATIO), 2)
        self.assertEqual(best_concurrency(1, SLOWDOWN_RATIO), 1)
        self.assertEqual(best_concurrency(4, 1.0), 4)

    @given(st.integers(1, 200), st.floats(1.0, 3.0))
    def test_no_other_concurrency_has_a_higher_throughput(self, slots, ratio):
        def throughput(count):
            return count / (ratio if is_crowded(count, slots) else 1.0)

        best = best_concurrency(slots, ratio)
        self.assertTrue(1 <= best <= slots)
        highest = max(map(throughput, range(1, slots + 1)))
        self.assertAlmostEqual(throughput(best), highest)


class CrowdingTest(unittest.TestCase):
    def learn(self, ratio):
        crowding = Crowding()
        draw = random.Random(1)
        for _ in range(400):
            was_crowded = draw.random() < 0.2
            noise = draw.uniform(0.5, 1.5) * 1.4
            count = 6 if was_crowded else 2
            sample = noise * (ratio if was_crowded else 1.0)
            crowding.record(count, count, 6, sample)
            # Neither what waited nor what saw the load change is counted.
            crowding.record(7, 6, 6, 4.0)
            crowding.record(6, 2, 6, 4.0)
        return crowding.slowdown_ratio

    def test_the_slowdown_is_learned_from_answers(self):
        self.assertAlmostEqual(self.learn(1.0), 1.0, delta=0.15)
        self.assertAlmostEqual(self.learn(1.7), 1.7, delta=0.25)

    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9), st.floats(0, 1e9))))
    def test_the_slowdown_is_bounded(self, samples):
        crowding = Crowding()
        for sent_count, answered_count, ratio in samples:
            crowding.record(sent_count, answered_count, 6, ratio)
        self.assertTrue(1.0 <= crowding.slowdown_ratio <= 3.0)


class StartDecisionTest(unittest.TestCase):
    def test_a_request_is_sent_to_a_server_with_room(self):
        self.assertIs(decide_start(outlook()), StartDecision.SEND)

    def test_a_request_that_no_server_answers_in_time_is_refused_at_once(self):
        late = outlook(finish_s=1.0)
        self.assertIs(decide_start(late), StartDecision.REFUSE)

    def test_a_request_waits_for_room_for_a_limited_time(self):
        full = outlook(request_count=4)
        self.assertIs(decide_start(full), StartDecision.WAIT)
        waited = outlook(request_count=4, waited_s=0.04)
        self.assertIs(decide_start(waited), StartDecision.REFUSE)

    def test_a_full_server_that_does_not_slow_down_queues_what_it_answers_in_time(self):
        full = {"request_count": 7, "best_concurrency": 6, "slot_count": 6}
        self.assertIs(decide_start(outlook(**full)), StartDecision.SEND)
        late = outlook(**full, finish_s=0.4, waited_s=0.04)
        self.assertIs(decide_start(late), StartDecision.REFUSE)

    @given(
        st.integers(1, 50),
        st.integers(1, 20),
        st.floats(0, 100),
        st.floats(0, 100),
        st.floats(0, 10),
        st.floats(0, 10),
    )
    def test_no_request_waits_past_its_limit(
        self, count, best, finish_s, deadline_s, waited_s, limit_s
    ):
        decision = decide_start(
            outlook(
                request_count=count,
                best_concurrency=best,
                finish_s=finish_s,
                deadline_remaining_s=deadline_s,
                waited_s=waited_s,
                wait_limit_s=limit_s,
            )
        )
        if waited_s >= limit_s:
            self.assertIsNot(decision, StartDecision.WAIT)
        if finish_s >= deadline_s:
            self.assertIs(decision, StartDecision.REFUSE)

    @given(st.floats(0.001, 10), st.floats(0, 1))
    def test_a_wait_has_few_steps_of_different_length(self, objective_s, uniform):
        limit_s = wait_limit_s(objective_s)
        self.assertTrue(limit_s / 4 < wait_step_s(limit_s, uniform) < limit_s)


class ReturnTimeTest(unittest.TestCase):
    @given(st.floats(0, 1e6), st.integers(0, 100), st.floats(0, 1))
    def test_the_time_is_bounded(self, finish_s, concurrency, uniform):
        after_s = return_after_s(finish_s, concurrency, uniform)
        self.assertTrue(MIN_RETURN_S <= after_s <= MAX_RETURN_S)

    def test_callers_refused_together_return_at_different_times(self):
        draw = random.Random(1)
        times = [return_after_s(0.6, 3, draw.random()) for _ in range(100)]
        self.assertGreater(max(times) - min(times), 0.15)


class Burst:
    """Requests at a steady rate on servers that slow down when they are crowded.

    Each request looks at two random servers and takes the one with fewer requests. A
    running request counts its remaining work down at the speed of its server.
    """

    STEP_S = 0.002

    def __init__(self, rate_per_s, limits_concurrency, seed=1):
        self.rate_per_s = rate_per_s
        self.limits_concurrency = limits_concurrency
        self.random = random.Random(seed)
        # For each server, the work left and the arrival time of its requests.
        self.servers = [[] for _ in range(8)]
        self.arrivals = []
        self.in_time = self.late = self.refused = self.count = 0

    def run(self, duration_s):
        now_s = 0.0
        while now_s < duration_s:
            if self.random.random() < self.rate_per_s * self.STEP_S:
                self.count += 1
                heapq.heappush(self.arrivals, (now_s, now_s))
            while self.arrivals and self.arrivals[0][0] <= now_s:
                _, arrived_at_s = heapq.heappop(self.arrivals)
                self.place(now_s, arrived_at_s)
            for server in self.servers:
                self.work_on(server, now_s)
            now_s += self.STEP_S
        return self.in_time / self.count

    def place(self, now_s, arrived_at_s):
        server = min(self.random.sample(self.servers, 2), key=len)
        limit = best_concurrency(SLOT_COUNT, SLOWDOWN_RATIO)
        request_count = len(server) + 1
        limit_s = wait_limit_s(OBJECTIVE_S)
        decision = decide_start(
            StartOutlook(
                request_count=request_count,
                best_concurrency=limit if self.limits_concurrency else 1_000,
                slot_count=SLOT_COUNT,
                finish_s=WORK_S * max(1.0, request_count / SLOT_COUNT),
                objective_remaining_s=OBJECTIVE_S - (now_s - arrived_at_s),
                deadline_remaining_s=DEADLINE_S - (now_s - arrived_at_s),
                waited_s=now_s - arrived_at_s,
                wait_limit_s=limit_s,
            )
        )
        if decision is StartDecision.SEND:
            server.append([WORK_S * self.random.uniform(0.7, 1.3), arrived_at_s])
        elif decision is StartDecision.WAIT:
            next_s = now_s + wait_step_s(limit_s, self.random.random())
            heapq.heappush(self.arrivals, (next_s, arrived_at_s))
        else:
            self.refused += 1

    def work_on(self, server, now_s):
        running = server[:SLOT_COUNT]
        is_slow = is_crowded(len(running), SLOT_COUNT)
        for request in running:
            request[0] -= self.STEP_S / (SLOWDOWN_RATIO if is_slow else 1.0)
        for request in [r for r in running if r[0] <= 0]:
            server.remove(request)
            if now_s - request[1] <= OBJECTIVE_S:
                self.in_time += 1
            else:
                self.late += 1


class BurstTest(unittest.TestCase):
    """Eight servers run 240 requests a second with a free slot, and 188 without one."""

    def test_beyond_the_capacity_more_requests_are_answered_in_time(self):
        for seed in range(3):
            unlimited = Burst(230, False, seed).run(15.0)
            limited = Burst(230, True, seed).run(15.0)
            self.assertLess(unlimited, 0.4)
            self.assertGreater(limited, 0.75)

    def test_below_the_capacity_nothing_is_lost(self):
        burst = Burst(100, True)
        self.assertGreater(burst.run(15.0), 0.99)
        self.assertLess(burst.refused, 0.01 * burst.count)
