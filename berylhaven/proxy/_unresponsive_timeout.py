"""Timeout after which a connection without an answer counts as unresponsive."""

# An answer that takes longer than this multiple of the 99th percentile points to the
# connection rather than to the server's load.
P99_FACTOR = 3.0
# Shorter pauses of processes and networks are normal.
MIN_TIMEOUT_S = 0.05
# At most this part of the remaining time is waited; a call that is safe to send
# again needs the rest for another attempt.
MAX_REMAINING_RATIO = 0.5


def unresponsive_timeout_s(p99_s: float, remaining_s: float) -> float:
    """Return how long to wait for an answer on an open connection.

    Parameters
    ----------
    p99_s : float
        99th percentile of the answer time, in seconds.
    remaining_s : float
        Seconds until the call's deadline.

    Returns
    -------
    float
        The timeout in seconds; never below `p99_s`, so that at most one answer in a
        hundred from a working connection is given up.
    """
    timeout_s = max(MIN_TIMEOUT_S, P99_FACTOR * p99_s)
    return max(p99_s, min(timeout_s, MAX_REMAINING_RATIO * remaining_s))
