"""When a backend server that refused a connection is tried again."""

import random

BASE_S = 0.05
CAP_S = 2.0
# Beyond this the cap holds anyway; it keeps the power small.
EXPONENT_LIMIT = 10
# A server that was not tried for so long after its last failure starts anew.
FORGET_AFTER_S = 60.0


class ConnectBackoff:
    """Full jitter backoff of one backend server's openings.

    Parameters
    ----------
    source : random.Random
        The source of random numbers.
    """

    __slots__ = ("_random", "_failure_count", "_closed_until_s")

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._failure_count = 0
        self._closed_until_s = float("-inf")

    def may_connect(self, now_s: float) -> bool:
        """Tell whether a connection may be opened now."""
        return now_s >= self._closed_until_s

    def is_expired(self, now_s: float) -> bool:
        """Tell whether nothing is lost if this record is dropped."""
        return now_s >= self._closed_until_s + FORGET_AFTER_S

    def record_failure(self, now_s: float) -> None:
        """Take in that an opening failed.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        """
        self._failure_count += 1
        exponent = min(self._failure_count, EXPONENT_LIMIT)
        longest_s = min(CAP_S, BASE_S * 2**exponent)
        self._closed_until_s = now_s + self._random.uniform(0, longest_s)

    def record_success(self) -> None:
        """Take in that an opening succeeded."""
        self._failure_count = 0
        self._closed_until_s = float("-inf")
