"""The outcome of a call, derived from the outcomes of its attempts."""

from collections.abc import Iterable

from berylhaven.results import Outcome


def joint_outcome(outcomes: Iterable[Outcome]) -> Outcome:
    """Return the joint outcome of the attempts of one call.

    Parameters
    ----------
    outcomes : iterable of Outcome
        The outcome of each attempt; empty if no attempt was made.

    Returns
    -------
    Outcome
        RUN if an attempt ran, NOT_RUN only if it is certain that no attempt ran.
    """
    seen = set(outcomes)
    if Outcome.RUN in seen:
        return Outcome.RUN
    if Outcome.UNKNOWN in seen:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
