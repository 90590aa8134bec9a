"""Noticing, within a request, that the process has just been stopped for a while."""

import eventlet

from berylhaven.clock._time import monotonic_s, sleep_s

TICK_S = 0.05
# Ticks that come later than this after the last one tell of a pause.
PAUSE_LIMIT_S = 0.3
# What came in during a pause is read within this time after the end of it.
READ_AFTER_WAKE_S = 1.0


class PauseWatch:
    """Tells how long a request may have lain unread, the process being stopped.

    A green thread ticks; while the process is stopped the ticks stay out, and the
    clock runs on. What lay in a socket is then read before or soon after the tick.
    """

    __slots__ = ("_ticked_at_s", "_woke_at_s", "_paused_s", "_ticker")

    def __init__(self) -> None:
        self._ticked_at_s = monotonic_s()
        self._woke_at_s = float("-inf")
        self._paused_s = 0.0
        self._ticker: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to tick."""
        self._ticked_at_s = monotonic_s()
        self._ticker = eventlet.spawn(self._tick)

    def stop(self) -> None:
        """End ticking."""
        if self._ticker is not None:
            self._ticker.kill()

    def possible_unread_s(self, now_s: float) -> float:
        """Return how long a request that is read now may have lain unread.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        float
            Seconds; zero unless the process was stopped just before.
        """
        if self._ticker is None:
            return 0.0
        since_tick_s = now_s - self._ticked_at_s
        if since_tick_s > PAUSE_LIMIT_S:
            return since_tick_s
        if now_s - self._woke_at_s <= READ_AFTER_WAKE_S:
            return self._paused_s
        return 0.0

    def _tick(self) -> None:
        while True:
            sleep_s(TICK_S)
            now_s = monotonic_s()
            since_tick_s = now_s - self._ticked_at_s
            if since_tick_s > PAUSE_LIMIT_S:
                self._woke_at_s = now_s
                self._paused_s = since_tick_s
            self._ticked_at_s = now_s
