"""The result of a call as the caller receives it."""

from collections.abc import Mapping
from dataclasses import dataclass

from berylhaven.results import Outcome


@dataclass(slots=True, frozen=True)
class CallResult:
    """The result of one call, after all its attempts."""

    # Whether a backend server ran the call; UNKNOWN if neither is proved.
    outcome: Outcome
    # The result code of the last attempt; None if no entry instance answered it.
    result: int | None
    # The HTTP status of the answer; None without an answer.
    status: int | None
    # The answer's headers; empty without an answer.
    headers: Mapping[str, str]
    # The complete body of a backend server's answer; None without one.
    body: bytes | None
    # The call id of the last attempt.
    call_id: str
    # The number of attempts.
    try_count: int

    @property
    def is_answered(self) -> bool:
        """Whether a backend server answered and its complete body was received."""
        return self.outcome is Outcome.RUN and self.body is not None
