"""Functions that read the hub's clock and sleep on it."""

import time

import eventlet
from eventlet import hubs


def monotonic_s() -> float:
    """Return the hub's monotonic time in seconds; only differences are meaningful."""
    return hubs.get_hub().clock()


def sleep_s(duration_s: float) -> None:
    """Suspend the calling green thread.

    Parameters
    ----------
    duration_s : float
        Seconds on the hub's clock; zero lets other green threads run.
    """
    eventlet.sleep(duration_s)


def wall_clock_ms() -> int:
    """Return the wall clock time in milliseconds; only used to order incarnations."""
    return time.time_ns() // 1_000_000
