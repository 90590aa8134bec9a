"""Selects the instances that a caller connects to."""

from dataclasses import dataclass
from random import Random

from berylhaven.gateway.members._member import Member

# Callers use at most this many addresses.
ADDRESSES_LIMIT = 64
# With fewer local instances, callers get the addresses of all data centres.
MIN_LOCAL_COUNT = 2
# If fewer of the instances reach the servers of all services, callers get the others
# too, so that they don't all come to a few.
MIN_REACHING_RATIO = 0.3


@dataclass(slots=True, frozen=True)
class Location:
    """The addresses for a caller."""

    # Addresses as HOST:PORT.
    addresses: tuple[str, ...]
    # How long the caller may cache them, in seconds.
    time_to_live_s: float


def locate(
    ready: list[Member], data_centre: str, time_to_live_s: float, random: Random
) -> Location | None:
    """Return the instances for a caller, only local ones if there are enough.

    Instances that do not reach the servers of a service are left out, although they
    pass requests on, if enough others remain.

    Parameters
    ----------
    ready : list of Member
        The instances that accept callers.
    data_centre : str
        The caller's data centre.
    time_to_live_s : float
        How long callers may cache the addresses, in seconds.
    random : random.Random
        The source of random numbers.

    Returns
    -------
    Location or None
        None if no instance accepts callers.
    """
    reaching = [member for member in ready if not member.unreached_mask]
    if len(reaching) >= MIN_REACHING_RATIO * len(ready):
        ready = reaching
    local = [member for member in ready if member.data_centre == data_centre]
    chosen = local if len(local) >= MIN_LOCAL_COUNT else ready
    if not chosen:
        return None
    addresses = [member.callers_address for member in chosen]
    random.shuffle(addresses)
    return Location(tuple(addresses[:ADDRESSES_LIMIT]), time_to_live_s)
