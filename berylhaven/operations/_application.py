"""The WSGI application on the operators' port."""

from collections.abc import Callable, Iterable

import orjson

from berylhaven.operations._metrics import MetricsRegistry

HEALTH_PATH = "/v1/health"
STATUS_PATH = "/v1/status"
METRICS_PATH = "/metrics"


class OperatorsApplication:
    """Answers requests of operators and their tools.

    Parameters
    ----------
    metrics : MetricsRegistry
        The metrics of ``/metrics``.
    status : callable
        Returns the JSON object of ``/v1/status``.
    is_ready : callable
        Returns whether the instance accepts callers.
    """

    __slots__ = ("_metrics", "_status", "_is_ready")

    def __init__(
        self,
        metrics: MetricsRegistry,
        status: Callable[[], dict],
        is_ready: Callable[[], bool],
    ) -> None:
        self._metrics = metrics
        self._status = status
        self._is_ready = is_ready

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == HEALTH_PATH:
            return self._health_answer(start_response)
        if path == STATUS_PATH:
            return _json_answer(start_response, "200 OK", self._status())
        if path == METRICS_PATH:
            return self._metrics_answer(environ, start_response)
        return _json_answer(
            start_response, "404 Not Found", {"message": "no such path"}
        )

    def _health_answer(self, start_response: Callable) -> list[bytes]:
        if self._is_ready():
            return _json_answer(start_response, "200 OK", {"ready": True})
        return _json_answer(start_response, "503 Service Unavailable", {"ready": False})

    def _metrics_answer(self, environ: dict, start_response: Callable) -> list[bytes]:
        body, headers = self._metrics.render(environ.get("HTTP_ACCEPT", ""))
        start_response("200 OK", list(headers.items()))
        return [body]


def _json_answer(start_response: Callable, status: str, document: dict) -> list[bytes]:
    body = orjson.dumps(document)
    start_response(status, [("Content-Type", "application/json")])
    return [body]
