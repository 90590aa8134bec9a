"""This instance's share of the retries that all instances together may make."""

import math
from collections import deque
from dataclasses import dataclass

# The share of the allowance that is used: instances count their windows separately, and
# a restarted instance has lost its count of spent retries.
SAFETY_RATIO = 0.7
# The minimum number of instances assumed, because instances that this one has not
# discovered spend retries too.
MIN_INSTANCE_COUNT = 16
# The share of the allowance that hedges within a limit of their own leave to retries.
RETRY_RESERVE_RATIO = 0.15
# The least reserve, in retries, for a window after a failure that needed a retry: most
# instances have a grant of 1.6 to 3 retries, of which the share above is none.
RESERVE_AFTER_FAILURE = 1.0


@dataclass(slots=True, frozen=True)
class RetryAllowance:
    """The retries that all instances together may send in a window."""

    # Retries per request in the window.
    ratio: float
    # Additional retries per window.
    extra_count: float
    # The length of the window, in seconds.
    window_s: float


class SharedRetryBudget:
    """The retry budget of one service at this instance, over a sliding window.

    Parameters
    ----------
    allowance : RetryAllowance
        The retries that all instances together may make.
    """

    __slots__ = ("allowance", "_requests", "_retries", "_retry_wanted_at_s")

    def __init__(self, allowance: RetryAllowance) -> None:
        # The retries that all instances together may make.
        self.allowance = allowance
        self._requests: deque[float] = deque()
        # Hedges count as retries.
        self._retries: deque[float] = deque()
        # When a failed attempt last needed a retry, granted or not.
        self._retry_wanted_at_s = -math.inf

    def record_request(self, now_s: float) -> None:
        """Record a request.

        Parameters
        ----------
        now_s : float
            The current time on the hub's clock, in seconds.
        """
        self._requests.append(now_s)
        self._drop_expired(now_s)

    def remaining_count(self, instance_count: int, now_s: float) -> float:
        """Return the number of retries that are allowed now.

        Parameters
        ----------
        instance_count : int
            The highest number of instances seen at one time.
        now_s : float
            The current time on the hub's clock, in seconds.

        Returns
        -------
        float
            The number of retries, less than one if none is allowed.
        """
        self._drop_expired(now_s)
        return self._granted_count(instance_count) - len(self._retries)

    def _granted_count(self, instance_count: int) -> float:
        allowance = self.allowance
        sharing_count = max(instance_count, MIN_INSTANCE_COUNT)
        granted = allowance.ratio * len(self._requests)
        granted += allowance.extra_count / sharing_count
        return SAFETY_RATIO * granted

    def may_hedge(self, instance_count: int, now_s: float) -> bool:
        """Return whether a hedge would leave the reserve of the retries.

        Parameters
        ----------
        instance_count : int
            The highest number of instances seen at one time.
        now_s : float
            The current time on the hub's clock, in seconds.

        Returns
        -------
        bool
            Whether a hedge may be acquired.
        """
        remaining = self.remaining_count(instance_count, now_s)
        reserve = RETRY_RESERVE_RATIO * self._granted_count(instance_count)
        if now_s - self._retry_wanted_at_s <= self.allowance.window_s:
            reserve = max(reserve, RESERVE_AFTER_FAILURE)
        return remaining - 1.0 >= reserve

    def try_acquire(
        self, instance_count: int, now_s: float, is_hedge: bool = False
    ) -> bool:
        """Spend one retry if the budget allows it.

        Parameters
        ----------
        instance_count : int
            The highest number of instances seen at one time.
        now_s : float
            The current time on the hub's clock, in seconds.
        is_hedge : bool
            Whether it is spent on a hedge within a limit of its own; other retries
            have precedence for a window.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        if not is_hedge:
            self._retry_wanted_at_s = now_s
        if self.remaining_count(instance_count, now_s) < 1.0:
            return False
        self._retries.append(now_s)
        return True

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - self.allowance.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
