"""Run a soak and print its counts; exit 1 if a guarantee was broken."""

import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass

import fire

from bench.soak._callers import Callers
from bench.soak._faults import (
    VIOLATIONS,
    FaultSchedule,
    count_runs,
    server_addresses,
    set_faults,
)
from bench.soak._verdict import Verdict, evaluate_calls
from berylhaven.client import CallResult
from standins.fleet import HOST, FleetShape, ProcessFleet, ServiceShape

SERVICES = (
    ServiceShape("carpatic", "nominations", "transaction", 3, 4),
    ServiceShape("kivu", "bookings", "transaction", 3, 6),
)
SERVICE_LINES = "idempotent = GET /*\nhedge_budget_ratio = 0.05\n"
ENTRY_COUNT = 4
# Calls that a backend server delayed end within this time.
FAULT_END_WAIT_S = 2.0


@dataclass(slots=True)
class SoakReport:
    """The counts of a soak."""

    # The result of each call.
    results: list[CallResult]
    # How often each fault was injected.
    faults: Counter[str]
    # The number of violations of each guarantee.
    verdict: Verdict


def run_soak(
    duration_s: float, seed: int, thread_count: int, cheat: str = ""
) -> SoakReport:
    """Run a soak.

    Parameters
    ----------
    duration_s : float
        The time in which callers send calls, in seconds.
    seed : int
        The seed of the choice of calls and faults.
    thread_count : int
        The number of caller threads, each with one call in flight.
    cheat : str
        The name of a violation that all backend servers commit; empty for none.

    Returns
    -------
    SoakReport
        The counts.
    """
    shape = FleetShape(
        SERVICES,
        ENTRY_COUNT,
        service_lines=SERVICE_LINES,
        max_entry_instances=ENTRY_COUNT,
    )
    with ProcessFleet(shape) as fleet:
        addresses = tuple(f"{HOST}:{entry.ports[0]}" for entry in fleet.entries)
        services = tuple(service.name for service in SERVICES)
        callers = Callers(addresses, services, thread_count, seed)
        faults = FaultSchedule(fleet, seed)
        if cheat:
            for address in server_addresses(fleet):
                set_faults(fleet, address, VIOLATIONS[cheat])
        callers.start()
        faults.start()
        time.sleep(duration_s)
        faults.stop()
        callers.stop()
        time.sleep(FAULT_END_WAIT_S)
        verdict = evaluate_calls(callers.calls, count_runs(fleet))
        results = [call.result for call in callers.calls]
        return SoakReport(results, faults.counts, verdict)


def print_report(report: SoakReport) -> None:
    """Print the counts, one per line."""
    outcomes = Counter(result.outcome.value for result in report.results)
    answered = sum(result.is_answered for result in report.results)
    repeats = sum(result.try_count - 1 for result in report.results)
    print(f"calls: {len(report.results)}, answered {answered}, repeats {repeats}")
    for outcome, count in sorted(outcomes.items()):
        print(f"  outcome {outcome}: {count}")
    print(f"faults: {sum(report.faults.values())}")
    for kind, count in sorted(report.faults.items()):
        print(f"  {kind}: {count}")
    for name, count in asdict(report.verdict).items():
        print(f"{name}: {count}")
    print("verdict:", "good" if report.verdict.is_good else "BROKEN PROMISES")


def main(
    duration_s: float = 60.0, seed: int = 1, thread_count: int = 24, cheat: str = ""
) -> None:
    """Run a soak from the command line."""
    report = run_soak(float(duration_s) or 60.0, seed, thread_count, cheat)
    print_report(report)
    sys.exit(0 if report.verdict.is_good else 1)


if __name__ == "__main__":
    fire.Fire(main)
