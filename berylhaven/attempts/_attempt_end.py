"""The table of how one attempt may end, and what is proved by each end."""

import enum
from dataclasses import dataclass

from berylhaven.results import (
    AnswerWithoutLength,
    BackendServerShed,
    BodyCut,
    BodyTooLarge,
    CallerGone,
    CallRefused,
    DeadlineExceeded,
    Outcome,
    OverLimit,
    SenderTooSlow,
    UpstreamBroken,
    UpstreamUnreachable,
)


class AttemptEnd(enum.Enum):
    """The place at which an attempt ended without a whole answer."""

    # No connection to the backend server was opened.
    NOT_CONNECTED = "not-connected"
    # The deadline passed before a byte went out.
    DEADLINE_BEFORE_SENDING = "deadline-before-sending"
    # The caller's body ended early or was malformed.
    CALLER_BODY_CUT = "caller-body-cut"
    # The connection broke while the request was sent.
    BROKEN_WHILE_SENDING = "broken-while-sending"
    # The connection broke, or the answer was malformed, before the answer's head.
    BROKEN_BEFORE_HEAD = "broken-before-head"
    # The deadline passed before the answer's head.
    DEADLINE_BEFORE_HEAD = "deadline-before-head"
    # The backend server said that it did not start the call.
    SHED = "shed"
    # All connections to the backend server that the instance may have are in use.
    CONNECTION_LIMIT = "connection-limit"
    # The caller's body went over its limit while it was sent on.
    CALLER_BODY_TOO_LARGE = "caller-body-too-large"
    # The caller paused for too long while its body was sent on.
    CALLER_TOO_SLOW = "caller-too-slow"
    # The caller closed its connection while the attempt waited for the answer.
    CALLER_GONE = "caller-gone"
    # The answer is late beyond its estimate, and the call is safe to send again.
    UNRESPONSIVE = "silent"
    # The answer's head came, and its body was cut before the first byte.
    CUT_BEFORE_BODY = "cut-before-body"
    # The answer names no length, so that its end could not be told from a cut.
    ANSWER_WITHOUT_LENGTH = "answer-without-length"
    # The answer names the id of another call.
    FOREIGN_ANSWER = "foreign-answer"


@dataclass(slots=True, frozen=True)
class EndClassification:
    """What follows from one end of an attempt."""

    # Whether the call can have run.
    outcome: Outcome
    # Whether another attempt may help, the call being safe to send again.
    may_retry: bool
    # The result that the caller gets if there is no other attempt.
    refusal: type[CallRefused]


CLASSIFICATIONS = {
    AttemptEnd.NOT_CONNECTED: EndClassification(
        Outcome.NOT_RUN, True, UpstreamUnreachable
    ),
    AttemptEnd.DEADLINE_BEFORE_SENDING: EndClassification(
        Outcome.NOT_RUN, False, DeadlineExceeded
    ),
    AttemptEnd.CALLER_BODY_CUT: EndClassification(Outcome.UNKNOWN, False, BodyCut),
    AttemptEnd.BROKEN_WHILE_SENDING: EndClassification(
        Outcome.UNKNOWN, True, UpstreamBroken
    ),
    AttemptEnd.BROKEN_BEFORE_HEAD: EndClassification(
        Outcome.UNKNOWN, True, UpstreamBroken
    ),
    AttemptEnd.DEADLINE_BEFORE_HEAD: EndClassification(
        Outcome.UNKNOWN, False, DeadlineExceeded
    ),
    AttemptEnd.SHED: EndClassification(Outcome.NOT_RUN, True, BackendServerShed),
    AttemptEnd.CONNECTION_LIMIT: EndClassification(Outcome.NOT_RUN, True, OverLimit),
    AttemptEnd.CALLER_BODY_TOO_LARGE: EndClassification(
        Outcome.UNKNOWN, False, BodyTooLarge
    ),
    AttemptEnd.CALLER_TOO_SLOW: EndClassification(
        Outcome.UNKNOWN, False, SenderTooSlow
    ),
    AttemptEnd.CALLER_GONE: EndClassification(Outcome.UNKNOWN, False, CallerGone),
    AttemptEnd.UNRESPONSIVE: EndClassification(Outcome.UNKNOWN, True, DeadlineExceeded),
    AttemptEnd.CUT_BEFORE_BODY: EndClassification(
        Outcome.UNKNOWN, True, UpstreamBroken
    ),
    AttemptEnd.ANSWER_WITHOUT_LENGTH: EndClassification(
        Outcome.RUN, False, AnswerWithoutLength
    ),
    AttemptEnd.FOREIGN_ANSWER: EndClassification(Outcome.UNKNOWN, True, UpstreamBroken),
}


class AttemptFailed(Exception):
    """An attempt ended without a whole answer.

    Parameters
    ----------
    end : AttemptEnd
        Where it ended.
    message : str
        One sentence with the particulars.
    """

    def __init__(self, end: AttemptEnd, message: str) -> None:
        super().__init__(message)
        self.end = end
        self.message = message

    @property
    def classification(self) -> EndClassification:
        """What follows from this end."""
        return CLASSIFICATIONS[self.end]
