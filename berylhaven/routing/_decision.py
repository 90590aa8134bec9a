"""The input and the result of a routing policy."""

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylhaven.load import ServerLoad


@dataclass(slots=True)
class RoutingRequest:
    """The parameters of one routing decision."""

    # The time of the decision on the hub's clock.
    now_s: float
    # The deadline of the call, on the hub's clock.
    deadline_s: float
    # The data centre of the deciding entry instance.
    data_centre: str
    # The source of random numbers.
    random: Random
    # Addresses that were already tried for this call.
    excluded: frozenset[str] = frozenset()


@dataclass(slots=True)
class RoutingDecision:
    """The chosen backend server and the values behind the choice."""

    # The chosen server; None if none can be expected to answer in time.
    server: "ServerLoad | None"
    # The number of servers that could have been chosen.
    candidate_count: int
    # The age of the chosen server's last report in seconds; None without one.
    report_age_s: float | None
    # The expected time to the answer in seconds; None if the policy has no estimate.
    estimated_finish_s: float | None
