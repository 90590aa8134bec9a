"""Calls: their ids, what is remembered of them, and how they may end."""

from berylhaven.calls._attempt_end import (
    JUDGEMENTS,
    AttemptEnd,
    AttemptFailed,
    EndJudgement,
)
from berylhaven.calls._call_id import CallId, call_id_prefix, read_call_id

__all__ = [
    "JUDGEMENTS",
    "AttemptEnd",
    "AttemptFailed",
    "CallId",
    "EndJudgement",
    "call_id_prefix",
    "read_call_id",
]
