"""Body framing of a message; ambiguous framing is rejected."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from berylhaven.results import BadFraming

# 18 digits exceed the length of any body; the limit bounds the cost of int().
CONTENT_LENGTH_PATTERN = re.compile(r"[0-9]{1,18}")
CHUNKED = "chunked"
HTTP_1_0 = "HTTP/1.0"


@dataclass(slots=True, frozen=True)
class BodyFraming:
    """The framing of one message's body."""

    # Content-Length in bytes; None if the message has none.
    content_length: int | None
    # Whether the body has the chunked transfer coding.
    is_chunked: bool


NO_BODY = BodyFraming(0, False)


def parse_framing(headers: Iterable[tuple[str, str]], version: str) -> BodyFraming:
    """Parse the framing of a message's body from its headers.

    Parameters
    ----------
    headers : iterable of tuple
        Names and values in message order.
    version : str
        The HTTP version of the message, such as HTTP/1.1.

    Returns
    -------
    BodyFraming
        Without length and not chunked if the message has neither header.

    Raises
    ------
    BadFraming
        If there is more than one Content-Length, Content-Length together with
        Transfer-Encoding, a transfer coding other than chunked, or a length that
        is not a decimal number of at most 18 digits.
    """
    lengths = []
    codings = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == "content-length":
            lengths.append(value.strip(" \t"))
        elif lowered == "transfer-encoding":
            codings.append(value.strip(" \t").lower())
    if codings:
        if lengths:
            raise BadFraming("both Content-Length and Transfer-Encoding are present")
        if codings != [CHUNKED] or version == HTTP_1_0:
            raise BadFraming(
                "the only supported Transfer-Encoding is chunked, in HTTP/1.1"
            )
        return BodyFraming(None, True)
    if not lengths:
        return BodyFraming(None, False)
    if len(lengths) > 1:
        raise BadFraming("more than one Content-Length header")
    if CONTENT_LENGTH_PATTERN.fullmatch(lengths[0]) is None:
        raise BadFraming(f'Content-Length "{lengths[0][:60]}" is not a decimal number')
    return BodyFraming(int(lengths[0]), False)
