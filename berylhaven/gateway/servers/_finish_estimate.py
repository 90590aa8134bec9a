"""Estimates of a request's time to answer on a backend server, and their utility."""

import math
from dataclasses import dataclass, field

from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.overload import Crowding, best_concurrency, is_crowded

# The assumed work of a request before the first answer, relative to its objective.
INITIAL_WORK_RATIO = 0.4
# The weight of one answer in the moving averages of a route.
WORK_SAMPLE_WEIGHT = 0.05
# Time constant: a load report of this age has the weight 1/e, because machines change
# their speed several times a second.
REPORT_DECAY_S = 0.15
# The slowness assumed for a machine without a load report.
MEAN_SLOWNESS_RATIO = 2.0
# The utility of an answer after the objective and before the deadline, relative to an
# answer within the objective.
LATE_UTILITY_RATIO = 0.1
# The spread of the estimates around the actual time, relative to the objective.
ESTIMATE_SPREAD_RATIO = 0.12
# The part of the utility that depends on how early an answer is, so that the earlier
# of two answers within the objective is slightly preferred.
EARLINESS_UTILITY_RATIO = 0.1
# The cost of a kilobyte between data centres, relative to a request's utility.
REMOTE_COST_PER_KB = 0.025
# The upper bound of that cost: for any body size a remote server is better than none.
REMOTE_COST_LIMIT = 0.5


@dataclass(slots=True)
class RouteWork:
    """Moving averages of the work and size of a route's requests."""

    # The time that a request occupies a slot at normal speed, in seconds.
    work_s: float
    # The size of request and answer together, in bytes.
    size_bytes: float = 2_000.0
    # How crowded servers of the service slow down, shared by its routes.
    crowding: Crowding = field(default_factory=Crowding)

    def record(self, work_s: float, size_bytes: int) -> None:
        """Add an answered request to the averages.

        Parameters
        ----------
        work_s : float
            The time that it occupied a slot at normal speed, in seconds.
        size_bytes : int
            The size of request and answer together, in bytes.
        """
        # Limits outliers: time that an answer waited unobserved must not count as work.
        sample_s = min(max(work_s, self.work_s / 3), self.work_s * 3)
        self.work_s += WORK_SAMPLE_WEIGHT * (sample_s - self.work_s)
        self.size_bytes += WORK_SAMPLE_WEIGHT * (size_bytes - self.size_bytes)


def slowness_ratio(server: ServerRecord, now_s: float) -> float:
    """Return the slowness of a server, with its report weighted by age.

    Parameters
    ----------
    server : ServerRecord
        The backend server.
    now_s : float
        The current time on the hub's clock, in seconds.

    Returns
    -------
    float
        How many times longer work takes than at normal speed, which is 1.
    """
    if server.report is None:
        return MEAN_SLOWNESS_RATIO
    report_weight = math.exp(-server.report_age_s(now_s) / REPORT_DECAY_S)
    reported_ratio = server.report.slowness_ratio
    return MEAN_SLOWNESS_RATIO + report_weight * (reported_ratio - MEAN_SLOWNESS_RATIO)


def expected_finish_s(server: ServerRecord, work: RouteWork, now_s: float) -> float:
    """Return the expected time until a server answers a request.

    Parameters
    ----------
    server : ServerRecord
        The backend server.
    work : RouteWork
        The averages of the request's route.
    now_s : float
        The current time on the hub's clock, in seconds.

    Returns
    -------
    float
        The time from now, in seconds.
    """
    slots = server.slot_count
    request_count = server.occupied_count + 1
    run_s = uncrowded_run_s(server, work, now_s)
    if is_crowded(request_count, slots):
        run_s *= work.crowding.slowdown_ratio
    queued_per_slot = max(0, request_count - slots) / slots
    return run_s * (1 + queued_per_slot)


def uncrowded_run_s(server: ServerRecord, work: RouteWork, now_s: float) -> float:
    """Return the expected run time of a request on a server with free slots.

    Parameters
    ----------
    server : ServerRecord
        The backend server.
    work : RouteWork
        The averages of the request's route.
    now_s : float
        The current time on the hub's clock, in seconds.

    Returns
    -------
    float
        The time, in seconds.
    """
    return work.work_s * slowness_ratio(server, now_s) * server.warmup_ratio(now_s)


def has_free_slot(server: ServerRecord, work: RouteWork, now_s: float) -> bool:
    """Return whether a server would run a request without a wait.

    Parameters
    ----------
    server : ServerRecord
        The backend server.
    work : RouteWork
        The averages of the request's route.
    now_s : float
        The current time on the hub's clock, in seconds.

    Returns
    -------
    bool
        Whether it runs fewer requests than is best for it, and has refused none of
        late.
    """
    concurrency = best_concurrency(server.slot_count, work.crowding.slowdown_ratio)
    return now_s >= server.full_until_s and server.occupied_count < concurrency


def expected_utility(
    finish_s: float,
    objective_remaining_s: float,
    objective_s: float,
    deadline_remaining_s: float,
) -> float:
    """Return the expected utility of an answer, from 0 to 1.

    Parameters
    ----------
    finish_s : float
        The expected time until the answer, in seconds.
    objective_remaining_s : float
        The time until the latency objective passes, in seconds.
    objective_s : float
        The latency objective, in seconds.
    deadline_remaining_s : float
        The time until the deadline, in seconds.

    Returns
    -------
    float
        Near 1 for an early answer, 0 for one after the deadline.
    """
    if finish_s >= deadline_remaining_s:
        return 0.0
    spread_s = ESTIMATE_SPREAD_RATIO * objective_s
    exponent = (finish_s - 0.9 * objective_remaining_s) / spread_s
    in_time = 1 / (1 + math.exp(min(50.0, max(-50.0, exponent))))
    earliness = max(0.0, 1 - finish_s / max(objective_s, 0.001))
    utility = LATE_UTILITY_RATIO + (1 - LATE_UTILITY_RATIO) * in_time
    return utility * (1 - EARLINESS_UTILITY_RATIO * (1 - earliness))


def remote_cost(size_bytes: float) -> float:
    """Return the cost of sending a request to another data centre.

    Parameters
    ----------
    size_bytes : float
        The size of request and answer together, in bytes.

    Returns
    -------
    float
        The cost, relative to the utility of a request.
    """
    return min(REMOTE_COST_LIMIT, size_bytes / 1_000 * REMOTE_COST_PER_KB)
