"""Noticing that this process was paused."""

# A step that comes later than planned by as much was not merely busy.
PAUSE_LIMIT_S = 2.0


class PauseDetector:
    """Compares when a step comes with when it was due.

    Parameters
    ----------
    interval_s : float
        The longest time that a sound process leaves between two steps.
    """

    __slots__ = ("_interval_s", "_last_at_s")

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._last_at_s: float | None = None

    def step(self, now_s: float) -> float:
        """Note a step.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock, which runs on while the process is stopped.

        Returns
        -------
        float
            How long the process was paused in seconds; 0 if it was not.
        """
        last_at_s, self._last_at_s = self._last_at_s, now_s
        if last_at_s is None:
            return 0.0
        late_s = now_s - last_at_s - self._interval_s
        return late_s if late_s > PAUSE_LIMIT_S else 0.0
