"""One attempt of a call: a request to one entry instance, and what it proves."""

from collections.abc import Mapping
from dataclasses import dataclass

import urllib3

from berylhaven.client._bounded_http import AnswerTooLarge, read_body
from berylhaven.results import Outcome

CALL_ID_HEADER = "Berylhaven-Call-Id"
TIMEOUT_HEADER = "Berylhaven-Timeout-Ms"
OUTCOME_HEADER = "Berylhaven-Outcome"
RESULT_HEADER = "Berylhaven-Result"
RESULT_CODE_ANSWERED = 200
CONNECT_TIMEOUT_S = 1.0
# An entry instance answers at the deadline; this is the time for its answer to arrive.
ANSWER_GRACE_S = 0.25


@dataclass(slots=True, frozen=True)
class CallSpec:
    """The request of a call, the same in all its attempts."""

    # The name of the service to be called.
    service: str
    # The HTTP method.
    method: str
    # Path and query at the backend server.
    path: str
    # The body; None for a request without a body.
    body: bytes | None
    # Headers in addition to those that the client sets.
    headers: Mapping[str, str]


@dataclass(slots=True, frozen=True)
class Attempt:
    """The result of one attempt."""

    # What the attempt proves; NOT_RUN if nothing was sent.
    outcome: Outcome
    # Whether a connection to the entry instance was opened.
    was_sent: bool
    # The result code; None without an answer.
    result: int | None = None
    # The HTTP status; None without an answer.
    status: int | None = None
    # The answer's headers; None without an answer.
    headers: Mapping[str, str] | None = None
    # The complete body; None unless a backend server answered, with one that is within
    # the size limit.
    body: bytes | None = None

    @property
    def retry_after_s(self) -> float | None:
        """The seconds of the Retry-After header; None without a valid one."""
        text = (self.headers or {}).get("Retry-After", "")
        return float(text) if text.isdigit() else None

    @property
    def is_answered(self) -> bool:
        """Whether a backend server answered and its complete body was received."""
        return self.result == RESULT_CODE_ANSWERED and self.body is not None


NOT_SENT = Attempt(Outcome.NOT_RUN, was_sent=False)
NO_ANSWER = Attempt(Outcome.UNKNOWN, was_sent=True)


def send_attempt(
    http: urllib3.PoolManager,
    address: str,
    spec: CallSpec,
    call_id: str,
    remaining_s: float,
    answer_limit_bytes: int,
) -> Attempt:
    """Send the request of one attempt.

    Parameters
    ----------
    http : urllib3.PoolManager
        The HTTP client of `create_http`.
    address : str
        HOST:PORT of the entry instance.
    spec : CallSpec
        The request.
    call_id : str
        The call id.
    remaining_s : float
        Seconds until the caller's deadline.
    answer_limit_bytes : int
        The size limit of the answer's body, in bytes.

    Returns
    -------
    Attempt
        The result; network errors are part of it, not raised.
    """
    headers = dict(spec.headers)
    headers[CALL_ID_HEADER] = call_id
    headers[TIMEOUT_HEADER] = str(max(1, int(remaining_s * 1000)))
    timeout = urllib3.Timeout(
        connect=min(CONNECT_TIMEOUT_S, remaining_s), read=remaining_s + ANSWER_GRACE_S
    )
    url = f"http://{address}/v1/services/{spec.service}{spec.path}"
    try:
        answer = http.request(
            spec.method,
            url,
            body=spec.body,
            headers=headers,
            timeout=timeout,
            redirect=False,
            preload_content=False,
        )
        body = _bounded_body(answer, answer_limit_bytes)
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ):
        return NOT_SENT
    except (urllib3.exceptions.HTTPError, OSError):
        return NO_ANSWER
    return _parse_answer(answer, body, call_id)


def _bounded_body(answer: urllib3.BaseHTTPResponse, limit_bytes: int) -> bytes | None:
    try:
        return read_body(answer, limit_bytes)
    except AnswerTooLarge:
        return None


def _parse_answer(
    answer: urllib3.BaseHTTPResponse, body: bytes | None, call_id: str
) -> Attempt:
    headers = answer.headers
    if headers.get(CALL_ID_HEADER) != call_id:
        # Not an entry instance, or the answer to another request.
        return NO_ANSWER
    try:
        outcome = Outcome(headers.get(OUTCOME_HEADER))
        result = int(headers.get(RESULT_HEADER, ""))
    except ValueError:
        return NO_ANSWER
    if result != RESULT_CODE_ANSWERED:
        body = None
    return Attempt(outcome, True, result, answer.status, headers, body)
