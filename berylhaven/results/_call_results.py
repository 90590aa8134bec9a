"""Results of calls: 2xx numbers, each with its status and outcome."""

from berylhaven.results._outcome import Outcome
from berylhaven.results._registry import ResultCode, register_result


@register_result(
    200,
    "answered",
    "Nothing to do.",
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
        One sentence with the particulars of this call.
    retry_after_s : float or None
        After how many seconds the caller may ask again; None if never.
    outcome : Outcome or None
        What is known of whether the call ran, if it differs from the code's.
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
    """The catalogue in force has no service of this name."""


@register_result(
    202,
    "no-backend-server",
    "Ask again after the time in Retry-After; check the service's backend servers.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class NoBackendServer(CallRefused):
    """The service has no backend server that takes new calls."""


@register_result(
    203,
    "over-limit",
    "Ask again after the time in Retry-After; check the service's limits.",
    status=429,
    outcome=Outcome.NOT_RUN,
)
class OverLimit(CallRefused):
    """A limit of the catalogue is used up."""


@register_result(
    204,
    "no-backend-server-in-time",
    "Ask again later or with a longer timeout; the service is busy.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class NoBackendServerInTime(CallRefused):
    """No backend server can be expected to answer before the deadline."""


@register_result(
    205,
    "upstream-unreachable",
    "Ask again; no connection to a backend server could be opened.",
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
    """The connection to the backend server broke before its answer was whole."""


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
    """The request's body is over the service's limit."""


@register_result(
    209,
    "bad-call-id",
    "Form the call id from call_id_prefix and a part of the caller's own.",
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
    """The length of the request's body is ambiguous."""


@register_result(
    211,
    "not-ready",
    "Use another entry instance; this one has no catalogue yet.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class NotReady(CallRefused):
    """The entry instance has no catalogue in force yet."""


@register_result(
    212,
    "backend-server-shed",
    "Ask again after the time in Retry-After.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class BackendServerShed(CallRefused):
    """The backend servers refused the call without starting it."""


@register_result(
    230,
    "bad-request-head",
    "Send a request line and header fields in the form of HTTP/1.1.",
    status=400,
    outcome=Outcome.NOT_RUN,
)
class BadRequestHead(CallRefused):
    """The request's head is malformed."""


@register_result(
    231,
    "head-too-large",
    "Send a shorter head, or raise header_limit_bytes in the settings.",
    status=431,
    outcome=Outcome.NOT_RUN,
)
class HeadTooLarge(CallRefused):
    """The request's head is over the limit."""


@register_result(
    232,
    "internal-error",
    "Look for the error in the log of the entry instance, and report it.",
    status=500,
    outcome=Outcome.UNKNOWN,
)
class InternalError(CallRefused):
    """A fault of the entry instance itself ended the call."""


@register_result(
    233,
    "body-cut",
    "Send the whole body; repeat a call that is not idempotent with the same call id.",
    status=400,
    outcome=Outcome.NOT_RUN,
)
class BodyTruncated(CallRefused):
    """The request's body ended before its announced end."""


@register_result(
    234,
    "sender-too-slow",
    "Send without long pauses, or raise sender_timeout_s in the settings.",
    status=408,
    outcome=Outcome.NOT_RUN,
)
class SenderTooSlow(CallRefused):
    """The caller took too long to send its request."""


@register_result(
    235,
    "caller-gone",
    "Repeat an idempotent call; repeat another one only with the same call id.",
    status=503,
    outcome=Outcome.UNKNOWN,
)
class CallerDisconnected(CallRefused):
    """The caller closed its connection before the answer."""


@register_result(
    236,
    "answer-without-length",
    "Make the backend server send Content-Length or chunks.",
    status=502,
    outcome=Outcome.RUN,
)
class AnswerWithoutLength(CallRefused):
    """The answer's end was to be told by closing, so a cut could not be seen."""


@register_result(
    237,
    "located",
    "Nothing to do.",
    status=200,
    outcome=Outcome.RUN,
)
class Located:
    """The entry instance answered a locate request."""

    code: ResultCode
