"""Hedged attempts: two at once for one call, of which the first answer is used."""

from collections.abc import Callable

import eventlet
import eventlet.queue

from berylhaven.calls import AttemptFailed
from berylhaven.proxy._upstream_caller import UpstreamExchange

Attempt = Callable[[], UpstreamExchange]


class HedgedAttempts:
    """Runs attempts in green threads and cancels all but the first one answered."""

    __slots__ = ("_results", "_threads")

    def __init__(self) -> None:
        self._results = eventlet.queue.LightQueue()
        self._threads: list[eventlet.greenthread.GreenThread] = []

    def run(
        self,
        first: Attempt,
        hedge_delay_s: float,
        second_attempt: Callable[[], Attempt | None],
    ) -> UpstreamExchange:
        """Run the first attempt and, if it is slow, a second; return the first answer.

        Parameters
        ----------
        first : callable
            Runs the first attempt.
        hedge_delay_s : float
            How long to wait for the first attempt before the second, in seconds.
        second_attempt : callable
            Called once after that; returns what runs the second attempt, or None.

        Returns
        -------
        UpstreamExchange
            The answer; its `release` must be called.

        Raises
        ------
        AttemptFailed
            If no attempt is answered: the last failure.
        """
        self._start(first)
        try:
            try:
                result = self._results.get(timeout=hedge_delay_s)
            except eventlet.queue.Empty:
                second = second_attempt()
                if second is not None:
                    self._start(second)
                result = self._results.get()
            for _ in self._threads[1:]:
                if isinstance(result, AttemptFailed):
                    result = self._results.get()
        finally:
            self._cancel_others()
        if isinstance(result, BaseException):
            raise result
        return result

    def _start(self, attempt: Attempt) -> None:
        self._threads.append(eventlet.spawn(self._run_attempt, attempt))

    def _run_attempt(self, attempt: Attempt) -> None:
        try:
            result = attempt()
        except Exception as error:
            result = error
        self._results.put(result)

    def _cancel_others(self) -> None:
        """Cancel the remaining attempts and close the connections of unused answers."""
        for thread in self._threads:
            thread.kill()
        while not self._results.empty():
            result = self._results.get()
            if isinstance(result, UpstreamExchange):
                result.release(is_reusable=False)
