"""What the home of a call id remembers of one call."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from berylhaven.results import CallRefused, Outcome

# What an answer takes besides its body and the text of its headers.
KEPT_ANSWER_OVERHEAD_BYTES = 256
KEPT_HEADER_OVERHEAD_BYTES = 128


class CallState(enum.Enum):
    """How far a call has come."""

    # It was started and has not ended.
    RUNNING = "running"
    # A backend server answered it.
    ANSWERED = "answered"
    # It ended without an answer.
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class KeptAnswer:
    """A whole answer, kept for repeats of its call."""

    # Status number and reason.
    status: str
    # Header names and values.
    headers: list[tuple[str, str]]
    # The whole body.
    body: bytes

    @property
    def size_bytes(self) -> int:
        """About how much memory the answer takes."""
        header_bytes = sum(
            len(name) + len(value) + KEPT_HEADER_OVERHEAD_BYTES
            for name, value in self.headers
        )
        return len(self.body) + header_bytes + KEPT_ANSWER_OVERHEAD_BYTES


@dataclass(slots=True, frozen=True)
class KeptRefusal:
    """How a call ended that got no answer of a backend server."""

    # The result that its caller got.
    result: type[CallRefused]
    # Whether it can have run.
    outcome: Outcome
    # The home's uptime in seconds at that end.
    refused_at_uptime_s: float

    def to_exception(self, retry_after_s: float | None) -> CallRefused:
        """Return the refusal for a repeat of the call."""
        message = "an earlier request with this call id ended so"
        return self.result(message, retry_after_s, self.outcome)


@dataclass(slots=True, eq=False)
class CallRecord:
    """One remembered call."""

    # A digest of what the call asks for; a repeat asks for the same.
    fingerprint: bytes
    # How far the call has come.
    state: CallState = CallState.RUNNING
    # The answer, if it was small enough to be kept and still is.
    answer: KeptAnswer | None = None
    # How the call ended, if it was refused.
    refusal: KeptRefusal | None = None
    # Told when the call ends; None unless a repeat waits.
    waiters: list[Callable[[], None]] | None = field(default=None, repr=False)

    def add_waiter(self, waiter: Callable[[], None]) -> None:
        """Have a function called when the call ends."""
        if self.waiters is None:
            self.waiters = []
        self.waiters.append(waiter)

    def notify_waiters(self) -> None:
        """Call the functions that wait for the end."""
        waiters, self.waiters = self.waiters or [], None
        for waiter in waiters:
            waiter()
