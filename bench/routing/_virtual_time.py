"""A virtual clock of the hub that advances to the next timer without waiting."""

from types import TracebackType

from eventlet import hubs


class VirtualTime:
    """Replaces the hub's clock and its wait function within a ``with`` block."""

    __slots__ = ("_now_s", "_clock", "_wait")

    def __init__(self) -> None:
        self._now_s = 0.0
        self._clock = None
        self._wait = None

    def __enter__(self) -> "VirtualTime":
        """Install the virtual clock in the hub."""
        hub = hubs.get_hub()
        self._clock, self._wait = hub.clock, hub.wait
        hub.clock = self._now
        hub.wait = self._advance
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Restore the hub's own clock."""
        hub = hubs.get_hub()
        hub.clock, hub.wait = self._clock, self._wait

    def _now(self) -> float:
        return self._now_s

    def _advance(self, duration_s: float | None = None) -> None:
        self._now_s += duration_s or 0.0


def call_later(delay_s: float, function: object, *arguments: object) -> object:
    """Schedule a function on the hub's clock and return the timer."""
    return hubs.get_hub().schedule_call_global(delay_s, function, *arguments)
