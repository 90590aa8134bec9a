"""Requests to the operators' port of an entry instance."""

import os

import orjson

from berylhaven.http1 import (
    REQUEST_ERRORS,
    AnswerTooLarge,
    BoundedAnswer,
    BoundedClient,
)
from berylhaven.ini import value_kind
from berylhaven.results import BadUsage, EntryUnreachable, UnexpectedAnswer

STATUS_PATH = "/v1/status"
TIMEOUT_S = 5.0
# A row of the document has about 300 bytes: 16 MB are 50,000 instances.
ANSWER_LIMIT_BYTES = 16_000_000


def fetch_status(entry: str) -> dict:
    """Fetch the status document of an entry instance.

    Parameters
    ----------
    entry : str
        HOST:PORT of the operators' port of the entry instance.

    Returns
    -------
    dict
        The status document.

    Raises
    ------
    BadUsage
        If the address is not HOST:PORT.
    EntryUnreachable
        If there is no answer from this address.
    UnexpectedAnswer
        If the answer is not a status document.
    """
    try:
        value_kind("address")(entry)
    except ValueError as error:
        raise BadUsage(f"--entry {entry}: {error}") from None
    client = BoundedClient(ANSWER_LIMIT_BYTES)
    try:
        answer = client.request("GET", f"http://{entry}{STATUS_PATH}", TIMEOUT_S)
    except AnswerTooLarge as error:
        raise UnexpectedAnswer(f"{entry}: {error}") from None
    except REQUEST_ERRORS as error:
        reason = _root_cause(error)
        raise EntryUnreachable(f"{entry} does not answer: {reason}") from None
    return _parse_status(entry, answer)


def _parse_status(entry: str, answer: BoundedAnswer) -> dict:
    try:
        document = orjson.loads(answer.data)
        document["instance"]["peers_address"]
    except (ValueError, KeyError, TypeError):
        message = f"{entry} answered {answer.status} without a valid status document"
        raise UnexpectedAnswer(message) from None
    return document


def _root_cause(error: BaseException) -> str:
    while error.__cause__ is not None:
        error = error.__cause__
    if isinstance(error, OSError) and error.errno:
        return os.strerror(error.errno).lower()
    if isinstance(error, TimeoutError):
        return str(error)
    return type(error).__name__
