"""The decision whether a failed attempt is retried, and after which wait."""

from dataclasses import dataclass
from random import Random

from berylhaven.attempts import EndClassification
from berylhaven.results import Outcome

ATTEMPTS_LIMIT = 4
BACKOFF_BASE_S = 0.005
BACKOFF_LIMIT_S = 0.25


@dataclass(slots=True, frozen=True)
class FailedAttempt:
    """A failed attempt and the facts that decide on a retry."""

    # The classification of the way in which the attempt ended.
    judgement: EndClassification
    # The number of failed attempts of the call, including this one.
    attempt_count: int
    # Whether the call may safely run more than once.
    is_idempotent: bool
    # Whether the whole request can be sent again.
    is_body_replayable: bool
    # Seconds until the caller's deadline.
    remaining_s: float
    # The shortest time in which an answer can be expected, in seconds.
    expected_answer_s: float


def is_safe_to_retry(failed: FailedAttempt) -> bool:
    """Return whether a retry can neither run the call twice nor be too late.

    Parameters
    ----------
    failed : FailedAttempt
        The attempt that failed.

    Returns
    -------
    bool
        Whether a retry is safe; the retry budget is not checked here.
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
        Seconds; after this wait an answer can still be expected before the deadline.
    """
    bound_s = BACKOFF_BASE_S * 2.0 ** (failed.attempt_count - 1)
    spare_s = failed.remaining_s - failed.expected_answer_s
    return random.uniform(0.0, max(0.0, min(BACKOFF_LIMIT_S, bound_s, spare_s)))
