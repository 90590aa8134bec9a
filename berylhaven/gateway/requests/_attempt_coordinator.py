"""Retries and hedges the attempts of one request."""

import dataclasses
import math
from collections.abc import Callable

import eventlet
import eventlet.queue

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.gateway.callers._request import GatewayRequest
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.requests._attempt_runner import (
    AttemptResult,
    AttemptRunner,
    NoServerAvailable,
    may_have_run,
)
from berylhaven.gateway.requests._hedger import Hedger
from berylhaven.gateway.requests._peer_forwarder import (
    PeerBusy,
    PeerForwarder,
    PeerRefused,
    used_server_count,
)
from berylhaven.gateway.requests._request_quarantine import RequestQuarantine
from berylhaven.gateway.servers._finish_estimate import expected_finish_s
from berylhaven.gateway.servers._reach_monitor import ReachMonitor
from berylhaven.gateway.servers._server_chooser import ChoiceRequest
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.hedging import HedgeDenial, HedgeOutlook, deny_hedge
from berylhaven.overload import Reach

# A hedge is sent when the answer takes longer than the estimate times this factor.
HEDGE_RATIO = 1.6
# The minimum delay of a hedge, relative to the latency objective.
MIN_HEDGE_DELAY_RATIO = 0.35
# The same where the delay comes from the times of the route.
MIN_LEARNED_DELAY_RATIO = 0.1
# With less time until the deadline, another attempt could not be answered.
MIN_REMAINING_S = 0.005
# The Retry-After value after attempts that did not run.
MIN_RETRY_AFTER_S = 0.02
# The Retry-After value while no instance is known to reach the servers.
UNREACHED_RETRY_AFTER_S = 0.3
# The number of instances that a request is passed on to, one after the other.
TRIED_PEERS_LIMIT = 2
# After so many servers that this instance could not connect to, a request is passed on
# although others may still answer: their connections may be older than the cut.
UNCONNECTED_LIMIT = 2
HTTP_STATUS_SERVER_ERROR = 500
TIMEOUT_ENDS = frozenset(
    {AttemptEnd.DEADLINE_BEFORE_HEAD, AttemptEnd.DEADLINE_BEFORE_SENDING}
)
# Ends of attempts that did not get as far as a connection: other requests took the last
# one, or the room for uploads, or the server's data centre was evacuated meanwhile.
UNTRIED_ENDS = frozenset({AttemptEnd.CONNECTION_LIMIT, AttemptEnd.SERVER_EVACUATED})
# How many of them do not count as attempts of a request; each costs a choice.
UNTRIED_LIMIT = 4
# Ends after which another attempt costs no retry of the budget.
UNCOUNTED_ENDS = UNTRIED_ENDS | {AttemptEnd.NOT_CONNECTED}
# Ends of attempts of which nothing reached a server.
UNSENT_ENDS = UNCOUNTED_ENDS | {
    AttemptEnd.DEADLINE_BEFORE_SENDING,
    AttemptEnd.INSTANCE_STOPS,
}
# Ends after which another attempt would end in the same way.
FINAL_ENDS = frozenset(
    {
        AttemptEnd.INSTANCE_STOPS,
        AttemptEnd.CALLER_BODY_CUT,
        AttemptEnd.CALLER_BODY_TOO_LARGE,
        AttemptEnd.CALLER_TOO_SLOW,
    }
)


@dataclasses.dataclass(slots=True, frozen=True)
class FirstSent:
    """When the first attempt was sent, and its estimate."""

    # The server of the attempt.
    server: ServerRecord
    # On the hub's clock.
    sent_at_s: float
    # The expected time to the answer, in seconds.
    expected_s: float


