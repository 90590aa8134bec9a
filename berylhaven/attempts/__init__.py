"""The ends of an attempt at a backend server, and what each end proves."""

from berylhaven.attempts._attempt_end import (
    CLASSIFICATIONS,
    AttemptEnd,
    AttemptFailed,
    EndClassification,
)

__all__ = ["CLASSIFICATIONS", "AttemptEnd", "AttemptFailed", "EndClassification"]
