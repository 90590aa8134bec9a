"""The table of the ends of an attempt, and of what each end proves."""

import enum
from dataclasses import dataclass

from berylhaven.results import (
    AnswerWithoutLength,
    BackendServerShed,
    BodyTooLarge,
    BodyTruncated,
    CallerDisconnected,
    CallRefused,
    CutByStop,
    DeadlineExceeded,
    InstanceLeaving,
    Outcome,
    OverLimit,
    SenderTooSlow,
    UpstreamBroken,
    UpstreamUnreachable,
)


class AttemptEnd(enum.Enum):
    """The point at which an attempt ended without a complete answer."""

    # No connection to the backend server was opened.
    NOT_CONNECTED = "not-connected"
    # The deadline passed before a byte was sent.
    DEADLINE_BEFORE_SENDING = "deadline-before-sending"
    # The caller's body ended early or was malformed.
    CALLER_BODY_CUT = "caller-body-cut"
    # The connection broke while the request was sent.
    BROKEN_WHILE_SENDING = "broken-while-sending"
    # The connection broke, or the answer was malformed, before the answer's head.
    BROKEN_BEFORE_HEAD = "broken-before-head"
    # The deadline passed before the answer's head.
    DEADLINE_BEFORE_HEAD = "deadline-before-head"
    # The backend server shed the call: it stated that it did not start it.
    SHED = "shed"
    # All connections that the instance may open to the backend server are in use.
    CONNECTION_LIMIT = "connection-limit"
    # The caller's body exceeded its limit while it was forwarded.
    CALLER_BODY_TOO_LARGE = "caller-body-too-large"
    # The caller paused for too long while its body was forwarded.
    CALLER_TOO_SLOW = "caller-too-slow"
    # The caller closed its connection while the attempt waited for the answer.
    CALLER_DISCONNECTED = "caller-gone"
    # The server is unresponsive: the answer is late beyond its estimate, and the call
    # is safe to send again.
    UNRESPONSIVE = "silent"
    # The answer's head was received, but its body was cut before the first byte.
    CUT_BEFORE_BODY = "cut-before-body"
    # The answer has no length, so that its end can't be distinguished from a cut.
    ANSWER_WITHOUT_LENGTH = "answer-without-length"
    # The answer carries the id of another call.
    FOREIGN_ANSWER = "foreign-answer"
    # The answer names no call, and may be one to an earlier call on its connection.
    UNPROVEN_ANSWER = "unproven-answer"
    # The answer exceeds the size limit of one answer.
    ANSWER_TOO_LARGE = "answer-too-large"
    # The instance has no memory for more of an answer whose length is unknown.
    ANSWER_WITHOUT_ROOM = "answer-without-room"
    # The answer consists of far more framing than body.
    EXCESSIVE_FRAMING = "excessive-framing"
    # The server's data centre was evacuated before a byte was sent.
    SERVER_EVACUATED = "server-evacuated"
    # Another attempt sends the body, which can't be sent twice; no byte was sent.
    BODY_TAKEN = "body-taken"
    # The instance stops before the answer is due; no byte was sent.
    INSTANCE_STOPS = "instance-stops"
    # The instance stops, and the answer's head has not come.
    STOP_BEFORE_HEAD = "stop-before-head"


@dataclass(slots=True, frozen=True)
class EndClassification:
    """The consequences of one end of an attempt."""

    # Whether the call ran, did not run, or may have run.
    outcome: Outcome
    # Whether another attempt may succeed, if the call is safe to send again.
    may_retry: bool
    # The result that the caller receives if there is no other attempt.
    refusal: type[CallRefused]


CLASSIFICATIONS = {
    AttemptEnd.NOT_CONNECTED: EndClassification(
        Outcome.NOT_RUN, True, UpstreamUnreachable
    ),
    AttemptEnd.DEADLINE_BEFORE_SENDING: EndClassification(
        Outcome.NOT_RUN, False, DeadlineExceeded
    ),
    AttemptEnd.CALLER_BODY_CUT: EndClassification(
        Outcome.UNKNOWN, False, BodyTruncated
    ),
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
    AttemptEnd.CALLER_DISCONNECTED: EndClassification(
        Outcome.UNKNOWN, False, CallerDisconnected
    ),
    AttemptEnd.UNRESPONSIVE: EndClassification(Outcome.UNKNOWN, True, DeadlineExceeded),
    AttemptEnd.CUT_BEFORE_BODY: EndClassification(
        Outcome.UNKNOWN, True, UpstreamBroken
    ),
    AttemptEnd.ANSWER_WITHOUT_LENGTH: EndClassification(
        Outcome.RUN, False, AnswerWithoutLength
    ),
    AttemptEnd.FOREIGN_ANSWER: EndClassification(Outcome.UNKNOWN, True, UpstreamBroken),
    AttemptEnd.UNPROVEN_ANSWER: EndClassification(
        Outcome.UNKNOWN, True, UpstreamBroken
    ),
    AttemptEnd.ANSWER_TOO_LARGE: EndClassification(
        Outcome.UNKNOWN, True, UpstreamBroken
    ),
    AttemptEnd.ANSWER_WITHOUT_ROOM: EndClassification(
        Outcome.UNKNOWN, True, UpstreamBroken
    ),
    AttemptEnd.EXCESSIVE_FRAMING: EndClassification(
        Outcome.UNKNOWN, True, UpstreamBroken
    ),
    AttemptEnd.SERVER_EVACUATED: EndClassification(
        Outcome.NOT_RUN, True, UpstreamUnreachable
    ),
    AttemptEnd.BODY_TAKEN: EndClassification(
        Outcome.NOT_RUN, False, UpstreamUnreachable
    ),
    AttemptEnd.INSTANCE_STOPS: EndClassification(
        Outcome.NOT_RUN, False, InstanceLeaving
    ),
    AttemptEnd.STOP_BEFORE_HEAD: EndClassification(Outcome.UNKNOWN, False, CutByStop),
}


class AttemptFailed(Exception):
    """An attempt ended without a complete answer.

    Parameters
    ----------
    end : AttemptEnd
        The point at which it ended.
    message : str
        One sentence with the details.
    """

    def __init__(self, end: AttemptEnd, message: str) -> None:
        super().__init__(message)
        self.end = end
        self.message = message

    @property
    def classification(self) -> EndClassification:
        """The consequences of this end."""
        return CLASSIFICATIONS[self.end]
