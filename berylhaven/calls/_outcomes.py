"""Joining what the attempts of one call prove."""

from collections.abc import Iterable

from berylhaven.results import Outcome


def joint_outcome(outcomes: Iterable[Outcome]) -> Outcome:
    """Return what several attempts of one call prove together.

    Parameters
    ----------
    outcomes : iterable of Outcome
        That of each attempt; none if no attempt was made.

    Returns
    -------
    Outcome
        RUN if one attempt ran, NOT_RUN only if every one is proved not to have run.
    """
    seen = set(outcomes)
    if Outcome.RUN in seen:
        return Outcome.RUN
    if Outcome.UNKNOWN in seen:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
