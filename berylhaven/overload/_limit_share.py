"""When one of many instances may send to a server that names a limit for all.

Load pattern: a server in need names the requests a second that it takes from all
instances together. An instance learns the limit from its own answers and knows how
many instances there are, but not who sends when. If all had their share ready at once,
a burst would bring as many requests as there are instances.
"""

import math
import re
from dataclasses import dataclass

LIMIT_VALUE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# The part of a limit that is used; the rest covers that requests arrive by chance.
USED_RATIO = 0.7
# A lower limit counts as this one, so that its end is noticed.
MIN_LIMIT_PER_S = 0.1
# A request that is not sent within this time after its turn is not made up for.
TURN_DURATION_S = 2.0


def parse_limit_per_s(text: str) -> float | None:
    """Parse the limit that a server names.

    Parameters
    ----------
    text : str
        A decimal number.

    Returns
    -------
    float or None
        Requests a second; None if the text is no such number.
    """
    return float(text) if LIMIT_VALUE.fullmatch(text) else None


def turn_interval_s(limit_per_s: float, sharer_count: int) -> float:
    """Return the time between two turns of one instance.

    Parameters
    ----------
    limit_per_s : float
        The requests a second that the server takes from all instances.
    sharer_count : int
        The number of instances, at least one.

    Returns
    -------
    float
        The time in seconds.
    """
    return sharer_count / (USED_RATIO * max(limit_per_s, MIN_LIMIT_PER_S))


@dataclass(slots=True)
class LimitShare:
    """The turns of one instance at a server with a limit."""

    # The requests a second that the server takes from all instances.
    limit_per_s: float
    # The time between two turns, in seconds.
    interval_s: float
    # When the current or next turn begins, on the hub's clock.
    turn_at_s: float
    # The least time between two requests, in seconds.
    gap_s: float = 0.0
    # When the last request was sent, on the hub's clock; needed only with such a gap.
    sent_at_s: float = -math.inf
    # A turn lapses after this time, in seconds.
    turn_duration_s: float = TURN_DURATION_S

    def wait_s(self, now_s: float) -> float:
        """Return the time until a request may be sent, in seconds.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        float
            Zero during a turn. Turns that were not used lapse.
        """
        missed_s = now_s - self.turn_duration_s - self.turn_at_s
        if missed_s > 0:
            self.turn_at_s += (missed_s // self.interval_s + 1) * self.interval_s
        return max(0.0, self.turn_at_s - now_s, self.sent_at_s + self.gap_s - now_s)

    def record_send(self, now_s: float = -math.inf) -> None:
        """Record that a request is sent in the current turn.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock; needed only with a least time between requests.
        """
        self.turn_at_s += self.interval_s
        self.sent_at_s = now_s

    def update(self, limit_per_s: float, interval_s: float, now_s: float) -> None:
        """Apply another limit or number of instances to the time until the next turn.

        Parameters
        ----------
        limit_per_s : float
            The requests a second that the server takes from all instances.
        interval_s : float
            The time between two turns, in seconds.
        now_s : float
            The time on the hub's clock.
        """
        self.wait_s(now_s)
        wait_s = self.turn_at_s - now_s
        if wait_s > 0:
            self.turn_at_s = now_s + wait_s * interval_s / self.interval_s
        self.limit_per_s = limit_per_s
        self.interval_s = interval_s
