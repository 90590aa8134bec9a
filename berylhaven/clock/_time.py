"""Reading the hub's clock and sleeping on it."""

import time

import eventlet
from eventlet import hubs


def monotonic_s() -> float:
    """Return the hub's monotonic time in seconds; only differences mean anything."""
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
    """Return the wall clock in milliseconds; used to order incarnations only."""
    return time.time_ns() // 1_000_000
