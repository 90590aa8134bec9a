"""Short answers to WSGI requests."""

from collections.abc import Callable

PLAIN_TEXT = "text/plain; charset=utf-8"
JSON = "application/json"


def answer_bytes(
    start_response: Callable,
    status: str,
    body: bytes,
    content_type: str = JSON,
    content_encoding: str | None = None,
) -> list[bytes]:
    """Answer a request with a body held in memory.

    Parameters
    ----------
    start_response : callable
        The WSGI start_response function.
    status : str
        Status code and reason phrase, such as "200 OK".
    body : bytes
        The body.
    content_type : str
        The media type of the body.
    content_encoding : str or None
        The encoding in which the body is held; None for none.

    Returns
    -------
    list of bytes
        The body as a WSGI iterable.
    """
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    if content_encoding is not None:
        headers.append(("Content-Encoding", content_encoding))
    start_response(status, headers)
    return [body]


def answer_status(start_response: Callable, status: str) -> list[bytes]:
    """Answer a request with a status line that is repeated as a text body.

    Parameters
    ----------
    start_response : callable
        The WSGI start_response function.
    status : str
        Status code and reason phrase, such as "404 Not Found".

    Returns
    -------
    list of bytes
        The body as a WSGI iterable.
    """
    return answer_bytes(start_response, status, f"{status}\n".encode(), PLAIN_TEXT)
