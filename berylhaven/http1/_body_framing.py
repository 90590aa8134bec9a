"""How the end of a message's body is told, refused where it is ambiguous."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from berylhaven.results import BadFraming

# More digits than any body has bytes; it bounds the work of reading the number.
LENGTH = re.compile(r"[0-9]{1,18}")
CHUNKED = "chunked"
HTTP_1_0 = "HTTP/1.0"


@dataclass(slots=True, frozen=True)
class BodyFraming:
    """The framing of one message's body."""

    # The length in bytes; None if the message names none.
    content_length: int | None
    # Whether the body comes in chunks.
    is_chunked: bool


NO_BODY = BodyFraming(0, False)


def parse_framing(headers: Iterable[tuple[str, str]], version: str) -> BodyFraming:
    """Return how the body of a message is framed.

    Parameters
    ----------
    headers : iterable of tuple
        Names and values in their order.
    version : str
        The message's version, such as HTTP/1.1.

    Returns
    -------
    BodyFraming
        With no length and no chunks if the message names neither.

    Raises
    ------
    BadFraming
        If there is more than one length, a length with chunks, a coding other
        than chunked, or a length that is no plain number.
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
            raise BadFraming("Content-Length and Transfer-Encoding together")
        if codings != [CHUNKED] or version == HTTP_1_0:
            raise BadFraming("the only Transfer-Encoding taken is chunked")
        return BodyFraming(None, True)
    if not lengths:
        return BodyFraming(None, False)
    if len(lengths) > 1:
        raise BadFraming("more than one Content-Length")
    if LENGTH.fullmatch(lengths[0]) is None:
        raise BadFraming("Content-Length is not a plain number")
    return BodyFraming(int(lengths[0]), False)
