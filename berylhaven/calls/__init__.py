"""Call ids, the call registry for at-most-once execution, and retries."""

from berylhaven.attempts import (
    CLASSIFICATIONS,
    AttemptEnd,
    AttemptFailed,
    EndClassification,
)
from berylhaven.calls._call_id import CallId, call_id_prefix, parse_call_id
from berylhaven.calls._call_record import (
    CallRecord,
    CallState,
    StoredAnswer,
    StoredRefusal,
)
from berylhaven.calls._call_registry import (
    REOPEN_DELAY_S,
    CallRegistry,
    OpenDecision,
)
from berylhaven.calls._outcomes import joint_outcome
from berylhaven.calls._retry_budget import RESERVE_RETRIES, RetryBudget
from berylhaven.calls._retry_decision import (
    ATTEMPTS_LIMIT,
    FailedAttempt,
    backoff_s,
    is_safe_to_retry,
)

__all__ = [
    "ATTEMPTS_LIMIT",
    "CLASSIFICATIONS",
    "REOPEN_DELAY_S",
    "RESERVE_RETRIES",
    "AttemptEnd",
    "AttemptFailed",
    "CallId",
    "CallRecord",
    "CallRegistry",
    "CallState",
    "EndClassification",
    "FailedAttempt",
    "StoredAnswer",
    "StoredRefusal",
    "OpenDecision",
    "RetryBudget",
    "backoff_s",
    "call_id_prefix",
    "is_safe_to_retry",
    "joint_outcome",
    "parse_call_id",
]
