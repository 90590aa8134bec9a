"""A clock for tests, standing still until it is advanced."""

from types import TracebackType

import eventlet
from eventlet import hubs

# Letting the hub turn a few times runs timers that were set by timers.
TURNS_AFTER_ADVANCE = 5


class ManualClock:
    """Replace the hub's clock within a ``with`` block.

    Parameters
    ----------
    start_s : float
        The time at which the clock stands when the block is entered.
    """

    __slots__ = ("_now_s", "_replaced")

    def __init__(self, start_s: float = 1_000.0) -> None:
        self._now_s = start_s
        self._replaced = None

    def __call__(self) -> float:
        """Return the time at which the clock stands, in seconds."""
        return self._now_s

    def __enter__(self) -> "ManualClock":
        """Put this clock into the hub."""
        hub = hubs.get_hub()
        self._replaced = hub.clock
        hub.clock = self
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Give the hub its own clock back."""
        hubs.get_hub().clock = self._replaced

    def advance_s(self, duration_s: float) -> None:
        """Move time forward and run the timers that are due.

        Parameters
        ----------
        duration_s : float
            Seconds to move forward.
        """
        self._now_s += duration_s
        for _ in range(TURNS_AFTER_ADVANCE):
            eventlet.sleep(0)
