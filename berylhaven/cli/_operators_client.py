"""Requests to the operators' port of an entry instance."""

import os

import orjson
import urllib3

from berylhaven.ini import value_kind
from berylhaven.results import BadUsage, EntryUnreachable, UnexpectedAnswer

STATUS_PATH = "/v1/status"
TIMEOUT_S = 5.0


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
    http = urllib3.PoolManager(retries=False)
    try:
        answer = http.request("GET", f"http://{entry}{STATUS_PATH}", timeout=TIMEOUT_S)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        reason = _root_cause(error)
        raise EntryUnreachable(f"{entry} does not answer: {reason}") from None
    return _parse_status(entry, answer)


def _parse_status(entry: str, answer: urllib3.BaseHTTPResponse) -> dict:
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
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return f"no answer within {TIMEOUT_S:g} s"
    return type(error).__name__
