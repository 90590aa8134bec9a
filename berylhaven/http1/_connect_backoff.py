"""Backoff between connection attempts to a backend server."""

import random

BACKOFF_BASE_S = 0.05
BACKOFF_LIMIT_S = 2.0
# Larger exponents only reach BACKOFF_LIMIT_S; the bound avoids huge powers.
EXPONENT_LIMIT = 10
# A record is dropped this long after its backoff ended, so the next failure starts
# the backoff anew.
RECORD_RETENTION_S = 60.0


class ConnectBackoff:
    """Exponential backoff with full jitter for connections to one backend server.

    Parameters
    ----------
    rng : random.Random
        The random number generator of the jitter.
    """

    __slots__ = ("_random", "_failure_count", "_backoff_until_s")

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._failure_count = 0
        self._backoff_until_s = float("-inf")

    def may_connect(self, now_s: float) -> bool:
        """Return whether a connection may be opened now."""
        return now_s >= self._backoff_until_s

    def is_expired(self, now_s: float) -> bool:
        """Return whether this record may be dropped."""
        return now_s >= self._backoff_until_s + RECORD_RETENTION_S

    def record_failure(self, now_s: float) -> None:
        """Record a failed connection attempt and extend the backoff.

        Parameters
        ----------
        now_s : float
            The current time on the hub's clock, in seconds.
        """
        self._failure_count += 1
        exponent = min(self._failure_count, EXPONENT_LIMIT)
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2**exponent)
        self._backoff_until_s = now_s + self._random.uniform(0, limit_s)

    def record_success(self) -> None:
        """Record a successful connection attempt and end the backoff."""
        self._failure_count = 0
        self._backoff_until_s = float("-inf")
