"""Log lines about requests that end without a server's answer."""

import enum
from collections.abc import Sequence

from berylhaven.clock import LoopLateness, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.callers._drain import Drain
from berylhaven.gateway.callers._request_progress import RequestProgress


class ConnectionEnd(enum.Enum):
    """Which side ended a connection with pending requests, and how."""

    # The end of the caller's input was read.
    CALLER_CLOSED = "the caller closed its connection"
    # Reading failed: the caller reset the connection, or its host did not answer.
    CALLER_BROKE = "the caller's connection broke"
    # An answer could not be written: the caller has closed or reset the connection.
    WRITE_FAILED = "an answer could not be written"
    # This instance closed the connection after an earlier answer.
    LAST_ANSWER = "the connection was closed after an earlier answer"
    # This instance ended the connection by an internal error.
    INTERNAL_ERROR = "an internal error ended the connection"
    # The process of this instance ends.
    INSTANCE_STOPS = "the instance stops"

    @property
    def is_by_caller(self) -> bool:
        """Whether the caller ended the connection first."""
        return self in (
            ConnectionEnd.CALLER_CLOSED,
            ConnectionEnd.CALLER_BROKE,
            ConnectionEnd.WRITE_FAILED,
        )


class RequestEndLog:
    """Records the requests that get no answer, or one of this instance in a drain.

    Parameters
    ----------
    drain : Drain
        Tells since when the instance drains.
    lateness : LoopLateness
        How late the hub runs.
    event_log : EventLog
        Receives a line for each request.
    metrics : GatewayMetrics
        Counts them.
    """

    __slots__ = (
        "_drain",
        "_lateness",
        "_event_log",
        "_unanswered",
        "_given_up",
        "_is_stopped",
    )

    def __init__(
        self,
        drain: Drain,
        lateness: LoopLateness,
        event_log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._drain = drain
        self._lateness = lateness
        self._event_log = event_log
        self._unanswered = metrics.counter(
            "requests_unanswered_total",
            "Requests that ended with their connection, by stage and reason.",
        )
        self._given_up = metrics.counter(
            "requests_given_up_total",
            "Requests that were answered at the end of a drain, by stage.",
        )
        self._is_stopped = False

    def record_unanswered(
        self, requests: Sequence[RequestProgress], end: ConnectionEnd
    ) -> None:
        """Record that a connection ends with pending requests.

        Parameters
        ----------
        requests : sequence of RequestProgress
            The pending requests of the connection, in their order.
        end : ConnectionEnd
            Why it ends.
        """
        if self._is_stopped:
            return
        for position, progress in enumerate(requests):
            labels = {"stage": progress.stage.value, "reason": end.name.lower()}
            self._unanswered.inc(labels)
            fields = {
                "position": position,
                "ended_by": "caller" if end.is_by_caller else "instance",
                "reason": end.value,
            }
            # Callers often leave early; their lines must not displace failures.
            is_failure = self._drain.has_begun or not end.is_by_caller
            self._write("unanswered", progress, is_failure, **fields)

    def stop(self) -> None:
        """Record no further requests; the process ends their connections."""
        self._is_stopped = True

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
        reason = ConnectionEnd.INSTANCE_STOPS.value
        self._write("given up", progress, status=status, reason=reason)

    def _write(
        self,
        event: str,
        progress: RequestProgress,
        is_failure: bool = True,
        **fields: object,
    ) -> None:
        now_s = monotonic_s()
        write = self._event_log.write_failure if is_failure else self._event_log.write
        write(
            "request",
            event,
            request=progress.request_id,
            stage=progress.stage.value,
            received_s_ago=now_s - progress.received_at_s,
            due_in_s=progress.due_at_s - now_s,
            sent_s_ago=_age_s(progress.sent_at_s, now_s),
            sent_to=progress.sent_to,
            answered_s_ago=_age_s(progress.answered_at_s, now_s),
            drained_s=self._drain.age_s(now_s),
            lateness_s=self._lateness.recent_s,
            **fields,
        )


def _age_s(moment_s: float | None, now_s: float) -> float | None:
    return None if moment_s is None else now_s - moment_s
