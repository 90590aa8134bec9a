"""The place of an instance among all instances, by which they round alike.

Load pattern: the part of the limit of each of 20 to 730 instances is less than one
hedge in a time slot. Rounded down it is nothing; rounded at random the sum over the
instances varies so much that it passes the limit. The instances don't write shared
state, but each knows the members and the time.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

# Multiples of these numbers are evenly spread modulo 1, also in pairs (the inverse
# powers of the plastic number); so are the slots' starts and rounding offsets.
START_STEP = 0.7548776662466927
OFFSET_STEP = 0.5698402909980532
SLOT_STEP = 0.6180339887498949


@dataclass(slots=True, frozen=True)
class FleetPlace:
    """The rank of an instance among the instances that serve callers."""

    # The rank, from 0.
    rank: int

    @property
    def start_ratio(self) -> float:
        """The part of a slot by which the slots of this instance start earlier."""
        return self.rank * START_STEP % 1

    def rounding_offset(self, slot_index: int) -> float:
        """Return the number that is added before a fraction is rounded down.

        Parameters
        ----------
        slot_index : int
            The time slot, counted from a moment common to all instances.

        Returns
        -------
        float
            From 0 to 1, evenly spread over the ranks and over the slots.
        """
        return (self.rank * OFFSET_STEP + slot_index * SLOT_STEP) % 1


def fleet_place(service: str, own_address: str, addresses: Iterable[str]) -> FleetPlace:
    """Return the place of an instance in a service's order of the instances.

    Parameters
    ----------
    service : str
        The service; each has another order.
    own_address : str
        The address of this instance.
    addresses : iterable of str
        The addresses of the instances that serve callers.

    Returns
    -------
    FleetPlace
        The place, by the hash of service and address.
    """
    own = _digest(service, own_address)
    others = (_digest(service, a) for a in addresses if a != own_address)
    return FleetPlace(sum(digest < own for digest in others))


def _digest(service: str, address: str) -> bytes:
    return hashlib.blake2b(f"{service}\n{address}".encode(), digest_size=8).digest()
