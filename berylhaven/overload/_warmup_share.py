"""Which instances may send to a cold server, and how often.

Load pattern: a server that has just started takes only a few requests a second from
all instances together, and crashes at a rate well above that. The instances are many
and receive one or two requests a second each, so they cannot agree on each request. A
few of them, which all find by the same hash, have equal parts of the rate; the others
send nothing. Instances whose member tables differ find different ones, so their number
leaves a margin to what the server bears.
"""

import functools
import hashlib
import math
from collections.abc import Collection
from dataclasses import dataclass

# The least time between two requests of one instance, if its part of the rate allows
# it: above one second, so that an instance adds one request to any second, also if the
# network delays the first one by some milliseconds more than the second.
LONG_GAP_S = 1.05
# The part of what a server bears beyond its rate that the planned requests of one
# second may use. The rest is for instances that others do not know.
PLANNED_EXCESS_RATIO = 0.5
# The part of the remaining margin that replaces lost instances.
SPARE_RATIO = 0.5
# The number of plans that are kept: one for each limit and number of instances.
PLANS_LIMIT = 64


@dataclass(slots=True, frozen=True)
class WarmupTolerance:
    """What a cold server bears in one second, beside the rate of its service."""

    # The requests in any one second, relative to the rate.
    excess_ratio: float
    # The requests in any one second in addition to that.
    slack_count: float

    def peak_count(self, limit_per_s: float) -> float:
        """Return the requests that a cold server bears in any one second."""
        return self.excess_ratio * limit_per_s + self.slack_count


@dataclass(slots=True, frozen=True)
class WarmupPlan:
    """How the rate of a cold server is divided."""

    # The requests a second that the server takes from all instances.
    limit_per_s: float
    # The number of instances that have a part of the rate.
    sharer_count: int
    # The number of lost instances that are replaced by others.
    spare_count: int

    def interval_s(self, lost_count: int) -> float:
        """Return the time between two turns of one instance, in seconds.

        Parameters
        ----------
        lost_count : int
            The number of lost instances that this instance sees replaced. They may be
            running, cut off from this instance only.

        Returns
        -------
        float
            So long that all of them together keep to the rate.
        """
        return (self.sharer_count + lost_count) / self.limit_per_s

    def gap_s(self, interval_s: float) -> float:
        """Return the least time between two requests of one instance, in seconds."""
        return min(LONG_GAP_S, interval_s)


@functools.lru_cache(maxsize=PLANS_LIMIT)
def plan_warmup(
    limit_per_s: float, tolerance: WarmupTolerance, member_count: int
) -> WarmupPlan:
    """Divide the rate of a cold server.

    Parameters
    ----------
    limit_per_s : float
        The requests a second that the server takes from all instances, above zero.
    tolerance : WarmupTolerance
        What the server bears in one second.
    member_count : int
        The number of instances that may have a part, at least one.

    Returns
    -------
    WarmupPlan
        With as many sharers as the margin allows: each receives few requests, so many
        sharers use more of the rate.
    """
    peak_count = tolerance.peak_count(limit_per_s)
    planned_count = limit_per_s + PLANNED_EXCESS_RATIO * (peak_count - limit_per_s)
    sharer_count = max(
        (
            count
            for count in range(1, member_count + 1)
            if count * _count_in_one_second(limit_per_s, count) <= planned_count
        ),
        default=1,
    )
    bearable_count = peak_count / _count_in_one_second(limit_per_s, sharer_count)
    spare_count = max(0, int(SPARE_RATIO * (bearable_count - sharer_count)))
    return WarmupPlan(limit_per_s, sharer_count, spare_count)


def _count_in_one_second(limit_per_s: float, sharer_count: int) -> int:
    """Return the most requests of one sharer in any one second."""
    gap_s = min(LONG_GAP_S, sharer_count / limit_per_s)
    return 1 + math.floor(1 / gap_s)


def warmup_interval_s(
    server_id: str,
    own: str,
    live: Collection[str],
    known: Collection[str],
    plan: WarmupPlan,
) -> float | None:
    """Return the time between two turns of this instance at a cold server.

    The sharers are the first live instances in an order that depends on the server. An
    instance that is not live may be running, cut off from this one, and may think the
    same of this one. So only the first instances of all that are known, live or not,
    may ever be sharers, and they share the rate with those that they replace.

    Parameters
    ----------
    server_id : str
        The cold server.
    own : str
        The address of this instance.
    live : collection of str
        The addresses of the live instances of the server's data centre.
    known : collection of str
        The addresses of all its instances that may be running; includes the live ones.
    plan : WarmupPlan
        How the rate is divided.

    Returns
    -------
    float or None
        The time in seconds; None if this instance sends nothing to the server.
    """
    order = sorted({own, *known}, key=lambda member: _rank(server_id, member))
    eligible = order[: plan.sharer_count + plan.spare_count]
    responsive = [member for member in eligible if member == own or member in live]
    if own not in responsive[: plan.sharer_count]:
        return None
    lost_count = len(eligible) - len(responsive)
    return plan.interval_s(min(lost_count, len(eligible) - plan.sharer_count))


def _rank(server_id: str, member: str) -> bytes:
    """Return the place of an instance at a server: rendezvous hashing."""
    key = f"{server_id}\n{member}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
