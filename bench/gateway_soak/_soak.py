"""One soak: callers, overlapping series of faults, and checks of the guarantees."""

import collections
import random
from dataclasses import dataclass

import eventlet

from bench.gateway_soak._faults import FAULTS
from bench.gateway_soak._mixed_builds import CURRENT_BUILD, start_old_build
from bench.gateway_soak._recovery_checks import check_recovery
from bench.gateway_soak._soak_context import SoakContext
from standins.gateway_callers import GatewayCallers, broken_promises
from standins.gateway_fleet import GatewayFleet

# The number of concurrent series of faults.
SERIES_COUNT = 3
PAUSE_LIMIT_S = 0.8
# Faults in progress end within this time: a gateway stops within its grace period and
# starts again.
FAULT_END_TIMEOUT_S = 30.0


@dataclass(slots=True)
class SoakReport:
    """The counts of a soak."""

    # The number of requests by kind and status.
    answers: collections.Counter
    # How often each fault was injected.
    faults: collections.Counter
    # The number of violations of each broken guarantee.
    broken: dict[str, int]


def run_soak(
    duration_s: float,
    seed: int,
    gateway_count: int = 3,
    kinds: tuple[str, ...] = (),
    old_commit: str = "",
) -> SoakReport:
    """Run one soak.

    Parameters
    ----------
    duration_s : float
        The time during which faults are injected, in seconds.
    seed : int
        The seed of the choice and times of the faults.
    gateway_count : int
        The number of gateways.
    kinds : tuple of str
        The names of the faults to inject; all if empty.
    old_commit : str
        The commit of an earlier build by which all gateways but one start; those that
        end are started again by either build. Empty for the current build alone.

    Returns
    -------
    SoakReport
        The counts.
    """
    counts: collections.Counter = collections.Counter()
    with GatewayFleet(gateway_count, has_proxies=True) as fleet:
        context = SoakContext(fleet, random.Random(seed))
        if old_commit:
            old_build = start_old_build(fleet, fleet.gateways[1:], old_commit)
            context.trees = (CURRENT_BUILD, old_build)
        callers = GatewayCallers(fleet)
        series = [
            eventlet.spawn(
                inject_faults, context, random.Random(f"{seed}/{index}"), kinds, counts
            )
            for index in range(SERIES_COUNT)
        ]
        eventlet.sleep(duration_s)
        context.is_ending = True
        with eventlet.Timeout(FAULT_END_TIMEOUT_S, TimeoutError("a fault did not end")):
            for thread in series:
                thread.wait()
        found = check_recovery(context, callers)
        callers.stop()
        broken = collections.Counter(broken_promises(fleet, callers.answers))
        broken.update(context.broken)
        broken.update(found)
        answers = collections.Counter(callers.answers.values())
    return SoakReport(answers, counts, dict(broken))


def inject_faults(
    context: SoakContext,
    source: random.Random,
    kinds: tuple[str, ...],
    counts: collections.Counter,
) -> None:
    """Inject one fault after another, each kind once before any is repeated.

    Parameters
    ----------
    context : SoakContext
        The soak's context; nothing is injected once it is ending.
    source : random.Random
        The source of the order and the pauses.
    kinds : tuple of str
        The names of the faults; all if empty.
    counts : collections.Counter
        Counts the faults by name.
    """
    left: list[str] = []
    while not context.is_ending:
        left = left or list(kinds or FAULTS)
        kind = left.pop(source.randrange(len(left)))
        counts[kind] += 1
        FAULTS[kind](context)
        eventlet.sleep(source.uniform(0, PAUSE_LIMIT_S))
