"""Whether a request is sent to the best server now, waits for a slot, or is refused.

Load pattern: more requests than the servers of a service can run. Without a limit they
queue at the servers until all are late; a short wait bridges a moment without a free
slot, and what remains is refused while the caller still has time to return.
"""

import enum
from dataclasses import dataclass

# The longest wait for a slot, relative to the latency objective.
WAIT_LIMIT_RATIO = 0.12
# The number of looks at the servers within that time.
WAIT_STEP_COUNT = 2
# The bounds of the random factor of a step, so that waiting requests don't look at the
# servers together.
WAIT_JITTER = (0.6, 1.4)


class StartDecision(enum.Enum):
    """What happens to a request."""

    # It is sent to the best server.
    SEND = "send"
    # The servers are looked at again shortly.
    WAIT = "wait"
    # It is refused; it has not run.
    REFUSE = "refuse"


@dataclass(slots=True, frozen=True)
class StartOutlook:
    """What is known when a request could be sent to the best server."""

    # The requests at the server, this one included.
    request_count: int
    # The number of concurrent requests with the highest throughput of the server.
    best_concurrency: int
    # The number of requests that the server runs concurrently.
    slot_count: int
    # The expected time to the answer, in seconds.
    finish_s: float
    # The time until the latency objective passes, in seconds.
    objective_remaining_s: float
    # The time until the caller's deadline, in seconds.
    deadline_remaining_s: float
    # For how long the request has waited, in seconds.
    waited_s: float
    # For how long it may wait in all, in seconds.
    wait_limit_s: float
    # Whether it is sent beyond the best concurrency to learn how the server reacts.
    is_trial: bool = False

    @property
    def has_room(self) -> bool:
        """Whether the server answers no fewer requests a second with this one.

        A server that does not slow down when all its slots are taken may also queue a
        request, if the answer still meets the objective.
        """
        if self.request_count <= self.best_concurrency:
            return True
        slows_down = self.best_concurrency < self.slot_count
        return not slows_down and self.finish_s <= self.objective_remaining_s


def wait_limit_s(objective_s: float) -> float:
    """Return how long a request may wait for a slot, in seconds.

    Parameters
    ----------
    objective_s : float
        The latency objective, in seconds.

    Returns
    -------
    float
        A small part of the objective, so that the answer can still meet it.
    """
    return WAIT_LIMIT_RATIO * objective_s


def wait_step_s(limit_s: float, uniform: float) -> float:
    """Return the time until the next look at the servers, in seconds.

    Parameters
    ----------
    limit_s : float
        For how long the request may wait in all, in seconds.
    uniform : float
        A random number from 0 to 1.

    Returns
    -------
    float
        A part of the limit.
    """
    lowest, highest = WAIT_JITTER
    return limit_s / WAIT_STEP_COUNT * (lowest + uniform * (highest - lowest))


def decide_start(outlook: StartOutlook) -> StartDecision:
    """Return what happens to a request.

    Parameters
    ----------
    outlook : StartOutlook
        What is known of the best server and the request.

    Returns
    -------
    StartDecision
        SEND only if an answer in time is expected and the server has room.
    """
    if outlook.finish_s >= outlook.deadline_remaining_s:
        return StartDecision.REFUSE
    if outlook.has_room or outlook.is_trial:
        return StartDecision.SEND
    if outlook.waited_s < outlook.wait_limit_s:
        return StartDecision.WAIT
    return StartDecision.REFUSE
