"""When a refused caller may come back.

Load pattern: many requests refused in the same moment. Callers that return together
meet the same full servers, so their times are spread over the time in which slots
become free.
"""

# Bounds of the time, in seconds.
MIN_RETURN_S = 0.02
MAX_RETURN_S = 1.0
# The bounds of the random factor.
SPREAD = (0.5, 1.5)


def return_after_s(finish_s: float, concurrency: int, uniform: float) -> float:
    """Return the time after which a refused caller may come back, in seconds.

    Parameters
    ----------
    finish_s : float
        The expected time to an answer of the best server, in seconds.
    concurrency : int
        The number of requests that the server runs at once; one of them ends in about
        this part of that time.
    uniform : float
        A random number from 0 to 1.

    Returns
    -------
    float
        From MIN_RETURN_S to MAX_RETURN_S.
    """
    lowest, highest = SPREAD
    slot_free_s = finish_s / max(1, concurrency)
    spread_s = slot_free_s * (lowest + uniform * (highest - lowest))
    return min(MAX_RETURN_S, max(MIN_RETURN_S, spread_s))
