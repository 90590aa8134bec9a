"""Answering one WSGI request with a short body."""

from collections.abc import Callable

PLAIN_TEXT = "text/plain; charset=utf-8"
JSON = "application/json"


def answer_bytes(
    start_response: Callable, status: str, body: bytes, content_type: str = JSON
) -> list[bytes]:
    """Answer with bytes.

    Parameters
    ----------
    start_response : callable
        The WSGI server's.
    status : str
        Number and reason.
    body : bytes
        The body.
    content_type : str
        Its type.

    Returns
    -------
    list of bytes
        The body as WSGI wants it.
    """
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]


def answer_status(start_response: Callable, status: str) -> list[bytes]:
    """Answer with a status, which is the body too.

    Parameters
    ----------
    start_response : callable
        The WSGI server's.
    status : str
        Number and reason.

    Returns
    -------
    list of bytes
        The body as WSGI wants it.
    """
    return answer_bytes(start_response, status, f"{status}\n".encode(), PLAIN_TEXT)
