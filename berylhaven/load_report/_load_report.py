"""The load report of a backend server."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LoadReport:
    """The load that a backend server reported at one moment."""

    # Calls that the server is running.
    running_count: int
    # Calls that wait for a slot.
    queued_count: int
    # The number of calls that it can run at once; None if not reported.
    slot_count: int | None
    # Its mean time for running one call, in seconds; None if not reported.
    service_time_s: float | None
    # Whether it is leaving and accepts no new calls.
    is_leaving: bool
    # The time of receipt on the hub's clock; for a report from a peer, computed
    # from its age.
    received_at_s: float
    # Factor by which work on the server's machine takes longer than usual.
    slowness_ratio: float = 1.0
