"""Sending one attempt, with its connection limit and its load record."""

from collections.abc import Callable

from berylhaven.admission import connection_quota
from berylhaven.backend import LOAD_HEADER, is_failure, is_shed, parse_load_header
from berylhaven.calls import AttemptEnd, AttemptFailed
from berylhaven.catalogue import FleetEntry
from berylhaven.clock import monotonic_s
from berylhaven.http1._upstream_answer import BodyFault
from berylhaven.load import ServerLoad, finish_estimate
from berylhaven.operations import CallMetrics, ComponentLog
from berylhaven.proxy._call_request import CallRequest
from berylhaven.proxy._stop_watch import StopWatch
from berylhaven.proxy._unresponsive_timeout import unresponsive_timeout_s
from berylhaven.proxy._upstream_caller import UpstreamCaller, UpstreamExchange
from berylhaven.settings import Settings

LOG = ComponentLog("placement")
# Lines about broken answers are at least this far apart; the metric counts all.
FAULT_LINE_INTERVAL_S = 1.0
# Ends of attempts that say nothing about the health of the backend server.
ENDS_UNRELATED_TO_SERVER = frozenset(
    {
        AttemptEnd.CALLER_BODY_CUT,
        AttemptEnd.CALLER_BODY_TOO_LARGE,
        AttemptEnd.CALLER_TOO_SLOW,
        AttemptEnd.CALLER_DISCONNECTED,
        AttemptEnd.CONNECTION_LIMIT,
        AttemptEnd.DEADLINE_BEFORE_SENDING,
        AttemptEnd.INSTANCE_STOPS,
        AttemptEnd.STOP_BEFORE_HEAD,
    }
)
# Ends after a wait; its length decides whether the load record counts a failure.
TIMEOUT_ENDS = frozenset({AttemptEnd.DEADLINE_BEFORE_HEAD, AttemptEnd.UNRESPONSIVE})


class AttemptSender:
    """Sends attempts to backend servers and records their ends in the load records.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    stop_watch : StopWatch
        Ends the attempts when the instance stops.
    metrics : CallMetrics
        Counts the answers whose bodies broke off.
    """

    __slots__ = (
        "_data_centre",
        "_connection_limits",
        "_upstreams",
        "_metrics",
        "_fault_line_at_s",
    )

    def __init__(
        self, settings: Settings, stop_watch: StopWatch, metrics: CallMetrics
    ) -> None:
        self._metrics = metrics
        self._fault_line_at_s = float("-inf")
        self._data_centre = settings.instance.data_centre
        self._connection_limits: dict[str, int] = {}
        self._upstreams = UpstreamCaller(
            settings.proxy, self._connection_limits.__getitem__, stop_watch
        )

    def p95_s(self, server: ServerLoad) -> float:
        """Return the 95th percentile of a server's answer time, in seconds."""
        return finish_estimate(server, monotonic_s(), self._data_centre).p95_s

    @property
    def open_connection_count(self) -> int:
        """Number of open connections to all backend servers."""
        return self._upstreams.pool.open_count()

    def send(
        self,
        server: ServerLoad,
        request: CallRequest,
        fleet: FleetEntry,
        may_give_up: Callable[[], bool],
        requires_new_connection: bool = False,
    ) -> UpstreamExchange:
        """Send a call to a backend server and wait for the head of its answer.

        Parameters
        ----------
        server : ServerLoad
            The load record of the chosen server.
        request : CallRequest
            The call.
        fleet : FleetEntry
            Gives the number of entry instances that share the connection limit.
        may_give_up : callable
            Called once if the answer takes longer than estimated and the call is safe
            to send again; returns whether the attempt may be given up.
        requires_new_connection : bool
            Whether to use a new connection only, as after an unresponsive one.

        Returns
        -------
        UpstreamExchange
            The answer; the reader must call its `release`.

        Raises
        ------
        AttemptFailed
            If the attempt ends without an answer; `end` gives the stage reached.
        """
        self._connection_limits[server.address] = connection_quota(
            request.service, fleet
        )
        sent_at_s = monotonic_s()
        estimate = finish_estimate(server, sent_at_s, self._data_centre)
        timeout_s = unresponsive_timeout_s(
            estimate.p99_s, request.deadline_s - sent_at_s
        )
        if request.pending is not None:
            request.pending.address = server.address
            request.pending.sent_at_s = sent_at_s
        server.call_started()
        exchange = None
        try:
            exchange = self._upstreams.attempt(
                server.address, request, timeout_s, requires_new_connection, may_give_up
            )
        except AttemptFailed as failure:
            _record_failure(server, failure, sent_at_s)
            raise
        except BaseException:
            # Another attempt was answered first; the time waited so far decides whether
            # the load record counts a failure.
            now_s = monotonic_s()
            server.call_timed_out(now_s - sent_at_s, now_s)
            raise
        _record_answer(server, exchange, sent_at_s)
        service_name = request.service.name
        exchange.on_fault = lambda fault: self._record_fault(
            server, service_name, fault
        )
        if request.pending is not None:
            request.pending.has_answer = True
        return exchange

    def _record_fault(
        self, server: ServerLoad, service_name: str, fault: BodyFault
    ) -> None:
        now_s = monotonic_s()
        server.answer_broken(now_s)
        self._metrics.record_broken_answer(service_name, fault.error.kind)
        if now_s - self._fault_line_at_s < FAULT_LINE_INTERVAL_S:
            return
        self._fault_line_at_s = now_s
        LOG.warning(
            "The answer of backend server %s of %s broke off after %d bytes (%s): %s.",
            server.address,
            service_name,
            fault.read_bytes,
            fault.error.kind,
            fault.error,
        )


def _record_answer(
    server: ServerLoad, exchange: UpstreamExchange, sent_at_s: float
) -> None:
    """Record an answer's head in the load record; raise if the server shed the call."""
    now_s = monotonic_s()
    answer = exchange.answer
    report = parse_load_header(answer.fields.get(LOAD_HEADER), now_s)
    if is_shed(answer.status, answer.fields):
        exchange.release(answer.is_complete and answer.keeps_connection)
        server.call_shed(now_s, report)
        raise AttemptFailed(AttemptEnd.SHED, "the backend server shed the call")
    if is_failure(answer.status):
        server.call_failed(now_s, report)
    else:
        server.call_answered(now_s - sent_at_s, report, now_s)


def _record_failure(
    server: ServerLoad, failure: AttemptFailed, sent_at_s: float
) -> None:
    now_s = monotonic_s()
    if failure.end in ENDS_UNRELATED_TO_SERVER:
        server.call_cancelled()
    elif failure.end in TIMEOUT_ENDS:
        server.call_timed_out(now_s - sent_at_s, now_s)
    else:
        server.call_failed(now_s)
