"""Detects, while a request is handled, that the process was paused just before."""

import eventlet

from berylhaven.clock._time import monotonic_s, sleep_s

TICK_INTERVAL_S = 0.05
# A tick later than this after the previous one is evidence of a pause.
PAUSE_THRESHOLD_S = 0.3
# Requests that arrive during a pause are read within this time after its end.
READ_DELAY_AFTER_PAUSE_S = 1.0


class PauseWatch:
    """Estimates how long a request may have been unread because of a process pause.

    Ticks are recorded at short intervals, by a green thread of its own or by a loop of
    the owner. While the process is stopped no tick is recorded, but the clock
    continues. Data that was waiting in a socket is then read before or soon after the
    next tick.

    Parameters
    ----------
    threshold_s : float
        A tick later than this after the previous one is evidence of a pause, in
        seconds.
    """

    __slots__ = (
        "_threshold_s",
        "_ticked_at_s",
        "_resumed_at_s",
        "_paused_s",
        "_tick_thread",
    )

    def __init__(self, threshold_s: float = PAUSE_THRESHOLD_S) -> None:
        self._threshold_s = threshold_s
        # None before the first tick.
        self._ticked_at_s: float | None = None
        self._resumed_at_s = float("-inf")
        self._paused_s = 0.0
        self._tick_thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the green thread that records ticks."""
        self._ticked_at_s = monotonic_s()
        self._tick_thread = eventlet.spawn(self._run_ticks)

    def stop(self) -> None:
        """Stop the green thread."""
        if self._tick_thread is not None:
            self._tick_thread.kill()

    def possible_unread_s(self, now_s: float) -> float:
        """Return how long a request that is read now may have been unread.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        float
            Seconds; zero unless the process was paused just before.
        """
        if self._ticked_at_s is None:
            return 0.0
        since_tick_s = now_s - self._ticked_at_s
        if since_tick_s > self._threshold_s:
            return since_tick_s
        if now_s - self._resumed_at_s <= READ_DELAY_AFTER_PAUSE_S:
            return self._paused_s
        return 0.0

    def tick(self) -> None:
        """Record that the process runs now."""
        now_s = monotonic_s()
        if self._ticked_at_s is not None:
            since_tick_s = now_s - self._ticked_at_s
            if since_tick_s > self._threshold_s:
                self._resumed_at_s = now_s
                self._paused_s = since_tick_s
        self._ticked_at_s = now_s

    def _run_ticks(self) -> None:
        while True:
            sleep_s(TICK_INTERVAL_S)
            self.tick()
