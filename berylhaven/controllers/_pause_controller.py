"""Notices that the process was paused."""

from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.membership import PAUSE_SECTION, Pause, PauseDetector
from berylhaven.operations import ComponentLog

LOG = ComponentLog("pause")


@register_controller("pause")
class PauseController:
    """Does nothing but see how late it is called.

    Parameters
    ----------
    context : ControllerContext
        With the blackboard.
    """

    interval_s = 0.5

    def __init__(self, context: ControllerContext) -> None:
        self._writer = context.blackboard.claim(PAUSE_SECTION, "pause")
        self._detector = PauseDetector(self.interval_s)

    def step(self) -> None:
        """Compare the time with the time at which this step was due."""
        now_s = monotonic_s()
        paused_s = self._detector.step(now_s)
        if not paused_s:
            return
        self._writer.write(Pause(paused_s, now_s))
        LOG.warning("This process did not run for %.1f s.", paused_s)
