"""What the process itself uses of its machine."""

import resource
import time
from dataclasses import asdict, dataclass
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_PAGES_FIELD = 1


@dataclass(slots=True, frozen=True)
class ProcessUsage:
    """Processor time and memory of this process."""

    # Processor seconds since the process began, user and system together.
    processor_s: float
    # Bytes of memory that are resident now.
    resident_bytes: int
    # The most bytes that were resident at one time.
    peak_resident_bytes: int

    def to_json(self) -> dict:
        """Return the usage as a JSON object."""
        return asdict(self)


def process_usage() -> ProcessUsage:
    """Return what this process uses now.

    Returns
    -------
    ProcessUsage
        With the kernel's figures; resident memory falls back to the peak where the
        system has no ``/proc``.
    """
    peak_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    try:
        pages = int(STATM.read_text().split()[RESIDENT_PAGES_FIELD])
        resident_bytes = pages * resource.getpagesize()
    except OSError:
        resident_bytes = peak_bytes
    return ProcessUsage(time.process_time(), resident_bytes, peak_bytes)
