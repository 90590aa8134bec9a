"""How many requests a server with a limit may get."""

from collections.abc import Iterable

WINDOW_S = 4.0
EXCESS_RATIO = 1.5
SLACK_COUNT = 5


def allowed_count(limit_per_s: float) -> float:
    """Return the requests that a server may get in a window."""
    return EXCESS_RATIO * limit_per_s * WINDOW_S + SLACK_COUNT


def largest_window_count(times_s: Iterable[float]) -> int:
    """Return the most requests within a window."""
    times_s = sorted(times_s)
    first = largest = 0
    for index, time_s in enumerate(times_s):
        while time_s - times_s[first] > WINDOW_S:
            first += 1
        largest = max(largest, index - first + 1)
    return largest
