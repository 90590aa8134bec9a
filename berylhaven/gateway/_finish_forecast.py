"""How long a request would take at a backend server, and what that is worth."""

import math
from dataclasses import dataclass

from berylhaven.gateway._server_record import ServerRecord

# What a request is taken to need before the first answer, relative to its objective.
INITIAL_WORK_RATIO = 0.4
# The weight of one answer in the mean work of a route.
WORK_WEIGHT = 0.05
# From this share of busy slots on, servers slow down (the platform's description).
NEARLY_FULL_RATIO = 0.8
NEARLY_FULL_SLOWNESS_RATIO = 1.5
# A report that is older counts for 1/e: machines change their speed several times a
# second.
REPORT_TRUST_S = 0.15
# The slowness of a machine of which nothing is known.
MEAN_SLOWNESS_RATIO = 2.0
# An answer after the objective and before the deadline, relative to one in time.
LATE_WORTH_RATIO = 0.1
# The spread of the forecasts around the truth, relative to the objective.
SPREAD_RATIO = 0.12
# Of two answers in time the earlier one is a little better.
EARLINESS_WORTH_RATIO = 0.1
# What a kilobyte between data centres costs, relative to a request's worth.
REMOTE_COST_PER_KB = 0.025
# However large the body is, a remote server is better than none.
REMOTE_COST_LIMIT = 0.5


@dataclass(slots=True)
class RouteWork:
    """What the requests of one route need, learned from their answers."""

    # The time in a slot at usual speed, in seconds.
    work_s: float
    # Bytes of request and answer together.
    size_bytes: float = 2_000.0

    def record(self, work_s: float, size_bytes: int) -> None:
        """Take in one answered request.

        Parameters
        ----------
        work_s : float
            Its time in a slot at usual speed, in seconds.
        size_bytes : int
            Bytes of request and answer.
        """
        # One answer that waited unseen must not look like work.
        sample_s = min(max(work_s, self.work_s / 3), self.work_s * 3)
        self.work_s += WORK_WEIGHT * (sample_s - self.work_s)
        self.size_bytes += WORK_WEIGHT * (size_bytes - self.size_bytes)


def slowness_ratio(server: ServerRecord, now_s: float) -> float:
    """Return how many times longer work takes, judged by the report's age.

    Parameters
    ----------
    server : ServerRecord
        The server.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    float
        1 at the usual speed.
    """
    if server.report is None:
        return MEAN_SLOWNESS_RATIO
    trust = math.exp(-server.report_age_s(now_s) / REPORT_TRUST_S)
    known = server.report.slowness_ratio
    return MEAN_SLOWNESS_RATIO + trust * (known - MEAN_SLOWNESS_RATIO)


def finish_forecast_s(server: ServerRecord, work: RouteWork, now_s: float) -> float:
    """Return the expected time to an answer.

    Parameters
    ----------
    server : ServerRecord
        The server.
    work : RouteWork
        What the request needs.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    float
        Seconds from now.
    """
    slots = server.slot_count
    places = server.occupied_count + 1
    run_s = work.work_s * slowness_ratio(server, now_s) * server.warmup_ratio(now_s)
    if places > NEARLY_FULL_RATIO * slots:
        run_s *= NEARLY_FULL_SLOWNESS_RATIO
    waves = max(0, places - slots) / slots
    return run_s * (1 + waves)


def expected_utility(
    finish_s: float, objective_left_s: float, objective_s: float, deadline_left_s: float
) -> float:
    """Return what an answer is expected to be worth, from 0 to 1.

    Parameters
    ----------
    finish_s : float
        The expected time to the answer in seconds.
    objective_left_s : float
        Until the latency objective, in seconds.
    objective_s : float
        The whole latency objective in seconds.
    deadline_left_s : float
        Until the deadline, in seconds.

    Returns
    -------
    float
        1 for an answer that is surely in time.
    """
    if finish_s >= deadline_left_s:
        return 0.0
    spread_s = SPREAD_RATIO * objective_s
    exponent = (finish_s - 0.9 * objective_left_s) / spread_s
    in_time = 1 / (1 + math.exp(min(50.0, max(-50.0, exponent))))
    earliness = max(0.0, 1 - finish_s / max(objective_s, 0.001))
    worth = LATE_WORTH_RATIO + (1 - LATE_WORTH_RATIO) * in_time
    return worth * (1 - EARLINESS_WORTH_RATIO * (1 - earliness))


def remote_cost(size_bytes: float) -> float:
    """Return what sending a request to another data centre costs.

    Parameters
    ----------
    size_bytes : float
        Bytes of request and answer together.

    Returns
    -------
    float
        Relative to the worth of a request.
    """
    return min(REMOTE_COST_LIMIT, size_bytes / 1_000 * REMOTE_COST_PER_KB)
