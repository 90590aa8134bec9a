"""What an instance does when in a drain, from the signal to the end of its grace.

Load pattern: callers keep an address for seconds after it was located, so requests come
for the whole drain. One that is taken too late is cut when the process ends, and so is
an answer that waits for a longer one on its connection. On a starved machine each step
is late, so that all of this happens to requests that were taken in time.
"""

from berylhaven.clock import LoopLateness

# Requests that are received in this part of the grace are taken however long they may
# work, since most of them end long before the process does.
EARLY_RATIO = 0.45
EARLY_LIMIT_S = 2.7
# A request that was taken so is not sent to a server after this part of the grace; an
# instance without pending requests may stop then: callers keep a locate answer with
# this instance for a while, and their connections longer.
SERVING_RATIO = 0.6
# The last answers must be due this long before the end of the grace.
LAST_ANSWER_MARGIN_S = 0.6
# Reading an answer and writing it takes a wake-up each.
LATE_WAKE_UPS = 2
# An instance that is later than this takes only what is due in time.
STARVED_LATENESS_S = 0.2
# Requests at work are given up in this last part of the grace at the earliest, counted
# from the notice of the signal, unless the process must end sooner.
GIVING_UP_RATIO = 1 / 6
# The instance stops this long before the end of the grace, so that it exits by itself;
# sooner by its lateness, up to this part of the grace.
STOP_MARGIN_S = 0.3
STOP_RATIO = 1 / 12
# The time to write the answers of the requests that are given up last.
WRITING_S = 0.2
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
    """Decides which requests an instance still takes, and when it stops.

    Parameters
    ----------
    lateness : LoopLateness
        How late the hub runs.
    """

    __slots__ = ("_lateness", "_began_at_s", "_grace_s", "unnoticed_s")

    def __init__(self, lateness: LoopLateness) -> None:
        self._lateness = lateness
        self._began_at_s: float | None = None
        self._grace_s = 0.0
        # For how long the signal may have been unnoticed, in seconds: the process may
        # not have run since its last wake-up.
        self.unnoticed_s = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the instance is draining."""
        return self._began_at_s is not None

    def age_s(self, now_s: float) -> float | None:
        """Return the time since the drain began, in seconds; None before that.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        float or None
            Seconds since the earliest time of the signal.
        """
        return None if self._began_at_s is None else now_s - self._began_at_s

    def begin(self, now_s: float, grace_s: float) -> None:
        """Begin the drain, unless it has begun.

        The grace is counted from the earliest time at which the signal may have been
        sent.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock, at which the signal is noticed.
        grace_s : float
            The time until the process is killed, in seconds.
        """
        if self._began_at_s is None:
            self._began_at_s = self._lateness.earliest_signal_s(now_s)
            self._grace_s = grace_s
            self.unnoticed_s = now_s - self._began_at_s
            # What was late once in a drain may be late again at its end.
            self._lateness.restart_highest(now_s)

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
        early_s = min(EARLY_RATIO * self._grace_s, EARLY_LIMIT_S)
        if self._lateness.recent_s > STARVED_LATENESS_S:
            early_s = 0.0
        self._check_due(now_s, due_at_s, early_s)

    def check_sending(self, now_s: float, due_at_s: float) -> None:
        """Raise an error if a request that was taken is not sent to a server any more.

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
        self._check_due(now_s, due_at_s, SERVING_RATIO * self._grace_s)

    def _check_due(self, now_s: float, due_at_s: float, early_s: float) -> None:
        if self._began_at_s is None or now_s - self._began_at_s < early_s:
            return
        last_answer_at_s = self._end_at_s - self._last_answer_margin_s
        if due_at_s > last_answer_at_s:
            raise DrainRefusal(last_answer_at_s - now_s)

    @property
    def _end_at_s(self) -> float:
        return self._began_at_s + self._grace_s

    @property
    def _stop_margin_s(self) -> float:
        late_margin_s = STOP_MARGIN_S + self._lateness.highest_s
        return max(STOP_MARGIN_S, min(late_margin_s, STOP_RATIO * self._grace_s))

    @property
    def _last_answer_margin_s(self) -> float:
        return LAST_ANSWER_MARGIN_S + LATE_WAKE_UPS * self._lateness.highest_s

    def closes_idle(self, now_s: float) -> bool:
        """Return whether connections without pending requests are closed.

        Others learn of the stop from its notice on, so the time for that counts from
        there, up to the last part of the grace.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        bool
            False before the drain and in its first part.
        """
        if not self.has_begun:
            return False
        serving_s = self.unnoticed_s + SERVING_RATIO * self._grace_s
        last_part_s = GIVING_UP_RATIO * self._grace_s
        return self.age_s(now_s) >= min(serving_s, self._grace_s - last_part_s)

    def gives_up(self, now_s: float, due_at_s: float) -> bool:
        """Return whether a pending request gets an answer of this instance now.

        A request that may outlast the instance is given up a little earlier than the
        others, for the answers behind it on its connection.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        due_at_s : float
            The time at which the request has its final answer at the latest.

        Returns
        -------
        bool
            False before the last part of the grace.
        """
        if not self.has_begun:
            return False
        left_s = self._end_at_s - now_s
        margin_s = self._stop_margin_s + WRITING_S
        if due_at_s <= self._end_at_s - margin_s:
            return left_s <= margin_s
        # The signal may also have been sent just before it was noticed.
        last_part_s = GIVING_UP_RATIO * self._grace_s - self.unnoticed_s
        early_margin_s = min(self._last_answer_margin_s, last_part_s)
        return left_s <= max(early_margin_s, margin_s)

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
        if now_s >= self._end_at_s - self._stop_margin_s:
            return True
        return self.closes_idle(now_s) and pending_count == 0
