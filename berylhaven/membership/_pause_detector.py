"""Detection of pauses of this process."""

# A step that is late by more than this counts as a pause; a busy process is late by
# less.
PAUSE_THRESHOLD_S = 2.0


class PauseDetector:
    """Detects pauses by comparing the time of each step with the time it was due.

    Parameters
    ----------
    interval_s : float
        The maximum time in seconds between two steps of a process that is not paused.
    """

    __slots__ = ("_interval_s", "_last_at_s")

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._last_at_s: float | None = None

    def step(self, now_s: float) -> float:
        """Record a step.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock, which continues while the process is paused.

        Returns
        -------
        float
            The duration of the pause in seconds; 0 if there was none.
        """
        last_at_s, self._last_at_s = self._last_at_s, now_s
        if last_at_s is None:
            return 0.0
        late_s = now_s - last_at_s - self._interval_s
        return late_s if late_s > PAUSE_THRESHOLD_S else 0.0
