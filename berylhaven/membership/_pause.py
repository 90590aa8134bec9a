"""The blackboard section that tells of the last pause of this process."""

from dataclasses import dataclass

from berylhaven.blackboard import Section


@dataclass(slots=True, frozen=True)
class Pause:
    """A time in which this process did not run."""

    # How long it lasted, in seconds.
    duration_s: float
    # When its end was noticed, on the hub's clock.
    noticed_at_s: float


# Written by the pause controller.
PAUSE_SECTION = Section[Pause]("pause")
