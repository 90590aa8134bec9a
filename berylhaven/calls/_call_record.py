"""The record of one call at its home instance."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from berylhaven.results import CallRefused, Outcome

# Estimated memory of an answer besides its body and the text of its headers.
STORED_ANSWER_OVERHEAD_BYTES = 256
STORED_HEADER_OVERHEAD_BYTES = 128


class CallState(enum.Enum):
    """The progress of a call."""

    # The call was started and has not ended.
    RUNNING = "running"
    # A backend server answered the call.
    ANSWERED = "answered"
    # The call ended without an answer of a backend server.
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """A complete answer, stored for repeated requests of its call."""

    # Status code and reason phrase.
    status: str
    # Header names and values.
    headers: list[tuple[str, str]]
    # The complete body.
    body: bytes

    @property
    def size_bytes(self) -> int:
        """The approximate memory use of the answer."""
        header_bytes = sum(
            len(name) + len(value) + STORED_HEADER_OVERHEAD_BYTES
            for name, value in self.headers
        )
        return len(self.body) + header_bytes + STORED_ANSWER_OVERHEAD_BYTES


@dataclass(slots=True, frozen=True)
class StoredRefusal:
    """The end of a call without an answer of a backend server."""

    # The result that was returned to the caller.
    result: type[CallRefused]
    # Whether the call ran, did not run, or may have run.
    outcome: Outcome
    # The home instance's uptime in seconds when the call ended.
    refused_at_uptime_s: float

    def to_exception(self, retry_after_s: float | None) -> CallRefused:
        """Return the refusal as an exception for a repeated request of the call."""
        message = "an earlier request with this call id ended with this result"
        return self.result(message, retry_after_s, self.outcome)


@dataclass(slots=True, eq=False)
class CallRecord:
    """A registered call."""

    # A digest of the request; a repeated request must have the same digest.
    fingerprint: bytes
    # The progress of the call.
    state: CallState = CallState.RUNNING
    # The answer, if it was small enough to be stored and has not been evicted.
    answer: StoredAnswer | None = None
    # How the call ended, if it was refused.
    refusal: StoredRefusal | None = None
    # Callbacks for the end of the call; None if no repeated request waits for it.
    waiters: list[Callable[[], None]] | None = field(default=None, repr=False)

    def add_waiter(self, waiter: Callable[[], None]) -> None:
        """Register a callback for the end of the call."""
        if self.waiters is None:
            self.waiters = []
        self.waiters.append(waiter)

    def notify_waiters(self) -> None:
        """Call the registered callbacks, each at most once."""
        waiters, self.waiters = self.waiters or [], None
        for waiter in waiters:
            waiter()
