"""What entry instances use, read from the instances themselves."""

import statistics
import time
from dataclasses import dataclass

from standins.fleet import EntryProcess, ProcessFleet


@dataclass(slots=True, frozen=True)
class Sample:
    """Means over the entry instances that were read, over a window of time."""

    # Processor time as a share of one core.
    processor_ratio: float
    # Resident memory in bytes at the end.
    resident_bytes: float
    # Bytes a second to and from peers, HTTP heads included.
    peer_bytes_per_s: float
    # Messages a second to and from peers, questions and answers.
    peer_messages_per_s: float


# Each measured quantity by its heading, with the factor for showing it.
QUANTITIES = {
    "processor_ratio": ("processor, % of a core", 100.0),
    "resident_bytes": ("resident, MB", 1e-6),
    "peer_bytes_per_s": ("peer traffic, KB/s", 1e-3),
    "peer_messages_per_s": ("peer messages a second", 1.0),
}


def measure(
    fleet: ProcessFleet, entries: list[EntryProcess], window_s: float
) -> Sample:
    """Read some entry instances twice and return what they used in between.

    Parameters
    ----------
    fleet : ProcessFleet
        The running fleet.
    entries : list of EntryProcess
        The entry instances to read.
    window_s : float
        Seconds between the two readings.

    Returns
    -------
    Sample
        Means over the instances.
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
    passed_s = after[0] - before[0]
    first, second = before[1], after[1]
    used_s = second["process"]["processor_s"] - first["process"]["processor_s"]
    return Sample(
        processor_ratio=used_s / passed_s,
        resident_bytes=second["process"]["resident_bytes"],
        peer_bytes_per_s=_rise(first, second, "bytes") / passed_s,
        peer_messages_per_s=_rise(first, second, "messages") / passed_s,
    )


def _rise(first: dict, second: dict, unit: str) -> float:
    return sum(
        second["peer_traffic"][f"{way}_{unit}"] - first["peer_traffic"][f"{way}_{unit}"]
        for way in ("sent", "received")
    )
