"""Counters and histograms of one gateway instance, in aioprometheus's types."""

from collections.abc import Callable

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry

TEXT_CONTENT_TYPE = "text/plain"
DURATION_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
LATENESS_BUCKETS_S = (0.001, 0.005, 0.02, 0.1, 0.5, 2.0)
# Requests that name no route have no service to count by.
NO_SERVICE = "none"
NO_LABELS: dict[str, str] = {}


class GatewayMetrics:
    """What an instance counts; gauges are set when somebody asks."""

    __slots__ = (
        "registry",
        "_refreshers",
        "_requests",
        "_request_duration",
        "_attempts",
        "_attempt_duration",
        "_probes",
        "_store_calls",
        "_lateness",
    )

    def __init__(self) -> None:
        # The library's registry.
        self.registry = Registry()
        self._refreshers: list[Callable[[], None]] = []
        self._requests = self.counter(
            "requests_total", "Requests answered, by service, kind and status class."
        )
        self._request_duration = self._histogram(
            "request_duration_seconds",
            "From a request's head to its final answer.",
            DURATION_BUCKETS_S,
        )
        self._attempts = self.counter(
            "attempts_total", "Attempts at backend servers, by service and end."
        )
        self._attempt_duration = self._histogram(
            "attempt_duration_seconds",
            "From the sending of an attempt to its end.",
            DURATION_BUCKETS_S,
        )
        self._probes = self.counter(
            "probes_total", "Backend servers asked for their load, by outcome."
        )
        self._store_calls = self.counter(
            "store_calls_total", "Calls to the store, by outcome."
        )
        self._lateness = self._histogram(
            "loop_lateness_seconds",
            "How late the instance's own loop wakes up.",
            LATENESS_BUCKETS_S,
        )

    def record_request(
        self, service: str | None, kind: str, outcome: str, duration_s: float
    ) -> None:
        """Count a request.

        Parameters
        ----------
        service : str or None
            The service that its route names, if it has one.
        kind : str
            What its route allows, or an empty string.
        outcome : str
            Whose answer it got, and of what class.
        duration_s : float
            From its head to its answer, in seconds.
        """
        service = service or NO_SERVICE
        labels = {"service": service, "kind": kind, "outcome": outcome}
        self._requests.inc(labels)
        self._request_duration.observe({"service": service, "kind": kind}, duration_s)

    def record_attempt(self, service: str, end: str, duration_s: float) -> None:
        """Count an attempt.

        Parameters
        ----------
        service : str
            The server's service.
        end : str
            "answered", or the place at which it broke.
        duration_s : float
            How long it took, in seconds.
        """
        self._attempts.inc({"service": service, "end": end})
        self._attempt_duration.observe({"service": service}, duration_s)

    def record_probes(self, answered_count: int, silent_count: int) -> None:
        """Count probes of one choice.

        Parameters
        ----------
        answered_count : int
            Those answered in time.
        silent_count : int
            The others.
        """
        self._probes.add({"outcome": "answered"}, answered_count)
        self._probes.add({"outcome": "silent"}, silent_count)

    def record_store_call(self, is_answered: bool) -> None:
        """Count a call to the store."""
        self._store_calls.inc({"outcome": "answered" if is_answered else "failed"})

    def record_loop_lateness(self, lateness_s: float) -> None:
        """Take in how late the instance's loop woke up."""
        self._lateness.observe(NO_LABELS, max(0.0, lateness_s))

    def counter(self, name: str, help_text: str) -> Counter:
        """Return a new counter of the registry."""
        return Counter(f"berylhaven_{name}", help_text, registry=self.registry)

    def gauge(self, name: str, help_text: str) -> Gauge:
        """Return a new gauge of the registry."""
        return Gauge(f"berylhaven_{name}", help_text, registry=self.registry)

    def _histogram(
        self, name: str, help_text: str, buckets_s: tuple[float, ...]
    ) -> Histogram:
        return Histogram(
            f"berylhaven_{name}",
            help_text,
            buckets=list(buckets_s),
            registry=self.registry,
        )

    def add_refresher(self, refresh: Callable[[], None]) -> None:
        """Have a function called before each rendering, to set gauges."""
        self._refreshers.append(refresh)

    def render(self, accept: str) -> tuple[bytes, dict]:
        """Return the metrics in the text form that a scraper accepts.

        Parameters
        ----------
        accept : str
            The scraper's Accept header.

        Returns
        -------
        tuple of bytes and dict
            The body and the headers.
        """
        # Most instances are never asked; the renderer is imported when one is.
        from aioprometheus.renderer import render

        for refresh in self._refreshers:
            refresh()
        return render(self.registry, [accept or TEXT_CONTENT_TYPE])


class MetricsApplication:
    """Serves the metrics over WSGI.

    Parameters
    ----------
    metrics : GatewayMetrics
        What is shown.
    """

    __slots__ = ("_metrics",)

    PATH = "/metrics"

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer one request."""
        if environ["PATH_INFO"] != self.PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        body, headers = self._metrics.render(environ.get("HTTP_ACCEPT", ""))
        start_response("200 OK", list(headers.items()))
        return [body]
