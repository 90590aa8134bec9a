"""Ends the attempts that are still at work when the instance stops."""

import greenlet
from eventlet import hubs


class StopRequested(Exception):
    """The instance stops; raised in each attempt that is at work then."""


class StopWatch:
    """The attempts at work, which end together when the instance stops.

    A closed connection would tell a caller nothing; an attempt that ends by itself has
    an outcome that its caller is told.
    """

    __slots__ = ("_threads", "has_stopped")

    def __init__(self) -> None:
        self._threads: set[greenlet.greenlet] = set()
        # Whether attempts are no longer made.
        self.has_stopped = False

    def begin(self) -> greenlet.greenlet:
        """Raise StopRequested in this green thread when the instance stops.

        Returns
        -------
        greenlet.greenlet
            This green thread; pass it to `end` when the attempt has ended.

        Raises
        ------
        StopRequested
            If the instance has stopped already.
        """
        if self.has_stopped:
            raise StopRequested
        thread = greenlet.getcurrent()
        self._threads.add(thread)
        return thread

    def end(self, thread: greenlet.greenlet) -> None:
        """Stop watching an attempt."""
        self._threads.discard(thread)

    def stop(self) -> None:
        """End all attempts at work, and each that begins from now on."""
        self.has_stopped = True
        for thread in list(self._threads):
            hubs.get_hub().schedule_call_global(0, self._stop_attempt, thread)

    def _stop_attempt(self, thread: greenlet.greenlet) -> None:
        # The attempt may have ended since.
        if thread in self._threads:
            thread.throw(StopRequested())
