"""Log lines about the requests that a drain ends."""

from collections.abc import Sequence

from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.callers._drain import Drain
from berylhaven.gateway.callers._request_progress import RequestProgress


class DrainLog:
    """Records the requests that get no answer of a server because of a drain.

    Parameters
    ----------
    drain : Drain
        Tells since when the instance drains.
    event_log : EventLog
        Receives a line for each request.
    metrics : GatewayMetrics
        Counts them.
    """

    __slots__ = ("_drain", "_event_log", "_unanswered", "_given_up", "_is_over")

    def __init__(
        self, drain: Drain, event_log: EventLog, metrics: GatewayMetrics
    ) -> None:
        self._drain = drain
        self._event_log = event_log
        self._unanswered = metrics.counter(
            "requests_unanswered_total",
            "Requests that ended with their connection in a drain, by stage.",
        )
        self._given_up = metrics.counter(
            "requests_given_up_total",
            "Requests that were answered at the end of a drain, by stage.",
        )
        self._is_over = False

    def record_unanswered(
        self, requests: Sequence[RequestProgress], reason: str
    ) -> None:
        """Record, in a drain, that a connection ends with pending requests.

        Parameters
        ----------
        requests : sequence of RequestProgress
            The pending requests of the connection, in their order.
        reason : str
            Why it ends.
        """
        if not self._drain.has_begun or self._is_over:
            return
        for position, progress in enumerate(requests):
            self._unanswered.inc({"stage": progress.stage.value})
            self._write("unanswered", progress, position=position, reason=reason)

    def end(self) -> None:
        """Record no further requests; the process ends their connections."""
        self._is_over = True

    def record_given_up(self, progress: RequestProgress, status: int) -> None:
        """Record that a request gets an answer of this instance at the end.

        Parameters
        ----------
        progress : RequestProgress
            How far it has come.
        status : int
            The status of the answer.
        """
        self._given_up.inc({"stage": progress.stage.value})
        self._write("given up", progress, status=status, reason="the instance stops")

    def _write(self, event: str, progress: RequestProgress, **fields: object) -> None:
        now_s = monotonic_s()
        self._event_log.write_failure(
            "request",
            event,
            request=progress.request_id,
            stage=progress.stage.value,
            received_s_ago=now_s - progress.received_at_s,
            sent_s_ago=_age_s(progress.sent_at_s, now_s),
            sent_to=progress.sent_to,
            answered_s_ago=_age_s(progress.answered_at_s, now_s),
            drained_s=self._drain.age_s(now_s),
            **fields,
        )


def _age_s(moment_s: float | None, now_s: float) -> float | None:
    return None if moment_s is None else now_s - moment_s
