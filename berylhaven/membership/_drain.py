"""The drain of an entry instance in the stages announced, closing and done."""

import enum
from dataclasses import dataclass

from berylhaven.blackboard import Section

# The time within which gossip reaches the other instances. After it, their locate
# answers no longer name this instance.
GOSSIP_SPREAD_S = 3.0
# The minimum time in which callers on persistent connections are told to close them.
MIN_CLOSING_S = 1.0
# At this time before the limit, calls that wait for a backend server end, so that their
# callers are told; at most this part of the limit.
CUT_MARGIN_S = 1.0
CUT_MARGIN_RATIO = 0.25
# In this part of the limit calls are taken whatever their deadlines are: most end long
# before these.
EARLY_RATIO = 0.45


class DrainStage(enum.Enum):
    """The stage of a draining instance."""

    # Callers with earlier locate answers may still connect.
    ANNOUNCED = "announced"
    # No new callers are expected; calls in flight continue.
    CLOSING = "closing"
    # No call is in flight, or the time limit was reached.
    DONE = "done"


@dataclass(slots=True, frozen=True)
class Drain:
    """The start and the time limits of one drain."""

    # When the drain began, on the hub's clock: peers are told from then on.
    began_at_s: float
    # How long callers may cache a locate answer, in seconds.
    locate_time_to_live_s: float
    # The maximum duration of the drain, in seconds.
    limit_s: float
    # For how long the signal may have been sent before that, in seconds. The limit
    # counts from there.
    unnoticed_s: float = 0.0

    @property
    def closing_at_s(self) -> float:
        """When the last locate answer that names the instance expires."""
        floor_s = GOSSIP_SPREAD_S + self.locate_time_to_live_s
        return min(self.began_at_s + floor_s, self.ends_by_s)

    @property
    def ends_by_s(self) -> float:
        """When the drain ends even if calls are in flight."""
        return self.began_at_s - self.unnoticed_s + self.limit_s

    @property
    def cuts_at_s(self) -> float:
        """When calls that still wait for a backend server are ended."""
        margin_s = min(CUT_MARGIN_S, CUT_MARGIN_RATIO * self.limit_s)
        return self.ends_by_s - margin_s

    def takes(self, now_s: float, deadline_s: float) -> bool:
        """Return whether a call that is received now is still taken.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        deadline_s : float
            The deadline of the call, on the hub's clock.

        Returns
        -------
        bool
            Whether the call is early, or its answer is due before calls are cut.
        """
        early_s = EARLY_RATIO * self.limit_s - self.unnoticed_s
        early_until_s = min(self.closing_at_s, self.began_at_s + early_s)
        return now_s < early_until_s or deadline_s <= self.cuts_at_s

    def stage(self, now_s: float, in_flight_count: int) -> DrainStage:
        """Return the stage at a point in time.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        in_flight_count : int
            The number of calls in flight.

        Returns
        -------
        DrainStage
            The stage; DONE with calls in flight only when the time limit is reached.
        """
        if now_s >= self.ends_by_s:
            return DrainStage.DONE
        if now_s < self.closing_at_s:
            return DrainStage.ANNOUNCED
        if in_flight_count > 0 or now_s < self.closing_at_s + MIN_CLOSING_S:
            return DrainStage.CLOSING
        return DrainStage.DONE


@dataclass(slots=True, frozen=True)
class DrainProgress:
    """The progress of a drain, as shown to operators."""

    # The start and the time limits.
    drain: Drain
    # The current stage.
    stage: DrainStage
    # The number of calls in flight.
    in_flight_count: int


# Written by the drain controller after the drain has begun.
DRAIN_SECTION = Section[DrainProgress]("drain")
