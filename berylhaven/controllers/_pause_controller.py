"""Detects that the process was paused."""

from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.membership import PAUSE_SECTION, Pause, PauseDetector
from berylhaven.operations import ComponentLog

LOG = ComponentLog("pause")


@register_controller("pause")
class PauseController:
    """Detects pauses of the process by how late its steps are.

    Parameters
    ----------
    context : ControllerContext
        Provides the blackboard.
    """

    interval_s = 0.5

    def __init__(self, context: ControllerContext) -> None:
        self._writer = context.blackboard.claim(PAUSE_SECTION, "pause")
        self._detector = PauseDetector(self.interval_s)

    def step(self) -> None:
        """Compare the time of this step with the time at which it was due."""
        now_s = monotonic_s()
        paused_s = self._detector.step(now_s)
        if not paused_s:
            return
        self._writer.write(Pause(paused_s, now_s))
        LOG.warning("The process was paused for %.1f s.", paused_s)
