"""Measures how late the event loop runs its timers."""

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller

TIMER_DELAY_S = 0.02


@register_controller("overload")
class OverloadController:
    """Sleeps for a short time, and records the lateness of the timer.

    The overload estimator is told, and a signal that is noticed later was sent after
    the recorded wake-up.

    Parameters
    ----------
    context : ControllerContext
        Provides the lateness, and the gate with the overload estimator.
    """

    interval_s = 0.1

    def __init__(self, context: ControllerContext) -> None:
        self._overload = context.gate.overload
        self._lateness = context.lateness

    def step(self) -> None:
        """Measure the lateness of one timer."""
        due_at_s = monotonic_s() + TIMER_DELAY_S
        sleep_s(TIMER_DELAY_S)
        lateness_s = self._lateness.record(due_at_s, monotonic_s())
        self._overload.observe_lateness(lateness_s)