class AttemptCoordinator:
    """Runs the attempts of one request until one succeeds or no other is allowed.

    Parameters
    ----------
    runner : AttemptRunner
        Makes the attempts.
    request : GatewayRequest
        The caller's request.
    choice_request : ChoiceRequest
        The input of the server choices.
    try_acquire_retry : callable
        Spends one retry of the shared budget, on a hedge with a limit of its own if
        `is_hedge` is set; returns whether one was left.
    quarantine : RequestQuarantine
        Tells whether the request may be sent again.
    reach : ReachMonitor
        Tells whether this instance reaches the servers.
    peers : PeerForwarder
        Passes the request on if it does not.
    hedger : Hedger
        Decides on hedges if operators have set a limit for them.
    may_hedge : callable
        Returns whether a hedge leaves the retries' reserve of the shared budget.
    """

    __slots__ = (
        "_reach",
        "_peers",
        "_tried_peers",
        "_quarantine",
        "_runner",
        "_request",
        "_choice_request",
        "_wait_limit_s",
        "_try_acquire_retry",
        "_ended",
        "_threads",
        "_running_count",
        "_sent_count",
        "_peer_sent_count",
        "_failed_answer",
        "_no_server",
        "_hedge_at_s",
        "_hedger",
        "_may_hedge",
        "_first_sent",
        "_hedge_server",
        "failures",
    )

    def __init__(
        self,
        runner: AttemptRunner,
        request: GatewayRequest,
        choice_request: ChoiceRequest,
        try_acquire_retry: Callable[..., bool],
        quarantine: RequestQuarantine,
        reach: ReachMonitor,
        peers: PeerForwarder,
        hedger: Hedger,
        may_hedge: Callable[[], bool],
    ) -> None:
        self._hedger = hedger
        self._may_hedge = may_hedge
        # The first attempt if it can be hedged.
        self._first_sent: FirstSent | None = None
        self._hedge_server: ServerRecord | None = None
        self._reach = reach
        self._peers = peers
        # Peers' addresses of the instances that the request was passed on to.
        self._tried_peers: frozenset[str] = frozenset()
        self._quarantine = quarantine
        self._runner = runner
        self._request = request
        self._choice_request = choice_request
        self._wait_limit_s = choice_request.wait_limit_s
        self._try_acquire_retry = try_acquire_retry
        self._ended = eventlet.queue.LightQueue()
        self._threads: list[eventlet.greenthread.GreenThread] = []
        self._running_count = 0
        self._sent_count = 0
        # Servers that other instances may have sent the request to, without an answer.
        self._peer_sent_count = 0
        # A server error (5xx), returned if no other attempt succeeds.
        self._failed_answer: AttemptResult | None = None
        self._no_server: NoServerAvailable | None = None
        self._hedge_at_s = math.inf
        # The failures of attempts that ended without an answer.
        self.failures: list[AttemptFailed] = []

    def run(self) -> AttemptResult | None:
        """Run the attempts and return the answer to forward, or None if there is none.

        Returns
        -------
        AttemptResult or None
            The first success, or a server error if no further attempt is allowed.
        """
        self._start_attempt()
        while self._running_count:
            ended = self._wait()
            if ended is None:
                self._hedge()
                continue
            self._running_count -= 1
            if isinstance(ended, AttemptResult):
                if not self._is_worth_retrying(ended):
                    self._record_answer(ended)
                    return ended
                self._failed_answer = ended
            elif isinstance(ended, AttemptFailed):
                if ended.end is AttemptEnd.BODY_TAKEN:
                    # How the request ends is up to the attempt that sends its body.
                    continue
                self.failures.append(ended)
                if self._is_untried(ended):
                    self._sent_count -= 1
                    self._choice_request = dataclasses.replace(
                        self._choice_request, wait_limit_s=self._wait_limit_s
                    )
            else:
                raise ended
            if not self._running_count and self._may_attempt_again(ended):
                self._start_attempt()
        return self._failed_answer

    def _is_untried(self, failure: AttemptFailed) -> bool:
        """Return whether an attempt does not count, since nothing was sent."""
        if isinstance(failure, PeerBusy):
            # One by way of another instance was not counted as sent from here.
            return False
        untried_count = sum(known.end in UNTRIED_ENDS for known in self.failures)
        return failure.end in UNTRIED_ENDS and untried_count <= UNTRIED_LIMIT

    def cancel(self) -> None:
        """Cancel the running attempts and close their connections."""
        for thread in self._threads:
            thread.kill()

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run on a backend server."""
        return may_have_run(self.failures)

    @property
    def has_reached_server(self) -> bool:
        """Whether a failed attempt may have sent something to a backend server."""
        return any(failure.end not in UNSENT_ENDS for failure in self.failures)

    @property
    def has_timed_out(self) -> bool:
        """Whether the last attempt reached the deadline."""
        return bool(self.failures) and self.failures[-1].end in TIMEOUT_ENDS

    @property
    def last_message(self) -> str:
        """The reason why no answer was received."""
        if self.failures:
            return self.failures[-1].message
        return (
            self._no_server.message
            if self._no_server
            else "no backend server was tried"
        )

    @property
    def retry_after_s(self) -> float:
        """The time after which the caller may retry, in seconds."""
        for failure in self.failures:
            if isinstance(failure, PeerRefused) and failure.return_s is not None:
                return failure.return_s
        if self._no_server is None:
            return MIN_RETRY_AFTER_S
        return self._no_server.return_s

    def _wait(self) -> "AttemptResult | BaseException | None":
        """Return the result of the next attempt to end; None when a hedge is due."""
        if self._hedge_at_s == math.inf:
            return self._ended.get()
        try:
            return self._ended.get(timeout=max(0.0, self._hedge_at_s - monotonic_s()))
        except eventlet.queue.Empty:
            return None

    def _start_attempt(self) -> None:
        """Start an attempt on another server, or by way of another instance."""
        reach = self._reach.state(self._choice_request.service.name)
        if reach is Reach.NONE or self._is_at_limit():
            if not self._try_pass_on():
                self._no_server = NoServerAvailable(
                    f'service "{self._choice_request.service.name}": no server answers '
                    "this instance, and no other instance is known to reach one",
                    UNREACHED_RETRY_AFTER_S,
                )
            return
        try:
            server = self._runner.choose(self._request, self._choice_request)
        except NoServerAvailable as refusal:
            if reach is Reach.MOST or not self._try_pass_on():
                self._no_server = refusal
            return
        if reach is Reach.FEW and server.is_unresponsive and self._try_pass_on():
            return
        server_id = server.entry.server_id
        excluded = self._choice_request.excluded | {server_id}
        # Only the first attempt that counts may wait for a slot.
        self._choice_request = dataclasses.replace(
            self._choice_request, excluded=excluded, wait_limit_s=0.0
        )
        now_s = monotonic_s()
        if self._choice_request.route.is_idempotent and not self._threads:
            expected_s = expected_finish_s(server, self._choice_request.work, now_s)
            self._first_sent = FirstSent(server, now_s, expected_s)
            self._hedge_at_s = now_s + self._hedge_delay_s(expected_s)
        else:
            self._hedge_at_s = math.inf
        self._spawn(server)

    def _spawn(self, server: ServerRecord) -> None:
        self._running_count += 1
        self._sent_count += 1
        self._threads.append(
            eventlet.spawn(self._attempt, self._choice_request, server)
        )

    def _hedge_delay_s(self, expected_s: float) -> float:
        objective_s = self._choice_request.route.latency_objective_s
        late_ratio = self._hedger.late_ratio(self._choice_request)
        if late_ratio is None:
            return max(MIN_HEDGE_DELAY_RATIO * objective_s, HEDGE_RATIO * expected_s)
        return max(MIN_LEARNED_DELAY_RATIO * objective_s, late_ratio * expected_s)

    def _record_answer(self, result: AttemptResult) -> None:
        """Record the time of the first attempt, also if a hedge was faster."""
        first = self._first_sent
        if first is None or result.server is None:
            return
        is_won = result.server is self._hedge_server
        if is_won:
            self._hedger.record_won(self._choice_request.service.name)
        if is_won or result.server is first.server:
            time_ratio = (monotonic_s() - first.sent_at_s) / first.expected_s
            self._hedger.record_time(self._choice_request, time_ratio)

    def _is_at_limit(self) -> bool:
        sent_count = self._sent_count + self._peer_sent_count
        return sent_count >= self._choice_request.route.attempt_limit

    def _can_pass_on(self) -> bool:
        """Return whether another instance may be able to serve the request."""
        # One that was passed on to this instance already goes no further.
        if self._request.passed_on_attempt_limit is not None:
            return False
        if len(self._tried_peers) >= TRIED_PEERS_LIMIT:
            return False
        if not self._choice_request.route.is_idempotent and self.may_have_run:
            return False
        if self._remaining_server_count() <= 0:
            return False
        reach = self._reach.state(self._choice_request.service.name)
        is_unconnected = self._unconnected_count() >= UNCONNECTED_LIMIT
        return reach is not Reach.MOST or is_unconnected

    def _unconnected_count(self) -> int:
        return sum(failure.end is AttemptEnd.NOT_CONNECTED for failure in self.failures)

    def _remaining_server_count(self) -> int:
        """Return the number of further servers that the request may be sent to."""
        own_count = max(0, self._sent_count - self._unconnected_count())
        reached_count = own_count + self._peer_sent_count
        return self._choice_request.route.attempt_limit - reached_count

    def _try_pass_on(self) -> bool:
        """Pass the request on to another instance if there is a suitable one."""
        if not self._can_pass_on():
            return False
        service = self._choice_request.service.name
        member = self._peers.choose(service, self._tried_peers)
        if member is None:
            return False
        self._tried_peers |= {member.peers_address}
        self._hedge_at_s = math.inf
        self._running_count += 1
        self._threads.append(eventlet.spawn(self._pass_on, member))
        return True

    def _pass_on(self, member: Member) -> None:
        attempt_limit = self._remaining_server_count()
        try:
            answer = self._peers.send(
                self._request,
                self._choice_request.service.name,
                member,
                attempt_limit,
                self._choice_request.deadline_s,
            )
            ended = AttemptResult(None, answer)
        except Exception as error:
            self._peer_sent_count += used_server_count(error, attempt_limit)
            ended = error
        self._ended.put(ended)

    def _attempt(self, choice_request: ChoiceRequest, server: ServerRecord) -> None:
        try:
            ended = self._runner.send(self._request, choice_request, server)
        except Exception as error:
            ended = error
        self._ended.put(ended)

    def _hedge(self) -> None:
        """Send a delayed idempotent request to a second server if the budget allows."""
        self._hedge_at_s = math.inf
        if self._hedger.limit is not None:
            self._hedge_within_limit()
            return
        # A suspect may cost a second server while the first one still runs it.
        if self._quarantine.is_suspect(self._request):
            return
        if self._can_attempt() and self._try_acquire_retry():
            self._start_attempt()

    def _hedge_within_limit(self) -> None:
        """Send a hedge unless something speaks against it, and count it."""
        denial = self._hedge_denial() or self._try_send_hedge()
        if denial is not None:
            self._hedger.record_denied(self._choice_request.service.name, denial)

    def _hedge_denial(self) -> HedgeDenial | None:
        limit = self._hedger.limit
        if limit is None:
            # The settings were reloaded while a server was chosen.
            return HedgeDenial.SWITCHED_OFF
        service = self._choice_request.service.name
        outlook = HedgeOutlook(
            is_suspect=self._quarantine.is_suspect(self._request),
            can_attempt=not self._is_at_limit() and self._can_attempt(),
            is_reached=self._reach.state(service) is Reach.MOST,
            busy_ratio=self._hedger.busy_ratio(service),
            has_hedge=self._hedger.has_hedge(service),
            has_retry=self._may_hedge(),
        )
        return deny_hedge(limit, outlook)

    def _try_send_hedge(self) -> HedgeDenial | None:
        """Choose a second server, without a wait, and send the request to it."""
        service = self._choice_request.service.name
        tried = self._choice_request.excluded
        excluded = tried | self._hedger.unsuitable_ids(service)
        hedge_request = dataclasses.replace(self._choice_request, excluded=excluded)
        try:
            server = self._runner.choose(self._request, hedge_request)
        except NoServerAvailable:
            return HedgeDenial.NO_SERVER
        if not self._ended.empty():
            return HedgeDenial.ANSWERED
        if not self._hedger.has_room(server, self._choice_request.work):
            return HedgeDenial.NO_SERVER
        # The probes took time and brought new reports.
        denial = self._hedge_denial()
        if denial is not None:
            return denial
        if not self._try_acquire_retry(is_hedge=True):
            return HedgeDenial.RETRY_BUDGET
        self._choice_request = dataclasses.replace(
            self._choice_request, excluded=tried | {server.entry.server_id}
        )
        self._hedge_server = server
        self._hedger.record_sent(service, self._request.request_id, server)
        self._spawn(server)
        return None

    def _can_attempt(self) -> bool:
        if self._is_at_limit() and not self._can_pass_on():
            return False
        if self._choice_request.deadline_s - monotonic_s() < MIN_REMAINING_S:
            return False
        if self._quarantine.is_held(self._request):
            return False
        return self._request.body.is_available

    def _is_worth_retrying(self, result: AttemptResult) -> bool:
        """Return whether the answer is a server error that another server may avoid."""
        if result.answer.status < HTTP_STATUS_SERVER_ERROR:
            return False
        if result.server is None:
            # The other instance has made the attempts.
            return False
        return self._choice_request.route.is_idempotent

    def _may_attempt_again(self, ended: "AttemptResult | AttemptFailed") -> bool:
        """Return whether another attempt is allowed, and spend a retry on it."""
        if isinstance(ended, AttemptFailed) and ended.end in FINAL_ENDS:
            return False
        if not self._choice_request.route.is_idempotent and self.may_have_run:
            return False
        if not self._can_attempt():
            return False
        if isinstance(ended, PeerBusy):
            return True
        if isinstance(ended, AttemptFailed) and ended.end in UNCOUNTED_ENDS:
            return True
        return self._try_acquire_retry()
