"""Answers of the callers' interface."""

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from berylhaven.results import CallRefused, Outcome, ResultCode

OUTCOME_HEADER = "Berylhaven-Outcome"
RESULT_HEADER = "Berylhaven-Result"
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(slots=True)
class CallAnswer:
    """An answer in the form that WSGI needs."""

    # Status code and reason phrase.
    status: str
    # Header names and values.
    headers: list[tuple[str, str]]
    # The pieces of the body.
    body: Iterable[bytes]


def outcome_headers(code: ResultCode, outcome: Outcome) -> list[tuple[str, str]]:
    """Return the headers that give a call's outcome and result code."""
    return [(OUTCOME_HEADER, outcome.value), (RESULT_HEADER, str(code.number))]


def json_answer(document: dict, status_code: int = 200) -> CallAnswer:
    """Return a JSON answer.

    Parameters
    ----------
    document : dict
        The JSON object to encode.
    status_code : int
        The HTTP status code.

    Returns
    -------
    CallAnswer
        The answer, with Content-Length.
    """
    body = orjson.dumps(document)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    status = f"{status_code} {REASON_PHRASES.get(status_code, 'Unknown')}"
    return CallAnswer(status, headers, [body])


def refusal_answer(refusal: CallRefused) -> CallAnswer:
    """Return the answer for a call that ended without a backend server's answer.

    Parameters
    ----------
    refusal : CallRefused
        The reason why the call ended.

    Returns
    -------
    CallAnswer
        A JSON answer with the result, and Retry-After if the caller may retry.
    """
    code = refusal.code
    document = {
        "result": code.number,
        "name": code.name,
        "message": refusal.message,
        "outcome": refusal.outcome.value,
    }
    answer = json_answer(document, code.status)
    answer.headers.extend(outcome_headers(code, refusal.outcome))
    if refusal.retry_after_s is not None:
        answer.headers.append(
            ("Retry-After", str(max(1, round(refusal.retry_after_s))))
        )
    return answer
