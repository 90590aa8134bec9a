"""Sending of a call, with retries until an answer or until no retry is allowed."""

from collections.abc import Callable
from random import Random

from berylhaven.calls import (
    AttemptEnd,
    AttemptFailed,
    FailedAttempt,
    RetryBudget,
    backoff_s,
    is_safe_to_retry,
    joint_outcome,
)
from berylhaven.catalogue import FleetEntry
from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.load import ServerLoad
from berylhaven.proxy._attempt_sender import AttemptSender
from berylhaven.proxy._call_request import CallRequest
from berylhaven.proxy._hedge import HedgedAttempts
from berylhaven.proxy._server_chooser import ServerChooser
from berylhaven.proxy._upstream_caller import UpstreamExchange
from berylhaven.results import CallRefused, DeadlineExceeded

RETRY_AFTER_S = 1.0
# No backend server answers faster, so nothing is sent with less time left.
MIN_ANSWER_TIME_S = 0.001


def _may_hedge(request: CallRequest) -> bool:
    """Return whether a call may be sent to two servers at once."""
    if request.service.hedge_budget_ratio <= 0 or request.has_body:
        return False
    return request.is_idempotent


class _FailedAttempts:
    """The failed attempts of one call."""

    __slots__ = ("failures", "excluded", "has_budget")

    def __init__(self) -> None:
        self.failures: list[AttemptFailed] = []
        self.excluded: frozenset[str] = frozenset()
        # Whether the next retry is already charged to the retry budget.
        self.has_budget = False

    def add(self, address: str, failure: AttemptFailed) -> None:
        """Record a failed attempt."""
        self.failures.append(failure)
        self.excluded |= {address}

    @property
    def was_unresponsive(self) -> bool:
        """Whether the last attempt ended on an unresponsive connection."""
        return bool(self.failures) and self.failures[-1].end is AttemptEnd.UNRESPONSIVE

    def refusal(self) -> CallRefused:
        """Return the refusal: the last failure, with the outcome that all prove."""
        last = self.failures[-1]
        outcome = joint_outcome(f.classification.outcome for f in self.failures)
        return last.classification.refusal(last.message, RETRY_AFTER_S, outcome)


class RetryingSender:
    """Sends calls, with retries within the budget of their service.

    Parameters
    ----------
    chooser : ServerChooser
        Chooses the backend server of each attempt.
    sender : AttemptSender
        Sends one attempt.
    random : Random
        The source of random numbers.
    chunk_bytes : int
        The largest part of a body held in memory at once, in bytes.
    """

    __slots__ = (
        "_chooser",
        "_sender",
        "_random",
        "_chunk_bytes",
        "_budgets",
        "_hedge_budgets",
    )

    def __init__(
        self,
        chooser: ServerChooser,
        sender: AttemptSender,
        random: Random,
        chunk_bytes: int,
    ) -> None:
        self._chooser = chooser
        self._sender = sender
        self._random = random
        self._chunk_bytes = chunk_bytes
        self._budgets: dict[str, RetryBudget] = {}
        self._hedge_budgets: dict[str, RetryBudget] = {}

    def send(self, fleet: FleetEntry, request: CallRequest) -> UpstreamExchange:
        """Send a call.

        Parameters
        ----------
        fleet : FleetEntry
            Gives the number of entry instances that share the connection limit.
        request : CallRequest
            The call.

        Returns
        -------
        UpstreamExchange
            The first answer; its `release` must be called.

        Raises
        ------
        CallRefused
            If no attempt was answered; its outcome is what all attempts prove.
        """
        budget = self._budgets.setdefault(request.service.name, RetryBudget())
        ratio = request.service.retry_budget_ratio
        budget.record_call(ratio)
        attempts = _FailedAttempts()

        def may_give_up() -> bool:
            """Charge the retry that follows an unresponsive attempt to the budget."""
            attempts.has_budget = budget.try_acquire(ratio)
            return attempts.has_budget

        while True:
            server = self._choose(request, attempts)
            # This sends 100 Continue to a caller that awaits it, only now that a server
            # is chosen.
            request.body.buffer_first_part(self._chunk_bytes)
            try:
                if _may_hedge(request) and not attempts.failures:
                    return self._send_hedged(server, request, fleet, budget)
                return self._sender.send(
                    server, request, fleet, may_give_up, attempts.was_unresponsive
                )
            except AttemptFailed as failure:
                attempts.add(server.address, failure)
            self._wait_to_retry(request, attempts, budget)

    def _send_hedged(
        self,
        server: ServerLoad,
        request: CallRequest,
        fleet: FleetEntry,
        budget: RetryBudget,
    ) -> UpstreamExchange:
        """Send a call, and hedge it with another server if the answer is slow."""
        hedge_budget = self._hedge_budgets.setdefault(
            request.service.name, RetryBudget()
        )
        hedge_ratio = request.service.hedge_budget_ratio
        hedge_budget.record_call(hedge_ratio)

        def attempt_at(chosen: ServerLoad) -> Callable[[], UpstreamExchange]:
            """Return what sends the call to a server and waits until its deadline."""
            return lambda: self._sender.send(chosen, request, fleet, lambda: False)

        def second_attempt() -> Callable[[], UpstreamExchange] | None:
            """Return the second attempt if both budgets allow it."""
            if not hedge_budget.try_acquire(hedge_ratio):
                return None
            if not budget.try_acquire(request.service.retry_budget_ratio):
                return None
            try:
                other = self._chooser.choose(request, frozenset({server.address}))
            except CallRefused:
                return None
            return None if other is server else attempt_at(other)

        hedge_delay_s = self._sender.p95_s(server)
        return HedgedAttempts().run(attempt_at(server), hedge_delay_s, second_attempt)

    def _choose(self, request: CallRequest, attempts: _FailedAttempts) -> ServerLoad:
        try:
            return self._chooser.choose(request, attempts.excluded)
        except CallRefused:
            if attempts.failures:
                raise attempts.refusal() from attempts.failures[-1]
            raise

    def _wait_to_retry(
        self, request: CallRequest, attempts: _FailedAttempts, budget: RetryBudget
    ) -> None:
        """Wait for the backoff before another attempt; raise if none is allowed."""
        last = attempts.failures[-1]
        failed = FailedAttempt(
            classification=last.classification,
            attempt_count=len(attempts.failures),
            is_idempotent=request.is_idempotent,
            is_body_replayable=request.is_replayable,
            remaining_s=request.deadline_s - monotonic_s(),
            expected_answer_s=MIN_ANSWER_TIME_S,
        )
        if not is_safe_to_retry(failed):
            raise attempts.refusal() from last
        if not attempts.has_budget:
            attempts.has_budget = budget.try_acquire(request.service.retry_budget_ratio)
        if not attempts.has_budget:
            raise attempts.refusal() from last
        attempts.has_budget = False
        sleep_s(backoff_s(failed, self._random))
        # The process may have been suspended during the sleep.
        if request.deadline_s - monotonic_s() <= MIN_ANSWER_TIME_S:
            refusal = attempts.refusal()
            message = (
                f"the deadline passed before a retry; last failure: {last.message}"
            )
            raise DeadlineExceeded(message, RETRY_AFTER_S, refusal.outcome) from last
