"""One soak: callers, overlapping series of faults, and the promises."""

import collections
import random
from dataclasses import dataclass

import eventlet

from bench.gateway_soak._faults import FAULTS, SoakContext
from bench.gateway_soak._recovery_checks import check_recovery
from standins.gateway_callers import GatewayCallers, broken_promises
from standins.gateway_fleet import GatewayFleet

# Faults of so many series overlap.
SERIES_COUNT = 3
GAP_LIMIT_S = 0.8
# Faults that are under way end within this time: a stop within its grace, a start.
END_PATIENCE_S = 30.0


@dataclass(slots=True)
class SoakReport:
    """What a soak counted."""

    # Requests by kind and status.
    answers: collections.Counter
    # How often each fault came.
    faults: collections.Counter
    # Broken promises with their counts.
    broken: dict[str, int]


def run_soak(
    duration_s: float, seed: int, gateway_count: int = 3, kinds: tuple[str, ...] = ()
) -> SoakReport:
    """Run one soak.

    Parameters
    ----------
    duration_s : float
        How long faults come.
    seed : int
        Decides which faults come when.
    gateway_count : int
        How many gateways run.
    kinds : tuple of str
        The faults that may come; all if empty.

    Returns
    -------
    SoakReport
        The counts.
    """
    counts: collections.Counter = collections.Counter()
    with GatewayFleet(gateway_count, has_proxies=True) as fleet:
        context = SoakContext(fleet, random.Random(seed))
        callers = GatewayCallers(fleet)
        series = [
            eventlet.spawn(
                _disturb, context, random.Random(f"{seed}/{index}"), kinds, counts
            )
            for index in range(SERIES_COUNT)
        ]
        eventlet.sleep(duration_s)
        context.is_ending = True
        with eventlet.Timeout(END_PATIENCE_S, TimeoutError("a fault did not end")):
            for thread in series:
                thread.wait()
        found = check_recovery(context, callers)
        callers.end()
        broken = collections.Counter(broken_promises(fleet, callers.answers))
        broken.update(context.broken)
        broken.update(found)
        answers = collections.Counter(callers.answers.values())
    return SoakReport(answers, counts, dict(broken))


def _disturb(
    context: SoakContext,
    source: random.Random,
    kinds: tuple[str, ...],
    counts: collections.Counter,
) -> None:
    """Bring about one fault after another; each kind comes once before any again."""
    left: list[str] = []
    while not context.is_ending:
        left = left or list(kinds or FAULTS)
        kind = left.pop(source.randrange(len(left)))
        counts[kind] += 1
        FAULTS[kind](context)
        eventlet.sleep(source.uniform(0, GAP_LIMIT_S))
