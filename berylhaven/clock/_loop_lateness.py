"""How late the hub runs green threads that are due."""

# How often the main loop wakes up to record its lateness.
WAKE_UP_INTERVAL_S = 0.1
# The part of an earlier lateness that is still expected at the next measurement, a
# tenth of a second later: half of it after 0.7 s.
DECAY_RATIO = 0.9


class LoopLateness:
    """The lateness of the hub in the last second or so.

    Parameters
    ----------
    now_s : float
        The time on the hub's clock.
    """

    __slots__ = ("recent_s", "highest_s", "woke_at_s")

    def __init__(self, now_s: float) -> None:
        # The highest recent lateness, in seconds.
        self.recent_s = 0.0
        # The highest lateness since `restart_highest`, in seconds; it does not fade.
        self.highest_s = 0.0
        # When the last wake-up was recorded. The process has run then, and signals that
        # were sent before had been noticed.
        self.woke_at_s = now_s

    def record(self, due_at_s: float, now_s: float) -> float:
        """Record one wake-up and return its lateness.

        Parameters
        ----------
        due_at_s : float
            When a green thread was due, on the hub's clock.
        now_s : float
            The time at which it runs.

        Returns
        -------
        float
            The lateness in seconds.
        """
        lateness_s = now_s - due_at_s
        self.recent_s = max(0.0, lateness_s, DECAY_RATIO * self.recent_s)
        self.highest_s = max(self.highest_s, self.recent_s)
        self.woke_at_s = now_s
        return lateness_s

    def earliest_signal_s(self, now_s: float) -> float:
        """Return the earliest time at which a signal may have been sent.

        A handler runs before a wake-up after its signal is stored, so that a signal
        that is noticed now was sent after the last wake-up.

        Parameters
        ----------
        now_s : float
            The time at which the signal is noticed, on the hub's clock.

        Returns
        -------
        float
            A time on the hub's clock.
        """
        return min(now_s, self.woke_at_s)

    def restart_highest(self, now_s: float) -> None:
        """Count the highest lateness from now on.

        It begins with the recent one, or with that of a wake-up that is overdue now.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        """
        overdue_s = now_s - self.woke_at_s - WAKE_UP_INTERVAL_S
        self.highest_s = max(self.recent_s, overdue_s)
