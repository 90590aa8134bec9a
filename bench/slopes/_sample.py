"""Resource use of entry instances, read from their status."""

import statistics
import time
from dataclasses import dataclass

from standins.fleet import EntryProcess, ProcessFleet


@dataclass(slots=True, frozen=True)
class Sample:
    """Means over entry instances and a time window."""

    # Processor time as a ratio of one core.
    processor_ratio: float
    # Resident memory in bytes at the end of the window.
    resident_bytes: float
    # Bytes per second sent to and received from peers, HTTP heads included.
    peer_bytes_per_s: float
    # Messages per second sent to and received from peers, requests and answers.
    peer_messages_per_s: float


# The heading of each measured quantity, and the factor that converts to its unit.
QUANTITIES = {
    "processor_ratio": ("processor, % of a core", 100.0),
    "resident_bytes": ("resident, MB", 1e-6),
    "peer_bytes_per_s": ("peer traffic, KB/s", 1e-3),
    "peer_messages_per_s": ("peer messages a second", 1.0),
}


def measure(
    fleet: ProcessFleet, entries: list[EntryProcess], window_s: float
) -> Sample:
    """Read the status of entry instances twice and return the use in between.

    Parameters
    ----------
    fleet : ProcessFleet
        The running fleet.
    entries : list of EntryProcess
        The entry instances to measure.
    window_s : float
        The time between the two readings, in seconds.

    Returns
    -------
    Sample
        The means over the instances.
    """
    first = [(time.monotonic(), fleet.status(entry)) for entry in entries]
    time.sleep(window_s)
    second = [(time.monotonic(), fleet.status(entry)) for entry in entries]
    samples = [
        _difference(before, after) for before, after in zip(first, second, strict=True)
    ]
    return Sample(
        processor_ratio=statistics.fmean(s.processor_ratio for s in samples),
        resident_bytes=statistics.fmean(s.resident_bytes for s in samples),
        peer_bytes_per_s=statistics.fmean(s.peer_bytes_per_s for s in samples),
        peer_messages_per_s=statistics.fmean(s.peer_messages_per_s for s in samples),
    )


def _difference(before: tuple[float, dict], after: tuple[float, dict]) -> Sample:
    elapsed_s = after[0] - before[0]
    first, second = before[1], after[1]
    used_s = second["process"]["processor_s"] - first["process"]["processor_s"]
    return Sample(
        processor_ratio=used_s / elapsed_s,
        resident_bytes=second["process"]["resident_bytes"],
        peer_bytes_per_s=_traffic_increase(first, second, "bytes") / elapsed_s,
        peer_messages_per_s=_traffic_increase(first, second, "messages") / elapsed_s,
    )


def _traffic_increase(first: dict, second: dict, unit: str) -> float:
    return sum(
        second["peer_traffic"][f"{way}_{unit}"] - first["peer_traffic"][f"{way}_{unit}"]
        for way in ("sent", "received")
    )
