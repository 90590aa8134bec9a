"""A clock for tests that stands still until it is advanced."""

from types import TracebackType

import eventlet
from eventlet import hubs

# Several turns of the hub are needed to run timers that were set by timers.
HUB_TURNS_PER_ADVANCE = 5


class ManualClock:
    """Replace the hub's clock within a ``with`` block.

    Parameters
    ----------
    start_s : float
        The time of the clock in seconds when the block is entered.
    """

    __slots__ = ("_now_s", "_hub_clock")

    def __init__(self, start_s: float = 1_000.0) -> None:
        self._now_s = start_s
        self._hub_clock = None

    def __call__(self) -> float:
        """Return the time of the clock in seconds."""
        return self._now_s

    def __enter__(self) -> "ManualClock":
        """Replace the hub's clock by this one."""
        hub = hubs.get_hub()
        self._hub_clock = hub.clock
        hub.clock = self
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Restore the hub's own clock."""
        hubs.get_hub().clock = self._hub_clock

    def advance_s(self, duration_s: float) -> None:
        """Advance the clock and run the timers that are due.

        Parameters
        ----------
        duration_s : float
            Seconds by which to advance the clock.
        """
        self._now_s += duration_s
        for _ in range(HUB_TURNS_PER_ADVANCE):
            eventlet.sleep(0)

    def block_s(self, duration_s: float) -> None:
        """Advance the clock while no green thread runs, as when the hub is late.

        Parameters
        ----------
        duration_s : float
            Seconds by which to advance the clock.
        """
        self._now_s += duration_s
