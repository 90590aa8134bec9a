"""The budget that limits retries to a small share of calls."""

# Initial and maximum number of retries in a service's budget.
RESERVE_RETRIES = 10.0


class RetryBudget:
    """The budget for retries, or for hedges, of one service at one entry instance.

    Each call adds a fraction of a retry, and each retry consumes one. The unused
    budget is capped at the reserve, so that hours without failures do not allow a
    burst of retries in an outage.
    """

    __slots__ = ("_retries",)

    def __init__(self) -> None:
        self._retries = RESERVE_RETRIES

    def record_call(self, ratio: float) -> None:
        """Add the fraction of a retry that one call allows.

        Parameters
        ----------
        ratio : float
            The catalogue's ratio of retries to calls.
        """
        self._retries = min(RESERVE_RETRIES, self._retries + ratio)

    def try_acquire(self, ratio: float) -> bool:
        """Consume one retry, if the budget allows it.

        Parameters
        ----------
        ratio : float
            The catalogue's ratio of retries to calls; 0 allows none.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        if ratio <= 0 or self._retries < 1.0:
            return False
        self._retries -= 1.0
        return True
