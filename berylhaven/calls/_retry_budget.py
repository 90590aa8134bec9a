"""The budget that keeps retries a small share of calls."""

# Retries that a service may do before its calls have earned any.
RESERVE_RETRIES = 10.0


class RetryBudget:
    """Retries and hedges of one service at one entry instance.

    Each call earns a share of a retry, and each retry spends a whole one. What is
    not spent is kept up to the reserve only, so that calm hours do not pay for a
    burst of retries in an outage.
    """

    __slots__ = ("_retries",)

    def __init__(self) -> None:
        self._retries = RESERVE_RETRIES

    def record_call(self, ratio: float) -> None:
        """Earn a share of a retry.

        Parameters
        ----------
        ratio : float
            The catalogue's retries as a share of calls.
        """
        self._retries = min(RESERVE_RETRIES, self._retries + ratio)

    def try_acquire(self, ratio: float) -> bool:
        """Spend one retry.

        Parameters
        ----------
        ratio : float
            The catalogue's retries as a share of calls; 0 allows none.

        Returns
        -------
        bool
            Whether the retry may be done.
        """
        if ratio <= 0 or self._retries < 1.0:
            return False
        self._retries -= 1.0
        return True
