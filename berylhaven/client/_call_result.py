"""What a caller learns of its call."""

from collections.abc import Mapping
from dataclasses import dataclass

from berylhaven.results import Outcome


@dataclass(slots=True, frozen=True)
class CallResult:
    """The end of one call, after all its tries."""

    # Whether a backend server ran the call, as far as it is proved.
    outcome: Outcome
    # The number of the last result; None if no entry instance answered.
    result_code: int | None
    # The HTTP status of the answer; None without one.
    status: int | None
    # The answer's headers; empty without one.
    headers: Mapping[str, str]
    # The whole body; None if there is no answer, or if it is lost.
    body: bytes | None
    # The id of the last try.
    call_id: str
    # How many requests were sent.
    attempt_count: int

    @property
    def is_answered(self) -> bool:
        """Whether this is a backend server's own whole answer."""
        return self.outcome is Outcome.RUN and self.body is not None
