"""Two attempts of one call at once, of which the first answer wins."""

from collections.abc import Callable

import eventlet
import eventlet.queue

from berylhaven.calls import AttemptFailed
from berylhaven.proxy._upstream_caller import UpstreamExchange

Attempt = Callable[[], UpstreamExchange]


class HedgedAttempts:
    """Runs attempts in green threads and ends all but the first that is answered."""

    __slots__ = ("_ended", "_threads")

    def __init__(self) -> None:
        self._ended = eventlet.queue.LightQueue()
        self._threads: list[eventlet.greenthread.GreenThread] = []

    def run(
        self,
        first: Attempt,
        patience_s: float,
        next_attempt: Callable[[], Attempt | None],
    ) -> UpstreamExchange:
        """Return the first answer.

        Parameters
        ----------
        first : callable
            Makes the first attempt.
        patience_s : float
            How long to wait for it alone.
        next_attempt : callable
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
                ended = self._ended.get(timeout=patience_s)
            except eventlet.queue.Empty:
                second = next_attempt()
                if second is not None:
                    self._start(second)
                ended = self._ended.get()
            for _ in self._threads[1:]:
                if isinstance(ended, AttemptFailed):
                    ended = self._ended.get()
        finally:
            self._end_losers()
        if isinstance(ended, BaseException):
            raise ended
        return ended

    def _start(self, attempt: Attempt) -> None:
        self._threads.append(eventlet.spawn(self._make, attempt))

    def _make(self, attempt: Attempt) -> None:
        try:
            ended = attempt()
        except Exception as error:
            ended = error
        self._ended.put(ended)

    def _end_losers(self) -> None:
        """End what still runs, and close the connection of an answer that lost."""
        for thread in self._threads:
            thread.kill()
        while not self._ended.empty():
            ended = self._ended.get()
            if isinstance(ended, UpstreamExchange):
                ended.release(is_reusable=False)
