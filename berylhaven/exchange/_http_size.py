"""The size of HTTP messages on the wire."""

from collections.abc import Iterable

# "HTTP/1.1" with the adjacent space.
VERSION_BYTES = 9
LINE_END_BYTES = 2
# The colon and the space between the name and the value of a header.
SEPARATOR_BYTES = 2


def request_size_bytes(
    method: str, target: str, headers: Iterable[tuple[str, str]], body_bytes: int
) -> int:
    """Return the size of a request.

    Parameters
    ----------
    method : str
        The HTTP method.
    target : str
        Path and query.
    headers : iterable of (str, str)
        Names and values of all headers.
    body_bytes : int
        The size of the body, in bytes.

    Returns
    -------
    int
        The size of head and body, in bytes.
    """
    line_bytes = len(method) + 1 + len(target) + VERSION_BYTES + LINE_END_BYTES
    return line_bytes + _headers_bytes(headers) + body_bytes


def answer_size_bytes(
    status: str, headers: Iterable[tuple[str, str]], body_bytes: int
) -> int:
    """Return the size of an answer.

    Parameters
    ----------
    status : str
        Status code and reason phrase.
    headers : iterable of (str, str)
        Names and values of all headers.
    body_bytes : int
        The size of the body, in bytes.

    Returns
    -------
    int
        The size of head and body, in bytes.
    """
    line_bytes = VERSION_BYTES + len(status) + LINE_END_BYTES
    return line_bytes + _headers_bytes(headers) + body_bytes


def _headers_bytes(headers: Iterable[tuple[str, str]]) -> int:
    lines = sum(
        len(name) + SEPARATOR_BYTES + len(value) + LINE_END_BYTES
        for name, value in headers
    )
    return lines + LINE_END_BYTES
