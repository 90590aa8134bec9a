"""Processor time and memory used by the process."""

import resource
import time
from dataclasses import asdict, dataclass
from pathlib import Path

STATM_PATH = Path("/proc/self/statm")
RESIDENT_PAGES_INDEX = 1


@dataclass(slots=True, frozen=True)
class ProcessUsage:
    """Processor time and memory of this process."""

    # Processor time since the process started, user and system together, in seconds.
    processor_s: float
    # The current resident memory in bytes.
    resident_bytes: int
    # The peak resident memory in bytes.
    peak_resident_bytes: int

    def to_json(self) -> dict:
        """Return the usage as a JSON object."""
        return asdict(self)


def process_usage() -> ProcessUsage:
    """Return the current usage of this process.

    Returns
    -------
    ProcessUsage
        The figures of the kernel; on systems without ``/proc``, the peak is used as the
        resident memory.
    """
    peak_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    try:
        pages = int(STATM_PATH.read_text().split()[RESIDENT_PAGES_INDEX])
        resident_bytes = pages * resource.getpagesize()
    except OSError:
        resident_bytes = peak_bytes
    return ProcessUsage(time.process_time(), resident_bytes, peak_bytes)
