"""How many requests a server runs at once with the highest throughput.

Load pattern: a burst on servers that slow down when nearly full. Taking the last slots
makes all running requests slower, so that the service answers fewer requests a second
than with these slots left free, and all of them late.
"""

# A server with a larger share of its slots taken is crowded.
CROWDED_SHARE = 0.8
# The assumed slowdown of a crowded server before the first answers.
INITIAL_SLOWDOWN_RATIO = 1.5
MAX_SLOWDOWN_RATIO = 3.0
# The weight of one answer in the moving averages.
SAMPLE_WEIGHT = 0.04
# The bound of one sample, so that a delayed answer does not dominate.
MAX_SAMPLE = 5.0


def is_crowded(request_count: int, slot_count: int) -> bool:
    """Return whether a server with these requests is nearly full.

    Parameters
    ----------
    request_count : int
        The requests at the server, running and queued.
    slot_count : int
        The number of requests that it runs concurrently.

    Returns
    -------
    bool
        Whether it may run them more slowly.
    """
    return request_count > CROWDED_SHARE * slot_count


def best_concurrency(slot_count: int, slowdown_ratio: float) -> int:
    """Return the number of concurrent requests with the highest throughput.

    Parameters
    ----------
    slot_count : int
        The number of requests that the server runs concurrently.
    slowdown_ratio : float
        How many times longer requests take on a crowded server.

    Returns
    -------
    int
        From 1 to the number of slots.
    """
    uncrowded = int(CROWDED_SHARE * slot_count)
    return uncrowded if uncrowded > slot_count / slowdown_ratio else slot_count


class Crowding:
    """How much the crowded servers of a service slow down, learned from answers."""

    __slots__ = ("_uncrowded_ratio", "_crowded_ratio")

    def __init__(self) -> None:
        # Moving averages of the time of answers, relative to the estimate for an
        # uncrowded server.
        self._uncrowded_ratio = 1.0
        self._crowded_ratio = INITIAL_SLOWDOWN_RATIO

    @property
    def slowdown_ratio(self) -> float:
        """How many times longer requests take on a crowded server."""
        ratio = self._crowded_ratio / self._uncrowded_ratio
        return min(MAX_SLOWDOWN_RATIO, max(1.0, ratio))

    def record(
        self,
        sent_count: int,
        answered_count: int,
        slot_count: int,
        duration_ratio: float,
    ) -> None:
        """Add an answer of a server that was crowded, or uncrowded, all the while.

        What waited in the server's queue says nothing of its speed.

        Parameters
        ----------
        sent_count : int
            The requests at the server when this one was sent, this one included.
        answered_count : int
            The same when it was answered.
        slot_count : int
            The number of requests that the server runs concurrently.
        duration_ratio : float
            The time of the answer, relative to the estimate for an uncrowded server.
        """
        was_crowded = is_crowded(sent_count, slot_count)
        has_waited = max(sent_count, answered_count) > slot_count
        if has_waited or was_crowded != is_crowded(answered_count, slot_count):
            return
        sample = min(duration_ratio, MAX_SAMPLE)
        if was_crowded:
            self._crowded_ratio += SAMPLE_WEIGHT * (sample - self._crowded_ratio)
        else:
            self._uncrowded_ratio += SAMPLE_WEIGHT * (sample - self._uncrowded_ratio)
