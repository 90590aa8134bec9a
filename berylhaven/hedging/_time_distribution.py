"""The distribution of a route's times at its servers, relative to their estimates.

Load pattern: 3 in 100 requests have 7 times the work, and servers are 5 times slower in
spells of 150 ms. An average does not tell how late an answer has to be before it is one
of these. An instance gets a route's requests at 0.5 a second, from servers of different
slowness, so times are divided by the estimate, which accounts for what the server
reported; the ratios of all servers are then of one distribution.
"""

import math

# The ratios that are distinguished; the first and last bucket are open.
MIN_RATIO = 0.1
MAX_RATIO = 20.0
BUCKETS_PER_OCTAVE = 6
BUCKET_COUNT = int(math.log2(MAX_RATIO / MIN_RATIO) * BUCKETS_PER_OCTAVE) + 1
# Time constant: a time of this age has the weight 1/e.
DECAY_S = 180.0
# Below this weight a quantile is not known; one with few times beyond it neither.
MIN_WEIGHT = 20.0
MIN_WEIGHT_BEYOND = 1.5


class TimeDistribution:
    """A histogram of bounded size, in which old times lose weight."""

    __slots__ = ("_weights", "_decayed_at_s")

    def __init__(self) -> None:
        self._weights = [0.0] * BUCKET_COUNT
        self._decayed_at_s = 0.0

    def record(self, time_ratio: float, now_s: float) -> None:
        """Add the time of an attempt.

        Parameters
        ----------
        time_ratio : float
            The time to the answer, relative to the estimate. For an attempt that was
            cancelled it is the time so far.
        now_s : float
            The current time on the hub's clock, in seconds.
        """
        self._decay(now_s)
        self._weights[_bucket(time_ratio)] += 1.0

    def quantile(self, share: float, now_s: float) -> float | None:
        """Return the ratio that a share of the times does not exceed.

        Parameters
        ----------
        share : float
            The share, from 0 to 1.
        now_s : float
            The current time on the hub's clock, in seconds.

        Returns
        -------
        float or None
            The upper bound of a bucket; None if too few times are known.
        """
        self._decay(now_s)
        total = sum(self._weights)
        if total < max(MIN_WEIGHT, MIN_WEIGHT_BEYOND / (1 - share)):
            return None
        below = 0.0
        for index, weight in enumerate(self._weights):
            below += weight
            if below >= share * total:
                bound = MIN_RATIO * 2 ** ((index + 1) / BUCKETS_PER_OCTAVE)
                return min(MAX_RATIO, bound)
        return MAX_RATIO

    def _decay(self, now_s: float) -> None:
        factor = math.exp(min(0.0, (self._decayed_at_s - now_s) / DECAY_S))
        self._decayed_at_s = now_s
        self._weights = [weight * factor for weight in self._weights]


def _bucket(time_ratio: float) -> int:
    if time_ratio <= MIN_RATIO:
        return 0
    octaves = math.log2(time_ratio / MIN_RATIO)
    return min(BUCKET_COUNT - 1, int(octaves * BUCKETS_PER_OCTAVE))
