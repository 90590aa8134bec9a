"""A rate limit on this instance's reads of the configuration service.

The limit of each instance is set so that the reads of all instances of the largest
fleet together stay below a rate that grows with the square root of the fleet size.
"""

import math
from random import Random

# Reads per second of a fleet of one instance; a fleet of n has this rate times the
# square root of n: 63 at 40 instances and 316 at 1,000. The service can serve about
# 2,000.
FLEET_READS_PER_S = 10.0
# The mean interval of reads by an instance without a watch is this value times the
# square root of n.
CHECK_INTERVAL_S = 5.0
# The number of reads that may be made without a pause.
BURST_READS = 2.0


class ReadBudget:
    """A token bucket for one instance's share of the fleet's reads.

    Parameters
    ----------
    max_entry_instances : int
        The maximum number of instances that may run at the same time.
    """

    __slots__ = (
        "_rate_per_s",
        "_available_reads",
        "_refilled_at_s",
        "_fleet_size_root",
    )

    def __init__(self, max_entry_instances: int) -> None:
        self._available_reads = BURST_READS
        self._refilled_at_s: float | None = None
        self.resize(max_entry_instances)

    def resize(self, max_entry_instances: int) -> None:
        """Set the maximum fleet size."""
        self._fleet_size_root = math.sqrt(max(1, max_entry_instances))
        self._rate_per_s = FLEET_READS_PER_S / self._fleet_size_root

    def start_delay_s(self, random: Random) -> float:
        """Return the delay of a new instance's first read.

        Parameters
        ----------
        random : Random
            Source of random numbers; spreads the first reads of instances that start
            together.

        Returns
        -------
        float
            Seconds; the delay keeps the first reads of the fleet within the same rate.
        """
        return random.uniform(0.0, self._fleet_size_root / FLEET_READS_PER_S)

    def check_interval_s(self, random: Random) -> float:
        """Return the random time in seconds until the next read without a watch."""
        return CHECK_INTERVAL_S * self._fleet_size_root * random.uniform(0.5, 1.5)

    def try_acquire(self, now_s: float) -> bool:
        """Consume one read, if the budget allows one now.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        bool
            Whether the read is allowed.
        """
        elapsed_s = 0.0 if self._refilled_at_s is None else now_s - self._refilled_at_s
        self._refilled_at_s = now_s
        refill_reads = max(0.0, elapsed_s) * self._rate_per_s
        self._available_reads = min(BURST_READS, self._available_reads + refill_reads)
        if self._available_reads < 1.0:
            return False
        self._available_reads -= 1.0
        return True
