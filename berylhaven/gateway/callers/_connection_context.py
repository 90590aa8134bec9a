"""What the connections of callers share."""

import traceback
from collections.abc import Callable

from berylhaven.clock import LoopLateness, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.callers._close_reason import CloseReason
from berylhaven.gateway.callers._drain import Drain
from berylhaven.gateway.callers._held_bytes import HeldBytes
from berylhaven.gateway.callers._request import (
    GatewayAnswer,
    GatewayRequest,
    error_answer,
)
from berylhaven.gateway.callers._request_end_log import RequestEndLog
from berylhaven.routes import CallerLimits


class ConnectionContext:
    """Answers the requests of callers' connections and decides for all of them.

    Parameters
    ----------
    application : callable
        Returns the answer to a request.
    routes : ActiveRoutes
        The active configuration, with the callers' limits.
    dialect : Dialect
        The header names of the deployment.
    event_log : EventLog
        Receives a line for each rejected head and each internal error.
    is_peer : callable
        Returns whether a host is that of another instance.
    held : HeldBytes
        The account of held bytes.
    drain : Drain
        Tells which requests are still taken.
    lateness : LoopLateness
        How late the hub runs.
    metrics : GatewayMetrics
        Counts the connections that are closed.
    """

    __slots__ = (
        "is_peer",
        "held",
        "dialect",
        "end_log",
        "_application",
        "_routes",
        "_event_log",
        "_drain",
        "_closed_connections",
    )

    def __init__(
        self,
        application: Callable[[GatewayRequest], GatewayAnswer],
        routes: ActiveRoutes,
        dialect: Dialect,
        event_log: EventLog,
        is_peer: Callable[[str], bool],
        held: HeldBytes,
        drain: Drain,
        lateness: LoopLateness,
        metrics: GatewayMetrics,
    ) -> None:
        # Whether a host is that of another instance.
        self.is_peer = is_peer
        # The account of the bytes held for callers and servers.
        self.held = held
        # The header names of the deployment.
        self.dialect = dialect
        # Records the requests that end without a server's answer.
        self.end_log = RequestEndLog(drain, lateness, event_log, metrics)
        self._application = application
        self._routes = routes
        self._event_log = event_log
        self._drain = drain
        self._closed_connections = metrics.counter(
            "caller_connections_closed_total",
            "Connections of callers that this instance closed, by reason.",
        )

    @property
    def caller_limits(self) -> CallerLimits:
        """The active limits for callers."""
        return self._routes.caller_limits

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after their last pending answer."""
        return self._drain.has_begun

    def gives_up(self, due_at_s: float) -> bool:
        """Return whether a pending request gets an answer of this instance now.

        Parameters
        ----------
        due_at_s : float
            The time at which the request has its final answer at the latest.

        Returns
        -------
        bool
            True at the end of a drain.
        """
        return self._drain.gives_up(monotonic_s(), due_at_s)

    def check_intake(self, request: GatewayRequest) -> None:
        """Raise an error if a request may not be taken, before its body is read.

        Parameters
        ----------
        request : GatewayRequest
            The caller's request.

        Raises
        ------
        DrainRefusal
            If its answer may be due after the end of the process.
        """
        if self._drain.has_begun and self._routes.is_loaded:
            route = self._routes.table.find(request.host, request.path)
            if route is not None:
                due_at_s = request.due_at_s(route.timeout_s)
                self._drain.check_intake(monotonic_s(), due_at_s)

    def answer(self, request: GatewayRequest) -> GatewayAnswer:
        """Answer one request; an internal error is answered with status 500.

        Parameters
        ----------
        request : GatewayRequest
            The caller's request.

        Returns
        -------
        GatewayAnswer
            The final answer.
        """
        try:
            return self._application(request)
        except Exception as error:
            self.log_fault(request.request_id, error)
            return error_answer(500, f"internal error of type {type(error).__name__}")

    def log_fault(self, request_id: str, error: Exception) -> None:
        """Log an internal error.

        Parameters
        ----------
        request_id : str
            The request that was handled; an empty string if it is not known.
        error : Exception
            The error.
        """
        self._event_log.write_failure(
            "callers",
            "fault",
            request=request_id,
            error=type(error).__name__,
            trace="".join(traceback.format_exception(error)),
        )

    def log_head_rejected(
        self, request_id: str | None, status: int, message: str
    ) -> None:
        """Log that a request was rejected by its head.

        Parameters
        ----------
        request_id : str or None
            The request id from the caller, if it is known.
        status : int
            The HTTP status of the answer.
        message : str
            The reason for the rejection.
        """
        self._event_log.write_failure(
            "callers",
            "head refused",
            request=request_id,
            status=status,
            reason=message,
        )

    def record_close(self, reason: CloseReason) -> None:
        """Count a connection that is closed."""
        self._closed_connections.inc({"reason": reason.value})
