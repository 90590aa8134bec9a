"""The two ends of a drain: that of the intake of requests, and that of the process.

Load pattern: callers keep an address for seconds after it was located, so requests come
for the whole drain. One that is taken too late is cut when the process ends.
"""

# Requests that are received in this part of the grace are taken however long they may
# work, since most of them end long before the process does.
EARLY_RATIO = 0.45
EARLY_LIMIT_S = 2.7
# The last answers must be due this long before the end of the grace.
LAST_ANSWER_MARGIN_S = 0.6
# The instance stops this long before the end of the grace, so that it exits by itself.
STOP_MARGIN_S = 0.4
# An instance without pending requests may stop after this part of the grace: callers
# keep a locate answer with this instance for a while, and their connections longer.
SERVING_RATIO = 0.6
# The Retry-After value of a refused request: other instances take it at once.
RETRY_AFTER_S = 0.0


class DrainRefusal(Exception):
    """A request could not be answered before the instance ends.

    Parameters
    ----------
    left_s : float
        The time until the last answers are due, in seconds.
    """

    def __init__(self, left_s: float) -> None:
        self.message = (
            f"this instance stops; it answers for {max(0.0, left_s):.1f} s more, which "
            "is less than the request may take; use another instance"
        )
        super().__init__(self.message)
        self.return_s = RETRY_AFTER_S


class Drain:
    """Decides which requests an instance still takes, and when it stops."""

    __slots__ = ("_began_at_s", "_grace_s")

    def __init__(self) -> None:
        self._began_at_s: float | None = None
        self._grace_s = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the instance is draining."""
        return self._began_at_s is not None

    def age_s(self, now_s: float) -> float | None:
        """Return the time since the drain began, in seconds; None before that."""
        return None if self._began_at_s is None else now_s - self._began_at_s

    def begin(self, now_s: float, grace_s: float) -> None:
        """Begin the drain, unless it has begun.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        grace_s : float
            The time until the process is killed, in seconds.
        """
        if self._began_at_s is None:
            self._began_at_s = now_s
            self._grace_s = grace_s

    def check_intake(self, now_s: float, due_at_s: float) -> None:
        """Raise an error if a request may not be taken any more.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        due_at_s : float
            The time at which the request has its final answer at the latest.

        Raises
        ------
        DrainRefusal
            If it may still be at work when the process ends.
        """
        if self._began_at_s is None:
            return
        early_s = min(EARLY_RATIO * self._grace_s, EARLY_LIMIT_S)
        last_answer_at_s = self._began_at_s + self._grace_s - LAST_ANSWER_MARGIN_S
        if now_s - self._began_at_s > early_s and due_at_s > last_answer_at_s:
            raise DrainRefusal(last_answer_at_s - now_s)

    def closes_idle(self, now_s: float) -> bool:
        """Return whether connections without pending requests are closed."""
        return self.has_begun and (
            now_s - self._began_at_s >= SERVING_RATIO * self._grace_s
        )

    def has_ended(self, now_s: float, pending_count: int) -> bool:
        """Return whether the process may end.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        pending_count : int
            The number of requests that were taken and not answered.

        Returns
        -------
        bool
            True once all are answered, and at the end of the grace in any case.
        """
        if not self.has_begun:
            return False
        if now_s - self._began_at_s >= self._grace_s - STOP_MARGIN_S:
            return True
        return self.closes_idle(now_s) and pending_count == 0
