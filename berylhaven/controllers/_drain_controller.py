"""Drains a leaving entry instance."""

from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.membership import DRAIN_SECTION, Drain, DrainProgress, DrainStage
from berylhaven.operations import ComponentLog

LOG = ComponentLog("drain")


@register_controller("drain")
class DrainController:
    """Starts the drain once the instance is leaving, and publishes its progress.

    Parameters
    ----------
    context : ControllerContext
        Provides the local instance and the number of calls in flight.
    """

    interval_s = 0.25

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        self._writer = context.blackboard.claim(DRAIN_SECTION, "drain")
        self._drain: Drain | None = None
        self._stage: DrainStage | None = None

    def step(self) -> None:
        """Write the progress of the drain, if there is one."""
        if not self._context.local_instance.is_leaving:
            return
        if self._stage is DrainStage.DONE:
            return
        now_s = monotonic_s()
        drain = self._drain or self._begin(now_s)
        in_flight_count = self._context.gate.in_flight_count
        stage = drain.stage(now_s, in_flight_count)
        self._writer.write(DrainProgress(drain, stage, in_flight_count))
        if stage is not self._stage:
            self._stage = stage
            LOG.info(
                "Drain stage %s, %d calls in flight.", stage.value, in_flight_count
            )

    def _begin(self, now_s: float) -> Drain:
        proxy = self._context.settings.proxy
        self._drain = Drain(
            now_s,
            proxy.locate_time_to_live_s,
            proxy.drain_limit_s,
            now_s - self._context.local_instance.left_at_s,
        )
        # Peers remove the instance from their locate answers when they receive this.
        self._context.local_instance.next_announcement()
        self._context.urgent_signal.set()
        LOG.info(
            "Draining: calls are served for %.1f s and until the last one ends, but at "
            "most for %.1f s.",
            self._drain.closing_at_s - now_s,
            self._drain.limit_s,
        )
        return self._drain
