"""The figures of one run."""

from dataclasses import dataclass, field

import numpy


@dataclass(slots=True)
class RunFigures:
    """How the calls of one run ended, after its warm-up."""

    # Calls sent before this time are not counted, in seconds.
    counted_from_s: float
    # What a lost call counts as, in seconds.
    deadline_s: float
    # The time to each call's answer, in seconds; lost calls as the deadline.
    durations_s: list[float] = field(default_factory=list)
    # Calls that failed, were shed, or were not answered in time.
    lost_count: int = 0
    # Calls that were refused because no server could answer in time.
    refused_count: int = 0
    # Bytes of load news that all instances sent to peers.
    load_update_bytes: int = 0

    def record_answered(self, sent_at_s: float, duration_s: float) -> None:
        """Count an answered call."""
        if sent_at_s >= self.counted_from_s:
            self.durations_s.append(duration_s)

    def record_lost(self, sent_at_s: float) -> None:
        """Count a call without an answer."""
        if sent_at_s >= self.counted_from_s:
            self.durations_s.append(self.deadline_s)
            self.lost_count += 1

    def record_refused(self, sent_at_s: float) -> None:
        """Count a call that was not sent."""
        if sent_at_s >= self.counted_from_s:
            self.durations_s.append(self.deadline_s)
            self.refused_count += 1

    def record_load_update(self, size_bytes: int) -> None:
        """Count news to a peer."""
        self.load_update_bytes += size_bytes


@dataclass(slots=True, frozen=True)
class CellResult:
    """One cell of the report: a policy at one firm, load and scenario."""

    # The firm's name.
    firm: str
    # The scenario's name.
    scenario: str
    # Calls as a share of capacity.
    load_ratio: float
    # The policy's registry name.
    policy: str
    # Calls that were counted.
    call_count: int
    # Time to answer for 50, 99 and 99.9 of 100 calls, in milliseconds.
    p50_ms: float
    p99_ms: float
    p999_ms: float
    # Calls answered within their deadline, as a share of all.
    in_time_ratio: float
    # Calls refused at once, as a share of all.
    refused_ratio: float
    # Slot time that probes took, as a share of the measuring budget.
    budget_used_ratio: float
    # Slot time that probes took, as a share of all slot time.
    probe_ratio: float
    # Bytes of load news sent to peers, for one call.
    load_update_bytes_per_call: float


def percentiles_ms(durations_s: list[float]) -> tuple[float, float, float]:
    """Return the 50th, 99th and 99.9th percentile in milliseconds."""
    values = numpy.percentile(durations_s, (50, 99, 99.9)) * 1000
    return tuple(round(float(value), 3) for value in values)
