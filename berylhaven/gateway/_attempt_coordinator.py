"""The attempts of one request: one after another, or two at once."""

import dataclasses
import math
from collections.abc import Callable

import eventlet
import eventlet.queue

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.gateway._attempt_runner import (
    AttemptResult,
    AttemptRunner,
    NoServerAvailable,
    may_have_run,
)
from berylhaven.gateway._finish_forecast import finish_forecast_s
from berylhaven.gateway._request import GatewayRequest
from berylhaven.gateway._server_chooser import ChoiceRequest
from berylhaven.gateway._server_record import ServerRecord

# An answer that is late by this many times its forecast is hedged.
HEDGE_RATIO = 1.6
# No hedge is sent sooner, relative to the latency objective.
LEAST_HEDGE_RATIO = 0.35
# With less time left, another attempt could not be answered.
LEAST_REMAINING_S = 0.005
# The limits of what a caller is told to wait, in seconds.
LEAST_RETRY_AFTER_S = 0.02
LONGEST_RETRY_AFTER_S = 1.0
SERVER_FAILURE_STATUS = 500
TIMEOUT_ENDS = frozenset(
    {AttemptEnd.DEADLINE_BEFORE_HEAD, AttemptEnd.DEADLINE_BEFORE_SENDING}
)
CALLER_ENDS = frozenset(
    {
        AttemptEnd.CALLER_BODY_CUT,
        AttemptEnd.CALLER_BODY_TOO_LARGE,
        AttemptEnd.CALLER_TOO_SLOW,
    }
)


class AttemptCoordinator:
    """Runs the attempts of one request until one is answered or none may follow.

    Parameters
    ----------
    runner : AttemptRunner
        Makes the attempts.
    request : GatewayRequest
        The caller's request.
    wanted : ChoiceRequest
        What the choices are for.
    may_retry : callable
        Spends one retry of the shared budget, and tells whether there was one.
    """

    __slots__ = (
        "_runner",
        "_request",
        "_wanted",
        "_may_retry",
        "_ended",
        "_threads",
        "_running_count",
        "_sent_count",
        "_failed_answer",
        "_no_server",
        "_hedge_at_s",
        "failures",
    )

    def __init__(
        self,
        runner: AttemptRunner,
        request: GatewayRequest,
        wanted: ChoiceRequest,
        may_retry: Callable[[], bool],
    ) -> None:
        self._runner = runner
        self._request = request
        self._wanted = wanted
        self._may_retry = may_retry
        self._ended = eventlet.queue.LightQueue()
        self._threads: list[eventlet.greenthread.GreenThread] = []
        self._running_count = 0
        self._sent_count = 0
        # A server's own failure, passed on if no other server does better.
        self._failed_answer: AttemptResult | None = None
        self._no_server: NoServerAvailable | None = None
        self._hedge_at_s = math.inf
        # How attempts ended without an answer.
        self.failures: list[AttemptFailed] = []

    def run(self) -> AttemptResult | None:
        """Return the answer to pass on, or None if there is none.

        Returns
        -------
        AttemptResult or None
            The first success, or a server's failure if no other server may be asked.
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
                    return ended
                self._failed_answer = ended
            elif isinstance(ended, AttemptFailed):
                self.failures.append(ended)
            else:
                raise ended
            if not self._running_count and self._may_follow(ended):
                self._start_attempt()
        return self._failed_answer

    def cancel(self) -> None:
        """End the attempts that still run; their connections close."""
        for thread in self._threads:
            thread.kill()

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run at a server."""
        return may_have_run(self.failures)

    @property
    def has_timed_out(self) -> bool:
        """Whether the last attempt was ended by the deadline."""
        return bool(self.failures) and self.failures[-1].end in TIMEOUT_ENDS

    @property
    def last_message(self) -> str:
        """Why no answer came."""
        if self.failures:
            return self.failures[-1].message
        return self._no_server.message if self._no_server else "no server was asked"

    @property
    def retry_after_s(self) -> float:
        """When the caller may come back, in seconds."""
        if self._no_server is None:
            return LEAST_RETRY_AFTER_S
        excess_s = self._no_server.finish_s - self._wanted.route.latency_objective_s
        return min(LONGEST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, excess_s))

    def _wait(self) -> "AttemptResult | BaseException | None":
        """Return how the next attempt ended; None when it is time to hedge."""
        if self._hedge_at_s == math.inf:
            return self._ended.get()
        try:
            return self._ended.get(timeout=max(0.0, self._hedge_at_s - monotonic_s()))
        except eventlet.queue.Empty:
            return None

    def _start_attempt(self) -> None:
        """Start an attempt at another server if there is one."""
        try:
            server = self._runner.choose(self._request, self._wanted)
        except NoServerAvailable as refusal:
            self._no_server = refusal
            return
        server_id = server.entry.server_id
        excluded = self._wanted.excluded | {server_id}
        self._wanted = dataclasses.replace(self._wanted, excluded=excluded)
        now_s = monotonic_s()
        if self._wanted.route.is_idempotent and not self._threads:
            forecast_s = finish_forecast_s(server, self._wanted.work, now_s)
            least_s = LEAST_HEDGE_RATIO * self._wanted.route.latency_objective_s
            self._hedge_at_s = now_s + max(least_s, HEDGE_RATIO * forecast_s)
        else:
            self._hedge_at_s = math.inf
        self._running_count += 1
        self._sent_count += 1
        self._threads.append(eventlet.spawn(self._attempt, self._wanted, server))

    def _attempt(self, wanted: ChoiceRequest, server: ServerRecord) -> None:
        try:
            ended = self._runner.send(self._request, wanted, server)
        except Exception as error:
            ended = error
        self._ended.put(ended)

    def _hedge(self) -> None:
        """Send a late idempotent request to a second server within the budget."""
        self._hedge_at_s = math.inf
        if self._has_room() and self._may_retry():
            self._start_attempt()

    def _has_room(self) -> bool:
        if self._sent_count >= self._wanted.route.attempt_limit:
            return False
        if self._wanted.deadline_s - monotonic_s() < LEAST_REMAINING_S:
            return False
        return self._request.body.is_replayable

    def _is_worth_retrying(self, result: AttemptResult) -> bool:
        """Tell whether a server's own failure may be made good by another server."""
        if result.answer.status < SERVER_FAILURE_STATUS:
            return False
        return self._wanted.route.is_idempotent

    def _may_follow(self, ended: "AttemptResult | AttemptFailed") -> bool:
        """Tell whether another attempt may follow, and pay for it."""
        if isinstance(ended, AttemptFailed) and ended.end in CALLER_ENDS:
            return False
        if not self._wanted.route.is_idempotent and self.may_have_run:
            return False
        if not self._has_room():
            return False
        if isinstance(ended, AttemptFailed) and ended.end is AttemptEnd.NOT_CONNECTED:
            # Nothing reached the server, so that it cost none of the budget.
            return True
        return self._may_retry()
