"""This instance's part of the retries that all instances may make together."""

from collections import deque
from dataclasses import dataclass

# The part of the allowance that is used: instances count their windows apart, and one
# that was restarted has forgotten what it spent.
SAFETY_RATIO = 0.7
# Instances that were not heard of may spend too.
MIN_INSTANCE_COUNT = 16


@dataclass(slots=True, frozen=True)
class RetryAllowance:
    """What all instances together may send beyond the first of each request."""

    # Retries for each request of the window.
    ratio: float
    # Retries of a window besides.
    extra_count: float
    # The window's length in seconds.
    window_s: float


class SharedRetryBudget:
    """Retries of one service at this instance, within a sliding window.

    Parameters
    ----------
    allowance : RetryAllowance
        What all instances may do together.
    """

    __slots__ = ("allowance", "_requests", "_retries")

    def __init__(self, allowance: RetryAllowance) -> None:
        # What all instances may do together.
        self.allowance = allowance
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a request.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        """
        self._requests.append(now_s)
        self._forget(now_s)

    def remaining_count(self, instance_count: int, now_s: float) -> float:
        """Return how many retries may be made now.

        Parameters
        ----------
        instance_count : int
            The most instances that were known at one time.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        float
            Less than one if none may be made.
        """
        self._forget(now_s)
        allowance = self.allowance
        sharers = max(instance_count, MIN_INSTANCE_COUNT)
        granted = allowance.ratio * len(self._requests)
        granted += allowance.extra_count / sharers
        return SAFETY_RATIO * granted - len(self._retries)

    def try_acquire(self, instance_count: int, now_s: float) -> bool:
        """Spend one retry if one may be made.

        Parameters
        ----------
        instance_count : int
            The most instances that were known at one time.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        bool
            Whether the retry may be made.
        """
        if self.remaining_count(instance_count, now_s) < 1.0:
            return False
        self._retries.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self.allowance.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
