"""Publishes the load records on the blackboard and in metrics."""

from aioprometheus.collectors import Gauge

from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.load import LOAD_SECTION, ServerLoad
from berylhaven.operations import ComponentLog

LOG = ComponentLog("load")
# Servers whose ratio to the service's mean duration is at least this are logged as
# slow.
SLOW_LOG_RATIO = 2.0


@register_controller("load")
class LoadController:
    """Logs and measures which backend servers are slow, ejected or leaving.

    Parameters
    ----------
    context : ControllerContext
        Provides the load records and the metrics.
    """

    interval_s = 1.0

    def __init__(self, context: ControllerContext) -> None:
        self._table = context.load_table
        writer = context.blackboard.claim(LOAD_SECTION, "load")
        writer.write(self._table)
        registry = context.metrics.registry
        self._slow = Gauge(
            "berylhaven_backend_server_slow_ratio",
            "Times slower than its service's mean; 1 if not certainly slower.",
            registry=registry,
        )
        self._ejected = Gauge(
            "berylhaven_backend_server_ejected",
            "1 if the backend server is ejected for its failures.",
            registry=registry,
        )
        self._report_age = Gauge(
            "berylhaven_backend_server_news_age_seconds",
            "Age of the last load report.",
            registry=registry,
        )
        self._states: dict[str, str] = {}
        context.metrics.add_refresher(self._update_metrics)

    def step(self) -> None:
        """Log each server whose state changed."""
        now_s = monotonic_s()
        for service in self._table.services():
            for server in self._table.candidates(service):
                self._log_state_change(service, server, now_s)

    def _log_state_change(self, service: str, server: ServerLoad, now_s: float) -> None:
        state = _state(server, now_s)
        if state != self._states.get(server.address, "ordinary"):
            LOG.warning(
                "Backend server %s of %s is %s.", server.address, service, state
            )
        self._states[server.address] = state

    def _update_metrics(self) -> None:
        now_s = monotonic_s()
        for service in self._table.services():
            for server in self._table.candidates(service):
                labels = {"service": service, "backend_server": server.address}
                self._slow.set(labels, round(server.slow_ratio, 3))
                self._ejected.set(labels, int(server.is_ejected(now_s)))
                age_s = server.report_age_s(now_s)
                if age_s is not None:
                    self._report_age.set(labels, round(age_s, 3))


def _state(server: ServerLoad, now_s: float) -> str:
    if server.is_leaving:
        return "leaving"
    if server.is_ejected(now_s):
        return "ejected"
    if server.slow_ratio >= SLOW_LOG_RATIO:
        return "slow"
    return "ordinary"
