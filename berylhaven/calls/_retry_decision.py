"""The decision whether a failed attempt is followed by another."""

from dataclasses import dataclass
from random import Random

from berylhaven.attempts import EndJudgement
from berylhaven.results import Outcome

ATTEMPTS_LIMIT = 4
BACKOFF_BASE_S = 0.005
BACKOFF_LIMIT_S = 0.25


@dataclass(slots=True, frozen=True)
class FailedAttempt:
    """What is known when an attempt has failed."""

    # What follows from the place at which it failed.
    judgement: EndJudgement
    # How many attempts of the call have failed, this one included.
    attempt_count: int
    # Whether the call may safely run more than once.
    is_idempotent: bool
    # Whether the whole request can be sent again.
    is_body_replayable: bool
    # Seconds until the caller's deadline.
    remaining_s: float
    # The least time in which an answer can be expected, in seconds.
    expected_answer_s: float


def is_safe_to_retry(failed: FailedAttempt) -> bool:
    """Tell whether another attempt can neither double the call nor come too late.

    Parameters
    ----------
    failed : FailedAttempt
        The attempt that failed.

    Returns
    -------
    bool
        The budget is not asked here.
    """
    judgement = failed.judgement
    if not judgement.may_retry or failed.attempt_count >= ATTEMPTS_LIMIT:
        return False
    if not failed.is_idempotent and judgement.outcome is not Outcome.NOT_RUN:
        return False
    return failed.is_body_replayable and failed.remaining_s > failed.expected_answer_s


def backoff_s(failed: FailedAttempt, random: Random) -> float:
    """Return how long to wait before the next attempt, with full jitter.

    Parameters
    ----------
    failed : FailedAttempt
        The attempt that failed.
    random : Random
        The source of random numbers.

    Returns
    -------
    float
        Seconds; an answer can still be expected in time after them.
    """
    bound_s = BACKOFF_BASE_S * 2.0 ** (failed.attempt_count - 1)
    spare_s = failed.remaining_s - failed.expected_answer_s
    return random.uniform(0.0, max(0.0, min(BACKOFF_LIMIT_S, bound_s, spare_s)))
