"""Two attempts of one call at once, of which the first answer wins."""

from collections.abc import Callable

import eventlet
import eventlet.queue

from berylhaven.calls import AttemptFailed
from berylhaven.proxy._upstream_caller import UpstreamExchange

Attempt = Callable[[], UpstreamExchange]


class HedgedAttempts:
    """Runs attempts in green threads and ends all but the first that is answered."""

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
        """Return the first answer.

        Parameters
        ----------
        first : callable
            Makes the first attempt.
        hedge_delay_s : float
            How long to wait for it alone.
        second_attempt : callable
            Asked once after that; returns what makes the second attempt, or None.

        Returns
        -------
        UpstreamExchange
            The answer; its `release` must be called.

        Raises
        ------
        AttemptFailed
            The last failure, if no attempt is answered.
        """
        self._start(first)
        try:
            try:
                ended = self._results.get(timeout=hedge_delay_s)
            except eventlet.queue.Empty:
                second = second_attempt()
                if second is not None:
                    self._start(second)
                ended = self._results.get()
            for _ in self._threads[1:]:
                if isinstance(ended, AttemptFailed):
                    ended = self._results.get()
        finally:
            self._cancel_others()
        if isinstance(ended, BaseException):
            raise ended
        return ended

    def _start(self, attempt: Attempt) -> None:
        self._threads.append(eventlet.spawn(self._run_attempt, attempt))

    def _run_attempt(self, attempt: Attempt) -> None:
        try:
            ended = attempt()
        except Exception as error:
            ended = error
        self._results.put(ended)

    def _cancel_others(self) -> None:
        """End what still runs, and close the connection of an answer that lost."""
        for thread in self._threads:
            thread.kill()
        while not self._results.empty():
            ended = self._results.get()
            if isinstance(ended, UpstreamExchange):
                ended.release(is_reusable=False)
