"""This instance's part of the hedges that all instances together may send.

Load pattern: instances with few requests save up for a hedge, and a slow spell or the
end of an overload makes all of them spend it at the same time.

Two conditions hold for each hedge. It is paid from a deposit, to which each request
of this instance adds the limit's ratio, so that no run of an instance ever sends more
than the ratio of its requests. And it is in this slot's allowance, which is the part of
the limit that the previous slot's requests give, rounded by the place of the instance:
all allowances of a slot together are the used part of the fleet's limit.
"""

from berylhaven.hedging._fleet_place import FleetPlace

# The length of a slot in seconds; the retry budget has windows of the same length.
SLOT_S = 10.0
# The part of the limit that is used. The rest covers waves of the load between a slot
# and the next one, and the varying numbers of requests at single instances.
USED_RATIO = 0.85
# An allowance lapses so long after the start of its slot, so that what was not needed
# is not spent together with the next slot's.
ALLOWANCE_DURATION_S = 4.5
# A slot lasts at least this part of its length, also if the place changes.
MIN_SLOT_RATIO = 0.9
# The deposit that is kept, in hedges, beside one slot's allowance.
DEPOSIT_LIMIT = 2.0


class HedgeBudget:
    """The hedges of one service at this instance; it starts empty."""

    __slots__ = (
        "_deposit",
        "_slot_index",
        "_slot_start_s",
        "_request_count",
        "_allowance",
    )

    def __init__(self) -> None:
        # In hedges.
        self._deposit = 0.0
        self._slot_index: int | None = None
        self._slot_start_s = 0.0
        # The requests of this slot.
        self._request_count = 0
        # The hedges that are left of this slot's allowance.
        self._allowance = 0

    def needs_place(self, fleet_s: float) -> bool:
        """Return whether the slot may have ended, so that the place is needed.

        Parameters
        ----------
        fleet_s : float
            The time that is common to all instances, in seconds.

        Returns
        -------
        bool
            False while the slot goes on at any place.
        """
        return (
            self._slot_index is None
            or not 0 <= fleet_s - self._slot_start_s < MIN_SLOT_RATIO * SLOT_S
        )

    def start_slot(self, ratio: float, place: FleetPlace, fleet_s: float) -> None:
        """Start the next slot if the current one is over; call it if `needs_place`.

        Parameters
        ----------
        ratio : float
            The limit, in hedges per request.
        place : FleetPlace
            The place of this instance.
        fleet_s : float
            The time that is common to all instances, in seconds.
        """
        position = fleet_s / SLOT_S + place.start_ratio
        index = int(position)
        if index == self._slot_index:
            return
        start_s = fleet_s - (position - index) * SLOT_S
        duration_s = start_s - self._slot_start_s
        # After a step of the clock backwards the previous slot counts as a whole one.
        slot_ratio = SLOT_S / max(SLOT_S, duration_s)
        fraction = USED_RATIO * ratio * self._request_count * slot_ratio
        self._allowance = int(fraction + place.rounding_offset(index))
        self._deposit = min(self._deposit, DEPOSIT_LIMIT + fraction)
        self._slot_index = index
        self._slot_start_s = start_s
        self._request_count = 0

    def record_request(self, ratio: float) -> None:
        """Record a request that this instance took from a caller.

        Parameters
        ----------
        ratio : float
            The limit, in hedges per request.
        """
        self._request_count += 1
        self._deposit += ratio

    def has_hedge(self, fleet_s: float) -> bool:
        """Return whether a hedge is left now.

        Parameters
        ----------
        fleet_s : float
            The time that is common to all instances, in seconds.

        Returns
        -------
        bool
            False also if the allowance of the slot has lapsed.
        """
        is_valid = 0 <= fleet_s - self._slot_start_s < ALLOWANCE_DURATION_S
        return is_valid and self._allowance >= 1 and self._deposit >= 1

    def spend(self) -> None:
        """Spend a hedge."""
        self._allowance -= 1
        self._deposit -= 1
