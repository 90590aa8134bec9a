"""Sending a call until a backend server answers or another attempt is not allowed."""

import dataclasses
from random import Random

from berylhaven.calls import (
    AttemptFailed,
    FailedAttempt,
    RetryBudget,
    backoff_s,
    is_safe_to_retry,
    joint_outcome,
)
from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.proxy._attempt_sender import AttemptSender, OpenAnswer
from berylhaven.proxy._call_request import CallRequest
from berylhaven.proxy._held_body import HeldBody
from berylhaven.proxy._server_chooser import ServerChooser
from berylhaven.results import CallRefused, DeadlineExceeded

RETRY_AFTER_S = 1.0
# No backend server answers sooner, so that nothing is sent with less time left.
LEAST_ANSWER_S = 0.001


class _Attempts:
    """The failed attempts of one call."""

    __slots__ = ("failures", "excluded")

    def __init__(self) -> None:
        self.failures: list[AttemptFailed] = []
        self.excluded: frozenset[str] = frozenset()

    def add(self, address: str, failure: AttemptFailed) -> None:
        """Take in a failed attempt."""
        self.failures.append(failure)
        self.excluded |= {address}

    def refusal(self) -> CallRefused:
        """Return what the caller is told: the last end, and what all prove."""
        last = self.failures[-1]
        outcome = joint_outcome(f.judgement.outcome for f in self.failures)
        return last.judgement.refusal(last.message, RETRY_AFTER_S, outcome)


class RetryingSender:
    """Sends calls, with retries within the budget of their service.

    Parameters
    ----------
    chooser : ServerChooser
        Chooses a server for each attempt.
    sender : AttemptSender
        Sends one attempt.
    random : Random
        The source of random numbers.
    held_body_limit_bytes : int
        How much of a body is held so that it can be sent again.
    """

    __slots__ = ("_chooser", "_sender", "_random", "_held_body_limit_bytes", "_budgets")

    def __init__(
        self,
        chooser: ServerChooser,
        sender: AttemptSender,
        random: Random,
        held_body_limit_bytes: int,
    ) -> None:
        self._chooser = chooser
        self._sender = sender
        self._random = random
        self._held_body_limit_bytes = held_body_limit_bytes
        self._budgets: dict[str, RetryBudget] = {}

    def send(self, request: CallRequest) -> OpenAnswer:
        """Send a call.

        Parameters
        ----------
        request : CallRequest
            The call.

        Returns
        -------
        OpenAnswer
            The head of the first answer.

        Raises
        ------
        CallRefused
            If no answer came; its outcome is what all attempts prove together.
        """
        budget = self._budgets.setdefault(request.service.name, RetryBudget())
        budget.call_came(request.service.retry_budget_ratio)
        body = HeldBody(request.read_body, self._held_body_limit_bytes)
        request = dataclasses.replace(request, read_body=body.read)
        attempts = _Attempts()
        while True:
            server = self._choose(request, attempts)
            body.rewind()
            try:
                return self._sender.send(server, request)
            except AttemptFailed as failure:
                attempts.add(server.address, failure)
            self._wait_to_retry(request, body, attempts, budget)

    def _choose(self, request: CallRequest, attempts: _Attempts):  # noqa: ANN202
        try:
            return self._chooser.choose(request, attempts.excluded)
        except CallRefused:
            if attempts.failures:
                raise attempts.refusal() from attempts.failures[-1]
            raise

    def _wait_to_retry(
        self,
        request: CallRequest,
        body: HeldBody,
        attempts: _Attempts,
        budget: RetryBudget,
    ) -> None:
        """Return when another attempt may be made; raise if none may."""
        last = attempts.failures[-1]
        failed = FailedAttempt(
            judgement=last.judgement,
            attempt_count=len(attempts.failures),
            is_idempotent=request.is_idempotent,
            is_body_held=body.is_held,
            remaining_s=request.deadline_s - monotonic_s(),
            expected_answer_s=LEAST_ANSWER_S,
        )
        if not is_safe_to_retry(failed):
            raise attempts.refusal() from last
        if not budget.take(request.service.retry_budget_ratio):
            raise attempts.refusal() from last
        sleep_s(backoff_s(failed, self._random))
        # The process may have been stopped in between.
        if request.deadline_s - monotonic_s() <= LEAST_ANSWER_S:
            refusal = attempts.refusal()
            message = f"the deadline passed before a retry; before: {last.message}"
            raise DeadlineExceeded(message, RETRY_AFTER_S, refusal.outcome) from last
