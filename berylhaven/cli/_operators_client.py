"""Asking an entry instance's operators' port."""

import os

import orjson
import urllib3

from berylhaven.ini import value_kind
from berylhaven.results import BadUsage, EntryUnreachable, UnexpectedAnswer

STATUS_PATH = "/v1/status"
TIMEOUT_S = 5.0


def fetch_status(entry: str) -> dict:
    """Return an entry instance's status document.

    Parameters
    ----------
    entry : str
        HOST:PORT of its operators' port.

    Returns
    -------
    dict
        The JSON object.

    Raises
    ------
    BadUsage
        If the address is not HOST:PORT.
    EntryUnreachable
        If nothing answers there.
    UnexpectedAnswer
        If what answers is not an entry instance.
    """
    try:
        value_kind("address")(entry)
    except ValueError as error:
        raise BadUsage(f"--entry {entry}: {error}") from None
    http = urllib3.PoolManager(retries=False)
    try:
        answer = http.request("GET", f"http://{entry}{STATUS_PATH}", timeout=TIMEOUT_S)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        reason = _last_cause(error)
        raise EntryUnreachable(f"{entry} does not answer: {reason}") from None
    return _read_status(entry, answer)


def _read_status(entry: str, answer: urllib3.BaseHTTPResponse) -> dict:
    try:
        document = orjson.loads(answer.data)
        document["instance"]["peers_address"]
    except (ValueError, KeyError, TypeError):
        message = f"{entry} answers {answer.status}, but not with a status document"
        raise UnexpectedAnswer(message) from None
    return document


def _last_cause(error: BaseException) -> str:
    while error.__cause__ is not None:
        error = error.__cause__
    if isinstance(error, OSError) and error.errno:
        return os.strerror(error.errno).lower()
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return f"no answer within {TIMEOUT_S:g} s"
    return type(error).__name__
