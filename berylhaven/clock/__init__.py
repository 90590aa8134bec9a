"""The time of the eventlet hub, and a manual clock for tests."""

from berylhaven.clock._input_first_hub import use_input_first_hub
from berylhaven.clock._loop_lateness import WAKE_UP_INTERVAL_S, LoopLateness
from berylhaven.clock._manual_clock import ManualClock
from berylhaven.clock._pause_watch import PauseWatch
from berylhaven.clock._time import monotonic_s, sleep_s, wall_clock_ms

__all__ = [
    "WAKE_UP_INTERVAL_S",
    "LoopLateness",
    "ManualClock",
    "PauseWatch",
    "monotonic_s",
    "sleep_s",
    "use_input_first_hub",
    "wall_clock_ms",
]
