"""Estimates of a call's duration at a backend server, from load reports by age."""

import math
from dataclasses import dataclass

from berylhaven.load._server_load import COLD_START_S, SHED_PENALTY_S, ServerLoad

# Variance of a load that was just reported, in calls.
FRESH_VARIANCE = 0.5
# Time constant of the decay of a slow ratio: its weight is 1/e after this time.
SLOW_RATIO_DECAY_S = 2.0
# Factor by which calls at a server take longer at the start of its cold start.
COLD_START_RATIO = 2.0
# A failure ratio of 1 adds this many service times to the estimate.
FAILURE_SERVICE_TIMES = 40.0
# Time constant of the decay of failures: their weight is 1/e after this time, so
# that calls are sent to the server again.
FAILURE_DECAY_S = 2.0
# A server that has just shed a call is estimated as one with a full queue: this
# many service times are added.
SHED_SERVICE_TIMES = 10.0
# The minimum duration is used only if an answer was received within this time:
# an older one says nothing about how short a call can be now, and no call may be
# refused because of it.
MINIMUM_DURATION_VALID_S = 1.0
# Calls that are ahead in the queue may end early: only this part of their time is
# counted, so that a call is refused only if it would be late even then.
EARLY_COMPLETION_RATIO = 0.5


@dataclass(slots=True, frozen=True)
class FinishEstimate:
    """The estimated time from sending a call to receiving the head of its answer."""

    # The expected time in seconds.
    expected_s: float
    # 95 of 100 calls are answered within this time, in seconds.
    p95_s: float
    # 99 of 100 calls are answered within this time, in seconds.
    p99_s: float


def expected_finish_s(server: ServerLoad, now_s: float, data_centre: str) -> float:
    """Return the expected time to an answer.

    The weight of the reported load decays with its age in favour of the service's
    mean, so that an old report is neither taken as exact nor ignored. Calls of this
    instance in flight are known exactly and count in full.

    Parameters
    ----------
    server : ServerLoad
        The load record of the server.
    now_s : float
        The time on the hub's clock.
    data_centre : str
        The data centre of this instance.

    Returns
    -------
    float
        Seconds from now.
    """
    service = server.service
    weight = math.exp((server.report_received_at_s - now_s) / service.report_decay_s)
    mean = service.mean_others_in_flight
    others_in_flight = mean + weight * (server.others_in_flight - mean)
    if not server.answered_count and server.cold_until_s > now_s:
        # The server was just added: no calls are assumed until the first answers
        # show its load.
        others_in_flight = 0.0
    excess = others_in_flight + server.own_in_flight + 1 - server.slot_count
    variance = FRESH_VARIANCE + (1 - weight) * mean
    # Approximates the mean of the positive part of a load with this variance.
    wait = (
        0.5 * (excess + math.sqrt(excess * excess + 4 * variance)) / server.slot_count
    )
    service_time_s = service.service_time_s
    if server.has_penalty:
        finish_s = _penalized_finish_s(server, now_s, service_time_s, wait)
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
        The load record of the server.
    now_s : float
        The time on the hub's clock.
    data_centre : str
        The data centre of this instance.

    Returns
    -------
    FinishEstimate
        Used for hedging, and to detect connections that are unresponsive.
    """
    expected_s = expected_finish_s(server, now_s, data_centre)
    p95_ratio, p99_ratio = server.service.quantile_ratios
    return FinishEstimate(expected_s, expected_s * p95_ratio, expected_s * p99_ratio)


def minimum_finish_s(server: ServerLoad, now_s: float) -> float:
    """Return the minimum time in which an answer can be expected.

    The weight of an old load report decays to zero, so that no call is refused
    because of it.

    Parameters
    ----------
    server : ServerLoad
        The load record of the server.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    float
        Seconds from now.
    """
    service = server.service
    if now_s - service.answered_at_s > MINIMUM_DURATION_VALID_S:
        return 0.0
    weight = math.exp((server.report_received_at_s - now_s) / service.report_decay_s)
    excess = (
        server.own_in_flight + weight * server.others_in_flight + 1 - server.slot_count
    )
    wait = EARLY_COMPLETION_RATIO * max(0.0, excess) / server.slot_count
    return service.minimum_duration_s() + wait * service.service_time_s


def _penalized_finish_s(
    server: ServerLoad, now_s: float, service_time_s: float, wait: float
) -> float:
    slow_factor = 1.0
    if server.slow_ratio > 1:
        weight = math.exp((server.slow_ratio_at_s - now_s) / SLOW_RATIO_DECAY_S)
        slow_factor += weight * (server.slow_ratio - 1)
    if server.cold_until_s > now_s:
        remaining_ratio = (server.cold_until_s - now_s) / COLD_START_S
        slow_factor *= 1 + remaining_ratio * (COLD_START_RATIO - 1)
    extra_service_times = 0.0
    if server.failed_at_s is not None:
        weight = math.exp((server.failed_at_s - now_s) / FAILURE_DECAY_S)
        extra_service_times += weight * server.failure_ratio * FAILURE_SERVICE_TIMES
    if now_s - server.shed_at_s < SHED_PENALTY_S:
        extra_service_times += SHED_SERVICE_TIMES
    return service_time_s * (slow_factor * (1 + wait) + extra_service_times)
