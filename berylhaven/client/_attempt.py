"""One request of a call to one entry instance, and what it proves."""

from collections.abc import Mapping
from dataclasses import dataclass

import urllib3

from berylhaven.results import Outcome

CALL_ID_HEADER = "Berylhaven-Call-Id"
TIMEOUT_HEADER = "Berylhaven-Timeout-Ms"
OUTCOME_HEADER = "Berylhaven-Outcome"
RESULT_HEADER = "Berylhaven-Result"
ANSWERED_RESULT = 200
CONNECT_TIMEOUT_S = 1.0
# An entry instance answers at the deadline; its answer needs this long to arrive.
ANSWER_GRACE_S = 0.25


@dataclass(slots=True, frozen=True)
class CallSpec:
    """What a caller wants done."""

    # The service to be called.
    service: str
    # The HTTP method.
    method: str
    # Path and query at the backend server.
    path: str
    # The body; None for none.
    body: bytes | None
    # Further headers.
    headers: Mapping[str, str]


@dataclass(slots=True, frozen=True)
class Attempt:
    """How one request ended."""

    # What it proves; NOT_RUN if nothing was sent.
    outcome: Outcome
    # Whether an entry instance was reached at all.
    was_sent: bool
    # The number of the result; None without an answer.
    result_code: int | None = None
    # The HTTP status; None without an answer.
    status: int | None = None
    # The answer's headers; None without an answer.
    headers: Mapping[str, str] | None = None
    # The whole body; None without one.
    body: bytes | None = None

    @property
    def retry_after_s(self) -> float | None:
        """How long the entry instance asks to wait; None if it does not say."""
        text = (self.headers or {}).get("Retry-After", "")
        return float(text) if text.isdigit() else None

    @property
    def is_answered(self) -> bool:
        """Whether this is a backend server's own whole answer."""
        return self.result_code == ANSWERED_RESULT and self.body is not None


NOT_SENT = Attempt(Outcome.NOT_RUN, was_sent=False)
NO_ANSWER = Attempt(Outcome.UNKNOWN, was_sent=True)


def send_attempt(
    http: urllib3.PoolManager,
    address: str,
    order: CallSpec,
    call_id: str,
    remaining_s: float,
) -> Attempt:
    """Send one request.

    Parameters
    ----------
    http : urllib3.PoolManager
        The HTTP client; it must not retry by itself.
    address : str
        HOST:PORT of the entry instance.
    order : CallSpec
        What is wanted.
    call_id : str
        The call's id.
    remaining_s : float
        Seconds until the caller's deadline.

    Returns
    -------
    Attempt
        Never an exception of the network's.
    """
    headers = dict(order.headers)
    headers[CALL_ID_HEADER] = call_id
    headers[TIMEOUT_HEADER] = str(max(1, int(remaining_s * 1000)))
    timeout = urllib3.Timeout(
        connect=min(CONNECT_TIMEOUT_S, remaining_s), read=remaining_s + ANSWER_GRACE_S
    )
    url = f"http://{address}/v1/services/{order.service}{order.path}"
    try:
        answer = http.request(
            order.method,
            url,
            body=order.body,
            headers=headers,
            timeout=timeout,
            redirect=False,
            retries=False,
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ):
        return NOT_SENT
    except (urllib3.exceptions.HTTPError, OSError):
        return NO_ANSWER
    return _read_answer(answer, call_id)


def _read_answer(answer: urllib3.BaseHTTPResponse, call_id: str) -> Attempt:
    headers = answer.headers
    if headers.get(CALL_ID_HEADER) != call_id:
        # Something else answered, or an answer to something else.
        return NO_ANSWER
    try:
        outcome = Outcome(headers.get(OUTCOME_HEADER))
        result_code = int(headers.get(RESULT_HEADER, ""))
    except ValueError:
        return NO_ANSWER
    body = answer.data if result_code == ANSWERED_RESULT else None
    return Attempt(outcome, True, result_code, answer.status, headers, body)
