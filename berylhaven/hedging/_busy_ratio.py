"""The share of a service's slots in use, by load reports of different ages.

Load pattern: an instance probes two of many servers for each request, so it has a few
fresh reports and many old ones.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

# Time constant: a report of this age has the weight 1/e.
SAMPLE_DECAY_S = 3.0


@dataclass(slots=True, frozen=True)
class LoadSample:
    """What an instance knows of the load of one server."""

    # The requests at the server.
    occupied_count: int
    # The number of requests that it runs concurrently.
    slot_count: int
    # The age of the report, in seconds.
    age_s: float


def busy_ratio(samples: Iterable[LoadSample]) -> float | None:
    """Return the share of the slots in use.

    Parameters
    ----------
    samples : iterable of LoadSample
        The load of the servers with a report.

    Returns
    -------
    float or None
        The mean, weighted by the reports' ages; None without a report.
    """
    occupied = slots = 0.0
    for sample in samples:
        weight = math.exp(-sample.age_s / SAMPLE_DECAY_S)
        # Queued requests count: the servers lack room all the more.
        occupied += weight * sample.occupied_count
        slots += weight * sample.slot_count
    return occupied / slots if slots > 0 else None
