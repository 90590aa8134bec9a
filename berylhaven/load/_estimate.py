"""How long a call would take at a backend server, judged from news by its age."""

import math
from dataclasses import dataclass

from berylhaven.load._server_load import COLD_START_S, SHED_REST_S, ServerLoad

# The variance of a load that was just reported, in calls.
FRESH_VARIANCE = 0.5
# What is heard of a server's slowness counts for 1/e after this time.
SLOW_TRUST_S = 2.0
# A call at a cold server takes so many times longer at first.
COLD_RATIO = 2.0
# A certain failure counts as a call of this many service times.
FAILURE_SERVICE_TIMES = 40.0
# Failures count for 1/e after this time, so that a server is tried again.
FAILURE_TRUST_S = 2.0
# A server that has just shed counts as one with a full queue.
SHED_SERVICE_TIMES = 10.0
# A time to finish that is too good to be refused as too late: older news tells
# nothing of how short a call can be.
LEAST_DURATION_TRUST_S = 1.0
# Calls ahead may end early; a call is refused only if that would not save it.
EARLY_END_RATIO = 0.5


@dataclass(slots=True, frozen=True)
class FinishEstimate:
    """How long a call takes at a backend server, from sending to the answer's head."""

    # The expected time in seconds.
    expected_s: float
    # 95 of 100 calls are answered within this time, in seconds.
    p95_s: float
    # 99 of 100 calls are answered within this time, in seconds.
    p99_s: float


def expected_finish_s(server: ServerLoad, now_s: float, data_centre: str) -> float:
    """Return the expected time to an answer.

    The reported load counts less the older it is and gives way to the service's
    mean, so that old news is neither believed nor ignored. Own calls in flight
    are exact and count in full.

    Parameters
    ----------
    server : ServerLoad
        The server.
    now_s : float
        The time on the hub's clock.
    data_centre : str
        Where the caller of this function stands.

    Returns
    -------
    float
        Seconds from now.
    """
    service = server.service
    trust = math.exp((server.report_received_at_s - now_s) / service.report_decay_s)
    mean = service.mean_others_in_flight
    others_in_flight = mean + trust * (server.others_in_flight - mean)
    if not server.answered_count and server.cold_until_s > now_s:
        # It has just come; each instance learns more with its first calls.
        others_in_flight = 0.0
    over = others_in_flight + server.own_in_flight + 1 - server.slot_count
    variance = FRESH_VARIANCE + (1 - trust) * mean
    # The mean of the positive part of a load that is known within a variance.
    wait = 0.5 * (over + math.sqrt(over * over + 4 * variance)) / server.slot_count
    service_time_s = service.service_time_s
    if server.has_penalty:
        finish_s = _marked_finish_s(server, now_s, service_time_s, wait)
    else:
        finish_s = service_time_s * (1 + wait)
    if server.data_centre != data_centre:
        finish_s += service.extra_round_trip_s(server.data_centre)
    return finish_s


def finish_estimate(
    server: ServerLoad, now_s: float, data_centre: str
) -> FinishEstimate:
    """Return the expected time to an answer and high quantiles of it.

    Parameters
    ----------
    server : ServerLoad
        The server.
    now_s : float
        The time on the hub's clock.
    data_centre : str
        Where the caller of this function stands.

    Returns
    -------
    FinishEstimate
        For hedging, and for judging a connection that is silent for longer.
    """
    expected_s = expected_finish_s(server, now_s, data_centre)
    p95_ratio, p99_ratio = server.service.quantile_ratios
    return FinishEstimate(expected_s, expected_s * p95_ratio, expected_s * p99_ratio)


def minimum_finish_s(server: ServerLoad, now_s: float) -> float:
    """Return the time below which an answer can't be hoped for.

    Old news of a load counts for nothing here, so that no call is refused on it.

    Parameters
    ----------
    server : ServerLoad
        The server.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    float
        Seconds from now.
    """
    service = server.service
    if now_s - service.answered_at_s > LEAST_DURATION_TRUST_S:
        return 0.0
    trust = math.exp((server.report_received_at_s - now_s) / service.report_decay_s)
    over = (
        server.own_in_flight + trust * server.others_in_flight + 1 - server.slot_count
    )
    wait = EARLY_END_RATIO * max(0.0, over) / server.slot_count
    return service.minimum_duration_s() + wait * service.service_time_s


def _marked_finish_s(
    server: ServerLoad, now_s: float, service_time_s: float, wait: float
) -> float:
    slow = 1.0
    if server.slow_ratio > 1:
        trust = math.exp((server.slow_ratio_at_s - now_s) / SLOW_TRUST_S)
        slow += trust * (server.slow_ratio - 1)
    if server.cold_until_s > now_s:
        left = (server.cold_until_s - now_s) / COLD_START_S
        slow *= 1 + left * (COLD_RATIO - 1)
    extra = 0.0
    if server.failed_at_s is not None:
        trust = math.exp((server.failed_at_s - now_s) / FAILURE_TRUST_S)
        extra += trust * server.failure_ratio * FAILURE_SERVICE_TIMES
    if now_s - server.shed_at_s < SHED_REST_S:
        extra += SHED_SERVICE_TIMES
    return service_time_s * (slow * (1 + wait) + extra)
