"""How an entry instance leaves: announced, then closing, then done."""

import enum
from dataclasses import dataclass

from berylhaven.blackboard import Section

# The time in which the other instances hear that this one leaves, after which no
# locate answer names it.
SPREAD_S = 3.0
# Callers on kept connections are told to close them for at least as long.
CLOSING_S = 1.0


class DrainStage(enum.Enum):
    """Where a leaving instance stands."""

    # Callers with locate answers from before may still come.
    ANNOUNCED = "announced"
    # No caller should come any more; calls in flight run on.
    CLOSING = "closing"
    # Nothing is left to do, or the limit was reached.
    DONE = "done"


@dataclass(slots=True, frozen=True)
class Drain:
    """The bounds of one drain."""

    # When it began, on the hub's clock.
    began_at_s: float
    # How long callers may keep a locate answer.
    locate_time_to_live_s: float
    # The longest time for all of it.
    limit_s: float

    @property
    def closing_at_s(self) -> float:
        """When the last locate answer that names the instance has run out."""
        floor_s = SPREAD_S + self.locate_time_to_live_s
        return self.began_at_s + min(floor_s, self.limit_s)

    @property
    def ends_by_s(self) -> float:
        """When the drain ends whatever is in flight."""
        return self.began_at_s + self.limit_s

    def stage(self, now_s: float, in_flight_count: int) -> DrainStage:
        """Return the stage at a time.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        in_flight_count : int
            Calls that have not ended.

        Returns
        -------
        DrainStage
            DONE with calls in flight only at the limit.
        """
        if now_s >= self.ends_by_s:
            return DrainStage.DONE
        if now_s < self.closing_at_s:
            return DrainStage.ANNOUNCED
        if in_flight_count > 0 or now_s < self.closing_at_s + CLOSING_S:
            return DrainStage.CLOSING
        return DrainStage.DONE


@dataclass(slots=True, frozen=True)
class DrainProgress:
    """What operators see of a drain."""

    # The bounds.
    drain: Drain
    # Where it stands.
    stage: DrainStage
    # Calls that have not ended.
    in_flight_count: int


# Written by the drain controller, once the instance leaves.
DRAIN_SECTION = Section[DrainProgress]("drain")
