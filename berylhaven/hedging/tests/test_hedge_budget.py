"""Tests that instances with less than one hedge each share a limit."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.hedging import FleetPlace, HedgeBudget, fleet_place
from berylhaven.hedging._hedge_budget import SLOT_S
from berylhaven.hedging.tests._hedging_fleet import START_S, HedgingFleet

COUNTS = (20, 119, 230, 730)
RATIOS = (0.02, 0.05, 0.1, 0.2)
# An instance needs 50 requests for its first hedge at the lowest ratio.
STARTED_S = 200.0
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("requests", "hedges", "hedges", "restart")),
        st.integers(0, 729),
        # A negative pause is a step of the clock.
        st.sampled_from((0.0, 0.5, 5.0, 10.0, 10.0, -30.0)),
        st.integers(1, 60),
    ),
    max_size=40,
)


class HedgeBudgetTest(unittest.TestCase):
    # A busy machine must not fail the test.
    @settings(deadline=None)
    @given(
        st.one_of(st.integers(1, 3), st.integers(1, 730)),
        st.sampled_from((0.0, *RATIOS, 1.0)),
        EVENTS,
    )
    def test_no_order_of_events_passes_the_limit_of_the_requests_so_far(
        self, count, ratio, events
    ):
        # Guards against hedges that no request paid for, also after restarts.
        fleet = HedgingFleet(count, ratio)
        at_s = START_S
        for kind, index, pause_s, repeats in events:
            at_s += pause_s
            for repeat in range(repeats):
                if kind == "requests":
                    fleet.request(index % count, at_s)
                elif kind == "hedges":
                    fleet.want_hedge((index + repeat) % count, at_s)
                else:
                    fleet.restart(index % count)
            paid = ratio * len(fleet.requests_at_s) + 1e-9
            self.assertLessEqual(len(fleet.hedges_at_s), paid)

    def test_large_fleets_keep_to_the_limit_in_each_window_and_use_it(self):
        # Guards against a sum of rounded parts that is nothing, or more than the limit.
        for count, ratio in ((230, 0.1), (230, 0.2), *((730, r) for r in RATIOS)):
            with self.subTest(f"{count} {ratio}"):
                fleet = HedgingFleet(count, ratio)
                fleet.run(2 * STARTED_S)
                self.assertEqual(fleet.largest_excess(), 0.0)
                self.assertGreater(fleet.used_ratio(STARTED_S), 0.7)

    def test_fleets_of_any_size_keep_to_the_limit_in_each_window(self):
        # Guards against single hedges too many where the limit is a few in a window.
        for count, ratio in itertools.product(COUNTS, RATIOS):
            with self.subTest(f"{count} {ratio}"):
                fleet = HedgingFleet(count, ratio)
                fleet.run(2 * STARTED_S)
                self.assertEqual(fleet.largest_excess(), 0.0)

    def test_fleets_of_any_size_use_over_seven_tenths_of_the_limit(self):
        for count, ratio in itertools.product(COUNTS, RATIOS):
            with self.subTest(f"{count} {ratio}"):
                fleet = HedgingFleet(count, ratio)
                fleet.run(1_000.0)
                self.assertGreater(fleet.used_ratio(STARTED_S), 0.7)

    def test_what_was_not_needed_is_not_spent_at_once_later(self):
        # Guards against a burst of one saved hedge an instance after an overload.
        fleet = HedgingFleet(230, 0.02)
        fleet.run(300.0, wanted=lambda at_s: at_s > 250)
        first_s = [at_s for at_s in fleet.hedges_at_s if at_s < START_S + 260]
        self.assertLessEqual(len(first_s), 0.02 * 230 * 0.5 * 10)

    def test_instances_that_restart_before_they_earned_a_hedge_send_none(self):
        # Guards against starts that come with a hedge, and against hedges on credit.
        fleet = HedgingFleet(50, 0.02)
        for step in range(1_000):
            at_s = START_S + step
            for index in range(50):
                if step % 40 == 0:
                    fleet.restart(index)
                fleet.request(index, at_s)
                fleet.want_hedge(index, at_s)
        self.assertEqual(fleet.hedges_at_s, [])

    def test_a_budget_starts_empty(self):
        budget = HedgeBudget()
        budget.start_slot(1.0, FleetPlace(0), 0.0)
        for _ in range(100):
            budget.record_request(1.0)
        self.assertFalse(budget.has_hedge(1.0))
        budget.start_slot(1.0, FleetPlace(0), SLOT_S)
        self.assertTrue(budget.has_hedge(SLOT_S))

    def test_a_hedge_is_paid_once(self):
        # Guards against a deposit that pays for a hedge in each slot.
        place = next(
            FleetPlace(rank)
            for rank in range(100)
            if FleetPlace(rank).start_ratio < 0.1
            and FleetPlace(rank).rounding_offset(1) > 0.2
            and FleetPlace(rank).rounding_offset(2) > 0.6
        )
        budget = HedgeBudget()
        allowed = []
        for slot, request_count in enumerate((11, 5, 0)):
            budget.start_slot(0.1, place, slot * SLOT_S)
            allowed.append(budget.has_hedge(slot * SLOT_S))
            if allowed[-1]:
                budget.spend()
            for _ in range(request_count):
                budget.record_request(0.1)
        self.assertEqual(allowed, [False, True, False])

    def test_each_instance_has_a_place_of_its_own_in_each_service(self):
        # Guards against instances that round up in the same slots.
        addresses = [f"10.0.0.{index}:7000" for index in range(50)]
        for service in ("a", "b"):
            ranks = [fleet_place(service, own, addresses).rank for own in addresses]
            self.assertEqual(sorted(ranks), list(range(50)))
