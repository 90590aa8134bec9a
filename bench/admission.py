"""Measure the gate: its cost a call, and what lending does for an uneven fleet.

Run ``python -m bench.admission``; the numbers of the second part depend on the seed
alone, those of the first on the machine, so it prints a ratio.
"""

import statistics
import time
from random import Random

from berylhaven.admission import (
    HEADROOM_RATIO,
    LEASE_DURATION_S,
    AdmissionGate,
    BorrowedLease,
    ConcurrencyLimit,
    Demand,
    Escrow,
    borrower_end_s,
    wanted_amount,
)
from berylhaven.catalogue import parse_catalogue
from berylhaven.results import OverLimit
from berylhaven.settings import ProxySettings

SEED = 7
CALLS_TIMED = 20_000
ROUNDS = 5
MICROSECONDS_PER_S = 1e6
LIMIT = 640
INSTANCES = 20
STEP_S = 0.25
STEPS = 400
CALL_S = 1.0

CATALOGUE = b"""\
[fleet]
max_entry_instances = 20
[firm carpatic]
guaranteed_share_ratio = 0.5
[firm kivu]
guaranteed_share_ratio = 0.5
[service positions]
owner = carpatic
class = interactive
concurrency_limit = 10000
rate_limit_per_s = 10000000
deadline_ms = 1000
"""


def admit_cost_us() -> tuple[float, float]:
    """Return microseconds for admitting and releasing a call, and for a counter."""
    catalogue = parse_catalogue(CATALOGUE)
    service = catalogue.services["positions"]
    settings = ProxySettings(512, 32_768, 65_536, 15.0, 5.0, 60.0)
    gate = AdmissionGate(settings, Random(SEED), started_at_s=0.0)
    counts = {"positions": 0}
    gate_us = []
    counter_us = []
    for number in range(ROUNDS):
        now_s = (number + 2) * LEASE_DURATION_S
        started_s = time.perf_counter()
        for _ in range(CALLS_TIMED):
            now_s += 0.001
            gate.admit(catalogue, service, now_s, now_s + 1.0).release()
        gate_us.append(_each_us(started_s))
        started_s = time.perf_counter()
        for _ in range(CALLS_TIMED):
            now_s += 0.001
            counts["positions"] += 1
            counts["positions"] -= 1
        counter_us.append(_each_us(started_s))
    return statistics.median(gate_us), statistics.median(counter_us)


def _each_us(started_s: float) -> float:
    return (time.perf_counter() - started_s) / CALLS_TIMED * MICROSECONDS_PER_S


class Instance:
    """One instance's part of the limit, with its demand.

    Parameters
    ----------
    weight : float
        Its share of the fleet's demand.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.limit = ConcurrencyLimit(Escrow(LIMIT / INSTANCES, -LEASE_DURATION_S))
        self.demand = Demand()
        self.running: list[tuple[float, object]] = []
        self.admitted = 0
        self.refused = 0

    def step(self, now_s: float, arrivals: int) -> None:
        """End calls that are due and take in new ones."""
        for ends_at_s, slot in self.running:
            if ends_at_s <= now_s:
                self.limit.release(slot)
        self.running = [call for call in self.running if call[0] > now_s]
        for _ in range(arrivals):
            slot = self.limit.try_acquire(now_s, now_s + CALL_S)
            if slot is None:
                self.refused += 1
            else:
                self.admitted += 1
                self.running.append((now_s + CALL_S, slot))
        self.demand.observe(self.limit.collect_demand())

    def borrow(self, lender: "Instance", lease_id: str, now_s: float) -> None:
        """Ask one peer for what is missing."""
        wanted = wanted_amount(self.limit.escrow, self.demand.amount, now_s)
        if wanted == 0 or lender is self:
            return
        reserved = max(lender.demand.amount * HEADROOM_RATIO, lender.limit.own_in_use)
        lease = lender.limit.escrow.lend(lease_id, wanted, reserved, now_s)
        if lease is not None:
            ends_at_s = borrower_end_s(now_s, LEASE_DURATION_S)
            borrowed = BorrowedLease(lease_id, "", lease.amount, ends_at_s)
            self.limit.escrow.add_borrowed(borrowed)


def admitted_ratio(skew: float, lends: bool) -> float:
    """Return which share of the calls an uneven fleet admits.

    Parameters
    ----------
    skew : float
        The busiest instance's demand falls off with this power of the rank.
    lends : bool
        Whether instances lend to one another.

    Returns
    -------
    float
        Admitted calls by all calls; the demand is 80 % of the fleet's limit.
    """
    random = Random(SEED)
    weights = [1 / (rank + 1) ** skew for rank in range(INSTANCES)]
    fleet = [Instance(weight / sum(weights)) for weight in weights]
    calls_a_step = 0.8 * LIMIT / CALL_S * STEP_S
    for number in range(STEPS):
        now_s = number * STEP_S
        for index, instance in enumerate(fleet):
            expected = calls_a_step * instance.weight
            arrivals = int(expected + random.random())
            instance.step(now_s, arrivals)
            if lends:
                for question in range(4):
                    lease_id = f"{number}-{index}-{question}"
                    instance.borrow(random.choice(fleet), lease_id, now_s)
    admitted = sum(instance.admitted for instance in fleet)
    refused = sum(instance.refused for instance in fleet)
    return admitted / (admitted + refused)


def main() -> None:
    """Print both measurements."""
    gate_us, counter_us = admit_cost_us()
    print(f"admit and release: {gate_us:.2f} us, {gate_us / counter_us:.0f} counters")
    print("| skew of demand | admitted, equal parts | admitted, lending |")
    print("| --- | --- | --- |")
    for skew in (0.0, 0.5, 1.0):
        equal = admitted_ratio(skew, lends=False)
        lending = admitted_ratio(skew, lends=True)
        print(f"| {skew:.1f} | {equal:.1%} | {lending:.1%} |")


if __name__ == "__main__":
    try:
        main()
    except OverLimit as error:
        raise SystemExit(f"the bench's own limit is too small: {error}") from error
