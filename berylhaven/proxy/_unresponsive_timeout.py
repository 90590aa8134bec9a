"""How late an answer may be before its connection is held to be silent."""

# An answer later than so many times what 99 of 100 calls take tells of the
# connection rather than of the server's load.
P99_FACTOR = 3.0
# Pauses of processes and networks below this tell nothing.
MIN_TIMEOUT_S = 0.05
# A safe call needs this part of its time for another attempt.
MAX_REMAINING_RATIO = 0.5


def unresponsive_timeout_s(p99_s: float, remaining_s: float) -> float:
    """Return how long to wait for an answer before its connection is condemned.

    Parameters
    ----------
    p99_s : float
        In what time 99 of 100 calls are answered, in seconds.
    remaining_s : float
        Seconds until the call's deadline.

    Returns
    -------
    float
        Seconds; never below `p99_s`, so that at most one good answer in a hundred
        is given up.
    """
    timeout_s = max(MIN_TIMEOUT_S, P99_FACTOR * p99_s)
    return max(p99_s, min(timeout_s, MAX_REMAINING_RATIO * remaining_s))
