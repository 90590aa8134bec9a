"""Probes backend servers without recent load reports, within the probe budget."""

import eventlet
from aioprometheus.collectors import Counter

from berylhaven.backend import ProbeClient, ProbeFailed, ProbeTimeout
from berylhaven.catalogue import CATALOGUE_SECTION
from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.load import Probe, ProbePlanner
from berylhaven.operations import ComponentLog

LOG = ComponentLog("probe")


@register_controller("probe")
class ProbeController:
    """Sends the probes that the planner charged to the budget, each in a green thread.

    Parameters
    ----------
    context : ControllerContext
        Provides the catalogue and the load records.
    """

    interval_s = 0.5

    def __init__(self, context: ControllerContext) -> None:
        self._blackboard = context.blackboard
        self._table = context.load_table
        self._client = ProbeClient()
        self._planner = ProbePlanner(monotonic_s(), context.random)
        self._probes = Counter(
            "berylhaven_probes_total",
            "Probes of backend servers, by service and result.",
            registry=context.metrics.registry,
        )
        self._cost = Counter(
            "berylhaven_probe_milliseconds_total",
            "Slot time of backend servers that probes took, by service.",
            registry=context.metrics.registry,
        )

    def step(self) -> None:
        """Start the probes that are due."""
        reading = self._blackboard.read(CATALOGUE_SECTION)
        if reading is None:
            return
        catalogue = reading.value.catalogue
        for probe in self._planner.plan(catalogue, self._table, monotonic_s()):
            eventlet.spawn(self._probe, probe)

    def _probe(self, probe: Probe) -> None:
        started_at_s = monotonic_s()
        result = "failed"
        try:
            timeout_s = probe.timeout_ms / 1000
            report = self._client.probe(probe.server.address, timeout_s)
            probe.server.record_report(report)
            result = "answered"
        except ProbeTimeout:
            result = "late"
        except ProbeFailed as failure:
            probe.server.probe_failed(monotonic_s())
            LOG.debug("Probe failed: %s.", failure)
        finally:
            duration_s = monotonic_s() - started_at_s
            self._planner.probe_ended(probe, duration_s)
            self._probes.inc({"service": probe.service, "result": result})
            cost_ms = probe.charged_ms(duration_s)
            self._cost.add({"service": probe.service}, round(cost_ms, 3))
