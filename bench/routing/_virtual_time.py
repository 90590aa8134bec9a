"""The hub's clock, jumping to the next timer instead of waiting for it."""

from types import TracebackType

from eventlet import hubs


class VirtualTime:
    """Replace the hub's clock and its waiting within a ``with`` block."""

    __slots__ = ("_now_s", "_clock", "_wait")

    def __init__(self) -> None:
        self._now_s = 0.0
        self._clock = None
        self._wait = None

    def __enter__(self) -> "VirtualTime":
        """Put this clock into the hub."""
        hub = hubs.get_hub()
        self._clock, self._wait = hub.clock, hub.wait
        hub.clock = self._now
        hub.wait = self._jump
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Give the hub its own clock back."""
        hub = hubs.get_hub()
        hub.clock, hub.wait = self._clock, self._wait

    def _now(self) -> float:
        return self._now_s

    def _jump(self, duration_s: float | None = None) -> None:
        self._now_s += duration_s or 0.0


def call_later(delay_s: float, function: object, *arguments: object) -> object:
    """Call a function on the hub's clock and return its timer."""
    return hubs.get_hub().schedule_call_global(delay_s, function, *arguments)
