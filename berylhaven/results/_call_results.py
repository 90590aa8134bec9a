"""Results of calls: 2xx numbers, each with its status and outcome."""

from berylhaven.results._outcome import Outcome
from berylhaven.results._registry import ResultCode, register_result


@register_result(
    200,
    "answered",
    "No action is needed.",
    status=200,
    outcome=Outcome.RUN,
)
class Answered:
    """A backend server answered the call."""

    code: ResultCode


class CallRefused(Exception):
    """Base of the results that end a call without a backend server's answer.

    Parameters
    ----------
    message : str
        One sentence with the details of this call.
    retry_after_s : float or None
        The time in seconds after which the caller may retry; None to send no such time.
    outcome : Outcome or None
        Whether the call ran, if this differs from the result code's outcome.
    """

    code: ResultCode

    def __init__(
        self,
        message: str,
        retry_after_s: float | None = None,
        outcome: Outcome | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s
        self.outcome = outcome or self.code.outcome


@register_result(
    201,
    "unknown-service",
    "Check the service's name against the catalogue.",
    status=404,
    outcome=Outcome.NOT_RUN,
)
class UnknownService(CallRefused):
    """The active catalogue has no service with this name."""


@register_result(
    202,
    "no-backend-server",
    "Retry after the time in Retry-After; check the service's backend servers.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class NoBackendServer(CallRefused):
    """The service has no backend server that accepts new calls."""


@register_result(
    203,
    "over-limit",
    "Retry after the time in Retry-After; check the service's limits.",
    status=429,
    outcome=Outcome.NOT_RUN,
)
class OverLimit(CallRefused):
    """A limit that the catalogue sets for the service is reached."""


@register_result(
    204,
    "no-backend-server-in-time",
    "Retry later or with a longer timeout; the service is busy.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class NoBackendServerInTime(CallRefused):
    """No backend server is expected to answer before the deadline."""


@register_result(
    205,
    "upstream-unreachable",
    "Retry; no connection to a backend server could be opened.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class UpstreamUnreachable(CallRefused):
    """No connection to a backend server could be opened."""


@register_result(
    206,
    "upstream-broken",
    "Repeat an idempotent call; repeat another one only with the same call id.",
    status=502,
    outcome=Outcome.UNKNOWN,
)
class UpstreamBroken(CallRefused):
    """The connection to the backend server broke before the answer was complete."""


@register_result(
    207,
    "deadline-exceeded",
    "Repeat an idempotent call; repeat another one only with the same call id.",
    status=504,
    outcome=Outcome.UNKNOWN,
)
class DeadlineExceeded(CallRefused):
    """The deadline passed while a backend server may have been running the call."""


@register_result(
    208,
    "body-too-large",
    "Send a smaller body, or raise the service's body_limit_bytes.",
    status=413,
    outcome=Outcome.NOT_RUN,
)
class BodyTooLarge(CallRefused):
    """The request body exceeds the service's size limit."""


@register_result(
    209,
    "bad-call-id",
    "Form the call id from call_id_prefix and a part chosen by the caller.",
    status=400,
    outcome=Outcome.NOT_RUN,
)
class BadCallId(CallRefused):
    """The call id is malformed."""


@register_result(
    210,
    "bad-framing",
    "Send one Content-Length or one Transfer-Encoding, not both.",
    status=400,
    outcome=Outcome.NOT_RUN,
)
class BadFraming(CallRefused):
    """The length of the request body is ambiguous."""


@register_result(
    211,
    "not-ready",
    "Use another entry instance; this one has no catalogue yet.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class NotReady(CallRefused):
    """The entry instance has no active catalogue yet."""


@register_result(
    212,
    "backend-server-shed",
    "Retry after the time in Retry-After.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class BackendServerShed(CallRefused):
    """The backend servers refused the call without starting it."""


@register_result(
    230,
    "bad-request-head",
    "Send a request line and header fields that are valid in HTTP/1.1.",
    status=400,
    outcome=Outcome.NOT_RUN,
)
class BadRequestHead(CallRefused):
    """The request head is malformed."""


@register_result(
    231,
    "head-too-large",
    "Send a smaller head, or raise header_limit_bytes in the settings.",
    status=431,
    outcome=Outcome.NOT_RUN,
)
class HeadTooLarge(CallRefused):
    """The request head exceeds the size limit."""


@register_result(
    232,
    "internal-error",
    "Find the error in the log of the entry instance and report it.",
    status=500,
    outcome=Outcome.UNKNOWN,
)
class InternalError(CallRefused):
    """An internal error of the entry instance ended the call."""


@register_result(
    233,
    "body-cut",
    "Send the full body; repeat a call that is not idempotent with the same call id.",
    status=400,
    outcome=Outcome.NOT_RUN,
)
class BodyTruncated(CallRefused):
    """The request body ended before its declared length."""


@register_result(
    234,
    "sender-too-slow",
    "Send without long pauses, or raise sender_timeout_s in the settings.",
    status=408,
    outcome=Outcome.NOT_RUN,
)
class SenderTooSlow(CallRefused):
    """The caller did not send its request within the time limit."""


@register_result(
    235,
    "caller-gone",
    "Repeat an idempotent call; repeat another one only with the same call id.",
    status=503,
    outcome=Outcome.UNKNOWN,
)
class CallerDisconnected(CallRefused):
    """The caller closed its connection before it received the answer."""


@register_result(
    236,
    "answer-without-length",
    "Make the backend server send Content-Length or a chunked body.",
    status=502,
    outcome=Outcome.RUN,
)
class AnswerWithoutLength(CallRefused):
    """The answer ends only with its connection, so truncation would go unnoticed."""


@register_result(
    237,
    "located",
    "No action is needed.",
    status=200,
    outcome=Outcome.RUN,
)
class Located:
    """The entry instance answered a locate request."""

    code: ResultCode
