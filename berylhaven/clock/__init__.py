"""The time of the eventlet hub, and a manual clock for tests."""

from berylhaven.clock._manual_clock import ManualClock
from berylhaven.clock._pause_watch import PauseWatch
from berylhaven.clock._time import monotonic_s, sleep_s, wall_clock_ms

__all__ = ["ManualClock", "PauseWatch", "monotonic_s", "sleep_s", "wall_clock_ms"]
