"""Bounds on this instance's reads of the configuration service.

Each instance may read as often as keeps the reads of the largest fleet, all together,
below a rate that grows with the square root of the fleet.
"""

import math
from random import Random

# Reads a second of a fleet of one; a fleet of n has this times the root of n. At 40
# that is 63, at 1,000 it is 316, where the service bears about 2,000.
FLEET_READS_PER_S = 10.0
# The slow check of an instance that holds no watch; this times the root of n.
CHECK_INTERVAL_S = 5.0
# Reads that may follow one another at once.
BURST_READS = 2.0


class ReadBudget:
    """Counts reads of one instance against its part of the fleet's.

    Parameters
    ----------
    max_entry_instances : int
        The largest number of instances that may run at one time.
    """

    __slots__ = ("_rate_per_s", "_saved_reads", "_saved_at_s", "_root")

    def __init__(self, max_entry_instances: int) -> None:
        self._saved_reads = BURST_READS
        self._saved_at_s: float | None = None
        self.resize(max_entry_instances)

    def resize(self, max_entry_instances: int) -> None:
        """Adopt another size of the fleet."""
        self._root = math.sqrt(max(1, max_entry_instances))
        self._rate_per_s = FLEET_READS_PER_S / self._root

    def start_delay_s(self, random: Random) -> float:
        """Return how long a fresh instance waits before its first read.

        Parameters
        ----------
        random : Random
            Spreads the first reads of instances that start together.

        Returns
        -------
        float
            Seconds; over the fleet this keeps first reads within the same rate.
        """
        return random.uniform(0.0, self._root / FLEET_READS_PER_S)

    def check_interval_s(self, random: Random) -> float:
        """Return the time to the next slow check, in seconds."""
        return CHECK_INTERVAL_S * self._root * random.uniform(0.5, 1.5)

    def try_acquire(self, now_s: float) -> bool:
        """Count a read, if one may be made now.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        bool
            Whether the read may be made.
        """
        elapsed_s = 0.0 if self._saved_at_s is None else now_s - self._saved_at_s
        self._saved_at_s = now_s
        earned = max(0.0, elapsed_s) * self._rate_per_s
        self._saved_reads = min(BURST_READS, self._saved_reads + earned)
        if self._saved_reads < 1.0:
            return False
        self._saved_reads -= 1.0
        return True
