"""What a run with planned stops found."""

import collections
from dataclasses import dataclass, field

from bench.gateway_soak._loss_rules import (
    Arrival,
    LossClass,
    PlannedStop,
    SentRequest,
)


@dataclass(slots=True)
class StopReport:
    """What was found in a run with planned stops."""

    # The number of requests that were sent whole and ended, by kind and status.
    answers: collections.Counter = field(default_factory=collections.Counter)
    # How often each fault was injected.
    faults: collections.Counter = field(default_factory=collections.Counter)
    # Lost requests, and one line with the circumstances of each.
    losses: collections.Counter[LossClass] = field(default_factory=collections.Counter)
    lines: list[str] = field(default_factory=list)
    # How many of the requests that were never passed on the gateway's log names, so
    # that it had read them.
    read_count: int = 0
    # Requests that earlier builds lost in their own stops, by how.
    old_losses: collections.Counter[LossClass] = field(
        default_factory=collections.Counter
    )
    # What else went wrong, in one line each: processes that ended by themselves,
    # configurations that were not applied.
    broken: list[str] = field(default_factory=list)
    # How many requests the logs name as passed on; logs are limited in lines a second.
    passed_on_count: int = 0
    # The number of requests that were still open when the run ended.
    open_count: int = 0
    # The number of processes that were killed at the end of the grace.
    killed_count: int = 0
    # The time from each SIGTERM to the exit of the process, in seconds.
    exits_after_s: list[float] = field(default_factory=list)
    # The longest delay of the callers' own hub, in seconds.
    max_delay_s: float = 0.0


def describe_loss(
    found: LossClass,
    request: SentRequest,
    arrivals: list[Arrival],
    stop: PlannedStop | None,
) -> str:
    """Return a line with the circumstances of a loss.

    Parameters
    ----------
    found : LossClass
        In which way it was lost.
    request : SentRequest
        The request.
    arrivals : list of Arrival
        What the servers recorded of it.
    stop : PlannedStop or None
        The stop of its gateway; times are given from its signal. Without a stop they
        are given from the last byte of the request.

    Returns
    -------
    str
        One line.
    """
    origin_s = request.sent_s if stop is None else stop.signal_s

    def since(time_s: float | None) -> str:
        """Return a time counted from the origin."""
        return "never" if time_s is None else f"{time_s - origin_s:.2f}"

    ended = "connection ended" if request.status is None else f"{request.status} at"
    ended = f"{ended} {since(request.ended_s)}"
    place = f"{request.position} of {request.connection}"
    place += " behind another one" if request.is_behind else ""
    servers = "; ".join(
        f"{arrival.server} got it {since(arrival.arrived_s)}, began "
        f"{since(arrival.began_s)}, ended {since(arrival.ended_s)}, answered "
        f"{since(arrival.written_s)}"
        for arrival in arrivals
    )
    return (
        f"{found.value}: {request.kind} {request.request_id} at {request.gateway}, "
        f"place {place}, sent {since(request.sent_s)}, {ended}, limit "
        f"{request.limit_s:.0f}; servers: {servers or 'none'}"
    )
