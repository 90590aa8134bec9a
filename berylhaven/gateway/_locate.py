"""Telling callers which instances to use."""

from dataclasses import dataclass
from random import Random

from berylhaven.gateway._members import Member

# Callers look at so many addresses at most.
ADDRESSES_LIMIT = 64
# With fewer instances near, callers are sent to all.
LEAST_NEAR_COUNT = 2


@dataclass(slots=True, frozen=True)
class Location:
    """The addresses for a caller."""

    # HOST:PORT each.
    addresses: tuple[str, ...]
    # How long the caller may keep them, in seconds.
    time_to_live_s: float


def locate(
    ready: list[Member], data_centre: str, time_to_live_s: float, random: Random
) -> Location | None:
    """Return the instances that a caller shall use, near ones if there are enough.

    Parameters
    ----------
    ready : list of Member
        The instances that take callers.
    data_centre : str
        Where the caller is.
    time_to_live_s : float
        How long callers keep the answer, in seconds.
    random : random.Random
        The source of random numbers.

    Returns
    -------
    Location or None
        None if no instance takes callers.
    """
    near = [member for member in ready if member.data_centre == data_centre]
    chosen = near if len(near) >= LEAST_NEAR_COUNT else ready
    if not chosen:
        return None
    addresses = [member.callers_address for member in chosen]
    random.shuffle(addresses)
    return Location(tuple(addresses[:ADDRESSES_LIMIT]), time_to_live_s)
