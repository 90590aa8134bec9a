"""Metrics, based on aioprometheus."""

from collections.abc import Callable

from aioprometheus.collectors import Counter, Histogram, Registry
from aioprometheus.renderer import render

from berylhaven.clock import monotonic_s
from berylhaven.results import ResultCode

TEXT_CONTENT_TYPE = "text/plain"
CALL_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0)


class MetricsRegistry:
    """All metrics of the process."""

    __slots__ = ("registry", "_refreshers")

    def __init__(self) -> None:
        # The library's registry, to which each component adds its metrics.
        self.registry = Registry()
        self._refreshers: list[Callable[[], None]] = []

    def add_refresher(self, refresh: Callable[[], None]) -> None:
        """Add a function that is called before each rendering to update gauges."""
        self._refreshers.append(refresh)

    def render(self, accept: str) -> tuple[bytes, dict]:
        """Return the metrics in a text format that the scraper accepts."""
        for refresh in self._refreshers:
            refresh()
        return render(self.registry, [accept or TEXT_CONTENT_TYPE])


class CallMetrics:
    """Counts ended calls by service and result, and their durations.

    Parameters
    ----------
    metrics : MetricsRegistry
        The registry to which the metrics are added.
    """

    __slots__ = ("_ended_calls", "_durations", "_broken_answers")

    def __init__(self, metrics: MetricsRegistry) -> None:
        self._ended_calls = Counter(
            "berylhaven_calls_total",
            "Calls ended, by service and result.",
            registry=metrics.registry,
        )
        self._durations = Histogram(
            "berylhaven_call_duration_seconds",
            "From a call's arrival to the head of its answer.",
            buckets=list(CALL_BUCKETS_S),
            registry=metrics.registry,
        )
        self._broken_answers = Counter(
            "berylhaven_broken_answers_total",
            "Answers whose bodies broke off, by service and kind of fault.",
            registry=metrics.registry,
        )

    def record_call(
        self, service_name: str, code: ResultCode, started_at_s: float
    ) -> None:
        """Record an ended call.

        Parameters
        ----------
        service_name : str
            The service of the call.
        code : ResultCode
            The result of the call.
        started_at_s : float
            The time of arrival of the call, in seconds on the hub's clock.
        """
        self._ended_calls.inc({"service": service_name, "result": code.name})
        duration_s = monotonic_s() - started_at_s
        self._durations.observe({"service": service_name}, duration_s)

    def record_broken_answer(self, service_name: str, kind: str) -> None:
        """Count an answer whose body broke off after its head was sent to the caller.

        Parameters
        ----------
        service_name : str
            The service of the call.
        kind : str
            The kind of the fault.
        """
        self._broken_answers.inc({"service": service_name, "kind": kind})
