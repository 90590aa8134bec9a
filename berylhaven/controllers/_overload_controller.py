"""Measures how late the event loop runs its timers."""

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller

TIMER_S = 0.02


@register_controller("overload")
class OverloadController:
    """Sleeps a little, and tells the estimator how late it woke.

    Parameters
    ----------
    context : ControllerContext
        With the gate, whose estimator is told.
    """

    interval_s = 0.1

    def __init__(self, context: ControllerContext) -> None:
        self._overload = context.gate.overload

    def step(self) -> None:
        """Measure once."""
        due_at_s = monotonic_s() + TIMER_S
        sleep_s(TIMER_S)
        self._overload.observe_lateness(monotonic_s() - due_at_s)
