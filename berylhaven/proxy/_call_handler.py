"""Handling of one call, from admission to answer."""

import dataclasses
import random

from berylhaven.admission import AdmissionGate
from berylhaven.backend import LOAD_HEADER
from berylhaven.blackboard import Blackboard
from berylhaven.calls import CallId, CallRegistry
from berylhaven.catalogue import Catalogue
from berylhaven.clock import monotonic_s
from berylhaven.http1._hop_headers import end_to_end_headers
from berylhaven.http1._upstream_answer import UpstreamAnswer
from berylhaven.load import LoadTable
from berylhaven.membership import LocalInstance
from berylhaven.operations import CallMetrics, DecisionLog
from berylhaven.proxy._answer_body import stream_body
from berylhaven.proxy._at_most_once_runner import AtMostOnceRunner
from berylhaven.proxy._attempt_sender import AttemptSender
from berylhaven.proxy._call_answer import CallAnswer, outcome_headers
from berylhaven.proxy._call_request import CallRequest
from berylhaven.proxy._caller_watch import is_disconnected
from berylhaven.proxy._home_instance_forwarder import HomeInstanceForwarder
from berylhaven.proxy._retrying_sender import RetryingSender
from berylhaven.proxy._server_chooser import ServerChooser
from berylhaven.proxy._stop_watch import StopWatch
from berylhaven.results import Answered, CallerDisconnected, CallRefused, Outcome
from berylhaven.settings import Settings

# The load header is meant for this program only; all others go to the caller.
DROPPED_ANSWER_HEADERS = frozenset({LOAD_HEADER})


class CallHandler:
    """Admits a call, sends it to a backend server and streams the answer.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    gate : AdmissionGate
        Applies the admission limits.
    load_table : LoadTable
        The load records, updated with each call.
    decision_log : DecisionLog
        Receives a line for each routing decision.
    metrics : CallMetrics
        Counts calls by result.
    local_instance : LocalInstance
        The state of this run, the home instance of the call ids that it issues.
    blackboard : Blackboard
        Holds the peers, which are the home instances of other call ids.
    """

    __slots__ = (
        "_settings",
        "_gate",
        "_metrics",
        "_local_instance",
        "_registry",
        "_at_most_once_runner",
        "_forwarder",
        "_sender",
        "_attempt_sender",
        "_stop_watch",
    )

    def __init__(
        self,
        settings: Settings,
        gate: AdmissionGate,
        load_table: LoadTable,
        decision_log: DecisionLog,
        metrics: CallMetrics,
        local_instance: LocalInstance,
        blackboard: Blackboard,
    ) -> None:
        self._settings = settings
        self._gate = gate
        self._metrics = metrics
        self._local_instance = local_instance
        chunk_bytes = settings.proxy.chunk_bytes
        nonce = local_instance.identity.nonce
        self._registry = CallRegistry(
            settings.calls, settings.proxy.call_id_lifetime_s, nonce
        )
        self._at_most_once_runner = AtMostOnceRunner(
            settings.calls, self._registry, local_instance
        )
        self._stop_watch = StopWatch()
        self._forwarder = HomeInstanceForwarder(
            blackboard, nonce, settings.proxy, self._stop_watch
        )
        random_source = random.Random()
        self._attempt_sender = AttemptSender(settings, self._stop_watch, metrics)
        self._sender = RetryingSender(
            ServerChooser(
                settings.instance.data_centre, load_table, decision_log, random_source
            ),
            self._attempt_sender,
            random_source,
            chunk_bytes,
        )

    @property
    def open_connection_count(self) -> int:
        """Number of open connections to all backend servers."""
        return self._attempt_sender.open_connection_count

    def stop(self) -> None:
        """End all calls that wait for a backend server, and start no other ones."""
        self._stop_watch.stop()

    def handle(self, catalogue: Catalogue, request: CallRequest) -> CallAnswer:
        """Answer one call.

        Parameters
        ----------
        catalogue : Catalogue
            The active catalogue.
        request : CallRequest
            The call.

        Returns
        -------
        CallAnswer
            The backend server's answer, its body streamed, or a stored answer.

        Raises
        ------
        CallRefused
            If the call ends without a backend server's answer.
        """
        started_at_s = monotonic_s()
        try:
            answer = self._handle(catalogue, request)
        except CallRefused as refusal:
            self._metrics.record_call(request.service.name, refusal.code, started_at_s)
            raise
        self._metrics.record_call(request.service.name, Answered.code, started_at_s)
        return answer

    def correct_outcome(self, refusal: CallRefused, call_id: CallId) -> None:
        """Change `not-run` to `unknown` if an earlier request may have run the call.

        Parameters
        ----------
        refusal : CallRefused
            The refusal of a request whose call id was not looked up yet.
        call_id : CallId
            The id of the call.
        """
        uptime_s = self._local_instance.uptime_s
        if self._registry.is_proven_not_run(call_id, uptime_s):
            return
        if refusal.outcome is Outcome.NOT_RUN:
            refusal.outcome = Outcome.UNKNOWN

    def _handle(self, catalogue: Catalogue, request: CallRequest) -> CallAnswer:
        if request.is_idempotent:
            return self._run(catalogue, request)
        if request.home_instance_nonce != self._local_instance.identity.nonce:
            return self._forwarder.forward(request)
        return self._at_most_once_runner.run(
            request, lambda: self._start_at_most_once(catalogue, request)
        )

    def _start_at_most_once(
        self, catalogue: Catalogue, request: CallRequest
    ) -> CallAnswer:
        """Run a call at most once; it continues if its caller disconnects later."""
        caller_socket = request.caller_socket
        if request.is_replayable and caller_socket and is_disconnected(caller_socket):
            # The request was unread for long; its caller may have retried elsewhere.
            # A truncated body is reported by an end of its own.
            raise CallerDisconnected(
                "the caller disconnected before the call was sent",
                outcome=Outcome.NOT_RUN,
            )
        return self._run(catalogue, dataclasses.replace(request, caller_socket=None))

    def _run(self, catalogue: Catalogue, request: CallRequest) -> CallAnswer:
        ticket = self._gate.admit(
            catalogue, request.service, monotonic_s(), request.deadline_s
        )
        exchange = None
        try:
            exchange = self._sender.send(catalogue.fleet, request)
        finally:
            if exchange is None:
                ticket.release()
        upstream = exchange.answer

        def end_call(is_reusable: bool) -> None:
            """Release the admission ticket and the connection of the call."""
            ticket.release()
            exchange.release(is_reusable)

        return CallAnswer(
            f"{upstream.status} {upstream.reason}",
            _answer_headers(upstream),
            stream_body(
                upstream,
                self._settings.proxy.chunk_bytes,
                request.deadline_s,
                end_call,
            ),
        )


def _answer_headers(upstream: UpstreamAnswer) -> list[tuple[str, str]]:
    kept = end_to_end_headers(upstream.headers, DROPPED_ANSWER_HEADERS)
    return kept + outcome_headers(Answered.code, Outcome.RUN)
