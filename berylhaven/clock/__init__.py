"""The eventlet hub, its time and its turns, and a manual clock for tests."""

from berylhaven.clock._loop_lateness import WAKE_UP_INTERVAL_S, LoopLateness
from berylhaven.clock._manual_clock import ManualClock
from berylhaven.clock._pause_watch import PauseWatch
from berylhaven.clock._time import monotonic_s, sleep_s, wall_clock_ms
from berylhaven.clock._turn_hub import (
    end_long_turn,
    set_turn_report,
    use_socket,
    use_turn_hub,
)

__all__ = [
    "WAKE_UP_INTERVAL_S",
    "LoopLateness",
    "ManualClock",
    "PauseWatch",
    "end_long_turn",
    "monotonic_s",
    "set_turn_report",
    "sleep_s",
    "use_socket",
    "use_turn_hub",
    "wall_clock_ms",
]
