"""How late the hub runs green threads that are due."""

# The part of an earlier lateness that is still expected at the next measurement, a
# tenth of a second later: half of it after 0.7 s.
DECAY_RATIO = 0.9


class LoopLateness:
    """The lateness of the hub in the last second or so."""

    __slots__ = ("recent_s",)

    def __init__(self) -> None:
        # The highest recent lateness, in seconds.
        self.recent_s = 0.0

    def record(self, lateness_s: float) -> None:
        """Record the lateness of one wake-up.

        Parameters
        ----------
        lateness_s : float
            The time from when a green thread was due until it ran, in seconds.
        """
        self.recent_s = max(0.0, lateness_s, DECAY_RATIO * self.recent_s)
