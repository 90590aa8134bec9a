"""The blackboard section with the last pause of this process."""

from dataclasses import dataclass

from berylhaven.blackboard import Section


@dataclass(slots=True, frozen=True)
class Pause:
    """A period in which this process did not run."""

    # The duration of the pause, in seconds.
    duration_s: float
    # When the pause was detected, on the hub's clock.
    noticed_at_s: float


# Written by the pause controller.
PAUSE_SECTION = Section[Pause]("pause")
