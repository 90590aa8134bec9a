"""One piece of news about a backend server's load."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What a backend server said of itself at one moment."""

    # Calls it is running.
    running_count: int
    # Calls that wait for a slot.
    queued_count: int
    # How many calls it can run at once; None if it did not say.
    slot_count: int | None
    # Its mean time for running one call, in seconds; None if it did not say.
    service_time_s: float | None
    # Whether it is leaving and wants no new calls.
    is_leaving: bool
    # When the report was received, or should count as received, on the hub's clock.
    received_at_s: float
    # How many times longer than usual work takes on the server's machine now.
    slowness_ratio: float = 1.0
