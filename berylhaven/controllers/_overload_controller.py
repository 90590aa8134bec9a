"""Measures how late the event loop runs its timers."""

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller

TIMER_DELAY_S = 0.02


@register_controller("overload")
class OverloadController:
    """Sleeps for a short time, and reports the lateness of the timer to the estimator.

    Parameters
    ----------
    context : ControllerContext
        Provides the gate with the overload estimator.
    """

    interval_s = 0.1

    def __init__(self, context: ControllerContext) -> None:
        self._overload = context.gate.overload

    def step(self) -> None:
        """Measure the lateness of one timer."""
        due_at_s = monotonic_s() + TIMER_DELAY_S
        sleep_s(TIMER_DELAY_S)
        self._overload.observe_lateness(monotonic_s() - due_at_s)
