"""Instances with hedge budgets in virtual time."""

import bisect
import random

from berylhaven.hedging import FleetPlace, HedgeBudget

# The requests of one route that an instance gets, per second.
RATE_PER_S = 0.5
WINDOW_S = 10.0
START_S = 1_000_000.0


class HedgingFleet:
    """Instances that share a limit without messages."""

    def __init__(self, count, ratio):
        self.ratio = ratio
        self.places = [FleetPlace(rank) for rank in range(count)]
        self.budgets = [HedgeBudget() for _ in range(count)]
        self.requests_at_s = []
        self.hedges_at_s = []

    def restart(self, index):
        self.budgets[index] = HedgeBudget()

    def request(self, index, at_s):
        self._current_budget(index, at_s).record_request(self.ratio)
        self.requests_at_s.append(at_s)

    def want_hedge(self, index, at_s):
        budget = self._current_budget(index, at_s)
        if budget.has_hedge(at_s):
            budget.spend()
            self.hedges_at_s.append(at_s)

    def _current_budget(self, index, at_s):
        budget = self.budgets[index]
        if budget.needs_place(at_s):
            budget.start_slot(self.ratio, self.places[index], at_s)
        return budget

    def run(self, duration_s, seed=1, wanted=lambda at_s: True):
        """Send requests at random times, and want a hedge soon after each."""
        rng = random.Random(seed)
        events = []
        for index in range(len(self.budgets)):
            at_s = START_S + rng.expovariate(RATE_PER_S)
            while at_s < START_S + duration_s:
                events += [(at_s, index, False), (at_s + rng.random(), index, True)]
                at_s += rng.expovariate(RATE_PER_S)
        for at_s, index, is_hedge in sorted(events):
            if not is_hedge:
                self.request(index, at_s)
            elif wanted(at_s - START_S):
                self.want_hedge(index, at_s)

    def used_ratio(self, from_s=0.0):
        """Return the hedges relative to the limit, from a moment of the run."""
        hedges = sum(at_s >= START_S + from_s for at_s in self.hedges_at_s)
        requests = sum(at_s >= START_S + from_s for at_s in self.requests_at_s)
        return hedges / (self.ratio * requests)

    def largest_excess(self):
        """Return the most hedges beyond the limit in a window that ends in the run."""
        hedges, requests = sorted(self.hedges_at_s), sorted(self.requests_at_s)
        excess = 0.0
        for end_s in hedges:
            start_s = end_s - WINDOW_S
            if start_s < START_S or end_s > requests[-1]:
                continue
            limit = self.ratio * _count(requests, start_s, end_s)
            excess = max(excess, _count(hedges, start_s, end_s) - limit)
        return excess


def _count(times_s, start_s, end_s):
    return bisect.bisect_right(times_s, end_s) - bisect.bisect_left(times_s, start_s)
