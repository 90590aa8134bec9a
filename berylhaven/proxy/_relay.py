"""Relaying the body of a backend server's answer to the caller."""

from collections.abc import Callable, Iterator

import urllib3

from berylhaven.proxy._attempt import UpstreamAnswer
from berylhaven.results import UpstreamBroken


def relay_body(
    upstream: UpstreamAnswer, chunk_bytes: int, on_end: Callable[[bool], None]
) -> Iterator[bytes]:
    """Yield the pieces of an answer's body as they come.

    Parameters
    ----------
    upstream : UpstreamAnswer
        The answer whose head was received.
    chunk_bytes : int
        How much of the body is held at once.
    on_end : callable
        Told once, with whether the body was whole and its connection can serve
        another call.

    Yields
    ------
    bytes
        A piece of the body.

    Raises
    ------
    UpstreamBroken
        If the body was cut; the WSGI server then closes the caller's connection.
    """
    is_whole = False
    response = upstream.response
    try:
        try:
            yield from response.stream(chunk_bytes, decode_content=False)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise UpstreamBroken(f"the answer was cut: {error}") from error
        is_whole = True
    finally:
        on_end(is_whole and response.headers.get("connection") != "close")
