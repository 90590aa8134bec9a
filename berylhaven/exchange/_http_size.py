"""The size of HTTP messages as they stand on the wire."""

from collections.abc import Iterable

# "HTTP/1.1" with its blank, and the line's end.
VERSION_BYTES = 9
LINE_END_BYTES = 2
# The colon and the blank between a header's name and its value.
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
        The size of the body.

    Returns
    -------
    int
        Bytes of head and body.
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
        The status number and its reason.
    headers : iterable of (str, str)
        Names and values of all headers.
    body_bytes : int
        The size of the body.

    Returns
    -------
    int
        Bytes of head and body.
    """
    line_bytes = VERSION_BYTES + len(status) + LINE_END_BYTES
    return line_bytes + _headers_bytes(headers) + body_bytes


def _headers_bytes(headers: Iterable[tuple[str, str]]) -> int:
    lines = sum(
        len(name) + SEPARATOR_BYTES + len(value) + LINE_END_BYTES
        for name, value in headers
    )
    return lines + LINE_END_BYTES
