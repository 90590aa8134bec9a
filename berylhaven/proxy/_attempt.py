"""One attempt of a call at one backend server over one connection."""

import http.client
from collections.abc import Iterator
from dataclasses import dataclass

import eventlet
import urllib3
from urllib3._collections import HTTPHeaderDict
from urllib3.connection import HTTPConnection
from urllib3.util import SKIP_HEADER

from berylhaven.backend import request_headers
from berylhaven.calls import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.proxy._call_request import CallRequest

CONNECTION_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


@dataclass(slots=True)
class UpstreamAnswer:
    """The head of a backend server's answer, its body not yet read."""

    # The HTTP status.
    status: int
    # The reason phrase.
    reason: str
    # The headers in their order.
    headers: list[tuple[str, str]]
    # The response from which the body is read.
    response: urllib3.HTTPResponse


def send_attempt(
    connection: HTTPConnection, request: CallRequest, chunk_bytes: int
) -> UpstreamAnswer:
    """Send a request and wait for the head of its answer.

    Parameters
    ----------
    connection : HTTPConnection
        Open or not; it carries no other call.
    request : CallRequest
        The call; its body is read as it is sent.
    chunk_bytes : int
        How much of the body is held at once.

    Returns
    -------
    UpstreamAnswer
        The head of the answer.

    Raises
    ------
    AttemptFailed
        With the place at which it ended.
    """
    remaining_s = request.deadline_s - monotonic_s()
    if remaining_s <= 0:
        end = AttemptEnd.DEADLINE_BEFORE_SENDING
        raise AttemptFailed(end, "the deadline passed before the call was sent")
    late = AttemptFailed(AttemptEnd.DEADLINE_BEFORE_HEAD, "no answer in time")
    with eventlet.Timeout(remaining_s, late):
        _connect(connection)
        try:
            _send(connection, request, remaining_s, chunk_bytes)
        except CONNECTION_ERRORS as error:
            end = AttemptEnd.BROKEN_WHILE_SENDING
            raise AttemptFailed(end, f"the connection broke: {error}") from error
        try:
            response = connection.getresponse()
        except CONNECTION_ERRORS as error:
            end = AttemptEnd.BROKEN_BEFORE_HEAD
            raise AttemptFailed(end, f"the connection broke: {error}") from error
    headers = list(response.headers.items())
    return UpstreamAnswer(response.status, response.reason or "", headers, response)


def _connect(connection: HTTPConnection) -> None:
    if connection.sock is not None:
        return
    try:
        connection.connect()
    except CONNECTION_ERRORS as error:
        message = f"no connection: {error}"
        raise AttemptFailed(AttemptEnd.NOT_CONNECTED, message) from error


def _send(
    connection: HTTPConnection,
    request: CallRequest,
    remaining_s: float,
    chunk_bytes: int,
) -> None:
    headers = HTTPHeaderDict(request.headers)
    headers.update(request_headers(request.call_id, remaining_s))
    # urllib3 would add these two of its own.
    headers.setdefault("User-Agent", SKIP_HEADER)
    headers.setdefault("Accept-Encoding", SKIP_HEADER)
    connection.request(
        request.method,
        request.target,
        body=_body(request, chunk_bytes) if request.has_body else None,
        headers=headers,
        chunked=request.content_length is None,
        preload_content=False,
        decode_content=False,
    )


def _body(request: CallRequest, chunk_bytes: int) -> Iterator[bytes]:
    left_bytes = request.content_length
    while left_bytes is None or left_bytes > 0:
        size_bytes = chunk_bytes if left_bytes is None else min(chunk_bytes, left_bytes)
        piece = request.read_body(size_bytes)
        if not piece:
            if left_bytes is not None:
                end = AttemptEnd.CALLER_BODY_CUT
                raise AttemptFailed(end, "the caller's body ended early")
            return
        if left_bytes is not None:
            left_bytes -= len(piece)
        yield piece
