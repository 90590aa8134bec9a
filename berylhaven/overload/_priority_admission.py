"""Whether a less urgent request is sent now, or leaves its slot to more urgent ones.

Load pattern: a burst of a less urgent route on servers that it shares with a more
urgent one. Whichever route waits longer for a slot is refused less, which is the less
urgent one if its objective is longer. Less urgent requests therefore leave one slot of
each server free for the others.
"""

import dataclasses

from berylhaven.overload._start_decision import (
    StartDecision,
    StartOutlook,
    decide_start,
)

# The share of the requests of a less urgent route that are decided like the most urgent
# ones, so that the route is served also while the others leave no second slot free.
GUARANTEED_SHARE = 0.2


def must_keep_slot_free(uniform: float) -> bool:
    """Return whether a request of a less urgent route has to keep a slot free.

    Parameters
    ----------
    uniform : float
        A random number from 0 to 1, drawn once for a request.

    Returns
    -------
    bool
        False for the guaranteed share of the requests.
    """
    return uniform >= GUARANTEED_SHARE


def keeps_slot_free(
    request_count: int, best_concurrency: int, other_free_count: int
) -> bool:
    """Return whether a slot stays free if a request is sent to a server.

    Parameters
    ----------
    request_count : int
        The requests at the server, this one included.
    best_concurrency : int
        The number of concurrent requests with the highest throughput of the server.
    other_free_count : int
        The free slots below that number on the other servers that were compared.

    Returns
    -------
    bool
        Whether one stays free on the server, or elsewhere if the server has only one.
    """
    if best_concurrency > 1:
        return request_count < best_concurrency
    return request_count <= best_concurrency and other_free_count > 0


def decide_less_urgent_start(
    outlook: StartOutlook, other_free_count: int
) -> StartDecision:
    """Return what happens to a request that has to keep a slot free.

    The only slot of a server cannot stay free: if no other server has a free one, the
    request waits as long as it may, so that a more urgent request can take the slot,
    and takes it then.

    Parameters
    ----------
    outlook : StartOutlook
        What is known of the server and the request.
    other_free_count : int
        The free slots below the best concurrency on the other servers that were
        compared.

    Returns
    -------
    StartDecision
        Never SEND beyond the best concurrency of the server.
    """
    decision = decide_start(dataclasses.replace(outlook, is_trial=False))
    if decision is not StartDecision.SEND:
        return decision
    concurrency = outlook.best_concurrency
    if keeps_slot_free(outlook.request_count, concurrency, other_free_count):
        return StartDecision.SEND
    if outlook.waited_s < outlook.wait_limit_s:
        return StartDecision.WAIT
    is_only_slot = outlook.request_count <= concurrency == 1
    return StartDecision.SEND if is_only_slot else StartDecision.REFUSE
