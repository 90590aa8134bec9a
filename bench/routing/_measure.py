"""The measured results of one run."""

from dataclasses import dataclass, field

import numpy


@dataclass(slots=True)
class RunFigures:
    """The results of the calls of one run after its warm-up."""

    # Calls sent before this time, in seconds, are not counted.
    counted_from_s: float
    # The duration that is recorded for a lost or refused call, in seconds.
    deadline_s: float
    # Seconds to each call's answer; the deadline for lost and refused calls.
    durations_s: list[float] = field(default_factory=list)
    # The number of calls that failed, were shed or were not answered in time.
    lost_count: int = 0
    # The number of calls refused because no server was expected to answer in time.
    refused_count: int = 0
    # The bytes of load updates that all instances sent to peers.
    load_update_bytes: int = 0

    def record_answered(self, sent_at_s: float, duration_s: float) -> None:
        """Record an answered call."""
        if sent_at_s >= self.counted_from_s:
            self.durations_s.append(duration_s)

    def record_lost(self, sent_at_s: float) -> None:
        """Record a call without a successful answer."""
        if sent_at_s >= self.counted_from_s:
            self.durations_s.append(self.deadline_s)
            self.lost_count += 1

    def record_refused(self, sent_at_s: float) -> None:
        """Record a call that was refused and not sent."""
        if sent_at_s >= self.counted_from_s:
            self.durations_s.append(self.deadline_s)
            self.refused_count += 1

    def record_load_update(self, size_bytes: int) -> None:
        """Record a load update sent to a peer."""
        self.load_update_bytes += size_bytes


@dataclass(slots=True, frozen=True)
class CellResult:
    """One cell of the report: a policy with one firm, load and scenario."""

    # The firm's name.
    firm: str
    # The scenario's name.
    scenario: str
    # The rate of calls as a ratio of capacity.
    load_ratio: float
    # The policy's registry name.
    policy: str
    # The number of counted calls.
    call_count: int
    # The 50th, 99th and 99.9th percentile of the time to the answer, in milliseconds.
    p50_ms: float
    p99_ms: float
    p999_ms: float
    # Calls answered within their deadline, as a ratio of all calls.
    in_time_ratio: float
    # Calls refused without being sent, as a ratio of all calls.
    refused_ratio: float
    # Slot time used by probes, as a ratio of the measuring budget.
    budget_used_ratio: float
    # Slot time used by probes, as a ratio of all slot time.
    probe_ratio: float
    # Bytes of load updates sent to peers per call.
    load_update_bytes_per_call: float


def percentiles_ms(durations_s: list[float]) -> tuple[float, float, float]:
    """Return the 50th, 99th and 99.9th percentiles in milliseconds."""
    values = numpy.percentile(durations_s, (50, 99, 99.9)) * 1000
    return tuple(round(float(value), 3) for value in values)
