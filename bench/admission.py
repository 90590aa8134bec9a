"""Measure the cost of the admission gate per call, and the effect of lending quota.

Run ``python -m bench.admission``. The first part depends on the machine and therefore
also prints a ratio to the cost of a plain counter. The second part simulates a fleet
with unevenly distributed demand and depends on the seed alone.
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
CALLS_PER_ROUND = 20_000
ROUND_COUNT = 5
MICROSECONDS_PER_S = 1e6
CONCURRENCY_LIMIT = 640
INSTANCE_COUNT = 20
STEP_S = 0.25
STEP_COUNT = 400
CALL_DURATION_S = 1.0

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


def measure_admission_us() -> tuple[float, float]:
    """Return the microseconds to admit and release a call, and to change a counter."""
    catalogue = parse_catalogue(CATALOGUE)
    service = catalogue.services["positions"]
    settings = ProxySettings(512, 32_768, 65_536, 15.0, 5.0, 60.0)
    gate = AdmissionGate(settings, Random(SEED), started_at_s=0.0)
    counts = {"positions": 0}
    gate_us = []
    counter_us = []
    for number in range(ROUND_COUNT):
        now_s = (number + 2) * LEASE_DURATION_S
        started_s = time.perf_counter()
        for _ in range(CALLS_PER_ROUND):
            now_s += 0.001
            gate.admit(catalogue, service, now_s, now_s + 1.0).release()
        gate_us.append(_microseconds_per_call(started_s))
        started_s = time.perf_counter()
        for _ in range(CALLS_PER_ROUND):
            now_s += 0.001
            counts["positions"] += 1
            counts["positions"] -= 1
        counter_us.append(_microseconds_per_call(started_s))
    return statistics.median(gate_us), statistics.median(counter_us)


def _microseconds_per_call(started_s: float) -> float:
    return (time.perf_counter() - started_s) / CALLS_PER_ROUND * MICROSECONDS_PER_S


class Instance:
    """One instance with its quota of the limit and its demand.

    Parameters
    ----------
    weight : float
        The instance's ratio of the fleet's demand.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.limit = ConcurrencyLimit(
            Escrow(CONCURRENCY_LIMIT / INSTANCE_COUNT, -LEASE_DURATION_S)
        )
        self.demand = Demand()
        self.running: list[tuple[float, object]] = []
        self.admitted = 0
        self.refused = 0

    def step(self, now_s: float, arrivals: int) -> None:
        """End calls that are due and admit or refuse new ones."""
        for ends_at_s, slot in self.running:
            if ends_at_s <= now_s:
                self.limit.release(slot)
        self.running = [call for call in self.running if call[0] > now_s]
        for _ in range(arrivals):
            slot = self.limit.try_acquire(now_s, now_s + CALL_DURATION_S)
            if slot is None:
                self.refused += 1
            else:
                self.admitted += 1
                self.running.append((now_s + CALL_DURATION_S, slot))
        self.demand.observe(self.limit.collect_demand())

    def borrow(self, lender: "Instance", lease_id: str, now_s: float) -> None:
        """Borrow missing quota from one peer."""
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
    """Return the ratio of calls that a fleet with uneven demand admits.

    Parameters
    ----------
    skew : float
        The exponent by which demand falls with the rank of the instance; 0 for equal
        demand.
    lends : bool
        Whether instances lend quota to one another.

    Returns
    -------
    float
        Admitted calls divided by all calls; the demand is 80 % of the fleet's limit.
    """
    random = Random(SEED)
    weights = [1 / (rank + 1) ** skew for rank in range(INSTANCE_COUNT)]
    fleet = [Instance(weight / sum(weights)) for weight in weights]
    calls_per_step = 0.8 * CONCURRENCY_LIMIT / CALL_DURATION_S * STEP_S
    for number in range(STEP_COUNT):
        now_s = number * STEP_S
        for index, instance in enumerate(fleet):
            expected = calls_per_step * instance.weight
            arrivals = int(expected + random.random())
            instance.step(now_s, arrivals)
            if lends:
                for request_index in range(4):
                    lease_id = f"{number}-{index}-{request_index}"
                    instance.borrow(random.choice(fleet), lease_id, now_s)
    admitted = sum(instance.admitted for instance in fleet)
    refused = sum(instance.refused for instance in fleet)
    return admitted / (admitted + refused)


def main() -> None:
    """Run and print both measurements."""
    gate_us, counter_us = measure_admission_us()
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
        raise SystemExit(
            f"a limit in the benchmark's catalogue is too small: {error}"
        ) from error
