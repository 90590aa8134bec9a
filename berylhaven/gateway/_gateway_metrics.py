"""Counters and histograms of one gateway instance, based on aioprometheus."""

from collections.abc import Callable

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry

from berylhaven.http1 import AnswerMatch, OpenCause

TEXT_CONTENT_TYPE = "text/plain"
DURATION_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
LATENESS_BUCKETS_S = (0.001, 0.005, 0.02, 0.1, 0.5, 2.0)
# The service label of requests without a route.
NO_SERVICE = "none"
NO_LABELS: dict[str, str] = {}
# The text format has these characters of a label's value escaped; aioprometheus does
# not escape them.
LABEL_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class GatewayMetrics:
    """The metrics of an instance; gauges are refreshed on each scrape."""

    __slots__ = (
        "registry",
        "_refreshers",
        "_requests",
        "_request_duration",
        "_attempts",
        "_attempt_duration",
        "_probes",
        "_foreign_answers",
        "_cut_answers",
        "_new_connections",
        "_store_calls",
        "_lateness",
    )

    def __init__(self) -> None:
        # The aioprometheus registry.
        self.registry = Registry()
        self._refreshers: list[Callable[[], None]] = []
        self._requests = self.counter(
            "requests_total", "Requests answered, by service, kind and status class."
        )
        self._request_duration = self.histogram(
            "request_duration_seconds",
            "Time from a request's head to its final answer.",
            DURATION_BUCKETS_S,
        )
        self._attempts = self.counter(
            "attempts_total", "Attempts at backend servers, by service and end."
        )
        self._attempt_duration = self.histogram(
            "attempt_duration_seconds",
            "Time from the start of an attempt to its end.",
            DURATION_BUCKETS_S,
        )
        self._probes = self.counter(
            "probes_total", "Load probes of backend servers, by outcome."
        )
        self._foreign_answers = self.counter(
            "foreign_answers_total",
            "Answers of backend servers that were not used, by what they name.",
        )
        self._cut_answers = self.counter(
            "cut_answers_total",
            "Answers of backend servers that were cut off, by service and reason.",
        )
        self._new_connections = self.counter(
            "server_connections_opened_total",
            "New connections to backend servers, by why none could be reused.",
        )
        self._store_calls = self.counter(
            "store_calls_total", "Calls to the store, by outcome."
        )
        self._lateness = self.histogram(
            "loop_lateness_seconds",
            "Delay of the wake-ups of the instance's main loop.",
            LATENESS_BUCKETS_S,
        )

    def record_request(
        self, service: str | None, kind: str, outcome: str, duration_s: float
    ) -> None:
        """Count a request.

        Parameters
        ----------
        service : str or None
            The service of the request's route, or None without a route.
        kind : str
            The kind of the request's route, or an empty string.
        outcome : str
            The result and status class, such as "answered-2xx".
        duration_s : float
            The time from the request's head to its answer, in seconds.
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
            "answered", or the stage at which the attempt failed.
        duration_s : float
            The duration of the attempt, in seconds.
        """
        self._attempts.inc({"service": service, "end": end})
        self._attempt_duration.observe({"service": service}, duration_s)

    def record_probes(self, answered_count: int, unresponsive_count: int) -> None:
        """Count the probes of one choice.

        Parameters
        ----------
        answered_count : int
            The number of probes answered in time.
        unresponsive_count : int
            The number of probes not answered in time.
        """
        self._probes.add({"outcome": "answered"}, answered_count)
        self._probes.add({"outcome": "silent"}, unresponsive_count)

    def record_foreign_answers(self, match: AnswerMatch, count: int) -> None:
        """Count answers that are not, or not provably, those to the request sent.

        Parameters
        ----------
        match : AnswerMatch
            What they name.
        count : int
            Their number.
        """
        self._foreign_answers.add({"names": match.value}, count)

    def record_cut_answer(self, service: str, reason: str) -> None:
        """Count an answer that was cut off because of its size or framing.

        Parameters
        ----------
        service : str
            The server's service.
        reason : str
            The end of the attempt, or "probe" for an answer to a probe.
        """
        self._cut_answers.inc({"service": service, "reason": reason})

    def record_new_connection(self, cause: OpenCause) -> None:
        """Count a new connection to a backend server."""
        self._new_connections.inc({"cause": cause.value})

    def record_store_call(self, is_answered: bool) -> None:
        """Count a call to the store."""
        self._store_calls.inc({"outcome": "answered" if is_answered else "failed"})

    def record_loop_lateness(self, lateness_s: float) -> None:
        """Observe the delay of a wake-up of the main loop."""
        self._lateness.observe(NO_LABELS, max(0.0, lateness_s))

    def counter(self, name: str, help_text: str) -> Counter:
        """Register and return a new counter."""
        return Counter(f"berylhaven_{name}", help_text, registry=self.registry)

    def gauge(self, name: str, help_text: str) -> Gauge:
        """Register and return a new gauge."""
        return Gauge(f"berylhaven_{name}", help_text, registry=self.registry)

    def histogram(
        self, name: str, help_text: str, buckets_s: tuple[float, ...]
    ) -> Histogram:
        """Register and return a new histogram of times in seconds."""
        return Histogram(
            f"berylhaven_{name}",
            help_text,
            buckets=list(buckets_s),
            registry=self.registry,
        )

    def add_refresher(self, refresh: Callable[[], None]) -> None:
        """Register a function that sets gauges before each rendering."""
        self._refreshers.append(refresh)

    def render(self, accept: str) -> tuple[bytes, dict]:
        """Render the metrics in the text format that a scraper accepts.

        Parameters
        ----------
        accept : str
            The scraper's Accept header.

        Returns
        -------
        tuple of bytes and dict
            The body and the headers of the answer.
        """
        # Imported on the first scrape, because most instances are never scraped.
        from aioprometheus.renderer import render

        for refresh in self._refreshers:
            refresh()
        return render(self.registry, [accept or TEXT_CONTENT_TYPE])


class MetricsApplication:
    """Serves the metrics as a WSGI application.

    Parameters
    ----------
    metrics : GatewayMetrics
        The metrics to serve.
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
