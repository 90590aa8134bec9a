"""Time as the eventlet hub tells it, and a clock that tests pause and advance."""

from berylhaven.clock._manual_clock import ManualClock
from berylhaven.clock._pause_watch import PauseWatch
from berylhaven.clock._time import monotonic_s, sleep_s, wall_clock_ms

__all__ = ["ManualClock", "PauseWatch", "monotonic_s", "sleep_s", "wall_clock_ms"]
