"""The answer of a backend server, its body counted as it is read."""

import io
from dataclasses import dataclass

from berylhaven.http1._body_framing import NO_BODY, BodyFraming, parse_framing
from berylhaven.http1._chunked_reader import ChunkedBodyError, ChunkedReader
from berylhaven.http1._head_fields import HeadFields
from berylhaven.http1._upstream_connection import AnswerHead

BODYLESS_STATUSES = frozenset({204, 304})
CONTENT_LENGTH = "content-length"


class AnswerBodyError(Exception):
    """The answer's body ended early or is malformed."""


class NoAnswerLength(Exception):
    """The end of the answer's body is to be told by closing the connection."""


class AnswerBodyReader:
    """Reads the body of one answer.

    Parameters
    ----------
    reader : io.BufferedReader
        At the body's first byte.
    framing : BodyFraming
        How the body's end is told.
    """

    __slots__ = ("_reader", "_chunks", "_left_bytes")

    def __init__(self, reader: io.BufferedReader, framing: BodyFraming) -> None:
        self._reader = reader
        self._chunks = ChunkedReader(reader) if framing.is_chunked else None
        self._left_bytes = framing.content_length or 0

    @property
    def is_ended(self) -> bool:
        """Whether the whole body was read."""
        if self._chunks is not None:
            return self._chunks.is_ended
        return self._left_bytes == 0

    def read1(self, size_bytes: int) -> bytes:
        """Return what has come of the body, at most so many bytes.

        Parameters
        ----------
        size_bytes : int
            The most bytes to return.

        Returns
        -------
        bytes
            Empty at the body's end only.

        Raises
        ------
        AnswerBodyError
            If the body was cut or is malformed.
        """
        try:
            if self._chunks is not None:
                return self._chunks.read1(size_bytes)
            if self._left_bytes == 0:
                return b""
            piece = self._reader.read1(min(size_bytes, self._left_bytes))
        except ChunkedBodyError as fault:
            raise AnswerBodyError(str(fault)) from None
        except OSError as error:
            raise AnswerBodyError(f"the connection broke: {error}") from None
        if not piece:
            raise AnswerBodyError("the body ended before its Content-Length")
        self._left_bytes -= len(piece)
        return piece


@dataclass(slots=True)
class UpstreamAnswer:
    """An answer of which the head and the first piece of the body were read."""

    # The HTTP status.
    status: int
    # The reason phrase.
    reason: str
    # The headers in their order, with one Content-Length if the length is known.
    headers: list[tuple[str, str]]
    # The headers by name in any case.
    message: HeadFields
    # Where the rest of the body is read.
    source: AnswerBodyReader
    # What was read of the body; empty only if there is none.
    first_piece: bytes
    # Whether the backend server keeps its connection open after this answer.
    keeps_connection: bool

    @property
    def is_complete(self) -> bool:
        """Whether the whole body was read."""
        return self.source.is_ended


def read_answer(
    head: AnswerHead,
    reader: io.BufferedReader,
    method: str,
    chunk_bytes: int,
) -> UpstreamAnswer:
    """Return an answer with the first piece of its body.

    Parameters
    ----------
    head : AnswerHead
        The head.
    reader : io.BufferedReader
        At the body's first byte.
    method : str
        The method of the request.
    chunk_bytes : int
        The most bytes of the body that are held at once.

    Returns
    -------
    UpstreamAnswer
        The answer.

    Raises
    ------
    BadFraming
        If the framing is ambiguous.
    NoAnswerLength
        If a body follows that only the connection's close would end.
    AnswerBodyError
        If the body was cut before its first byte.
    """
    framing = parse_framing(head.fields.pairs, head.version)
    kept = [pair for pair in head.fields.pairs if pair[0].lower() != CONTENT_LENGTH]
    if framing.content_length is not None:
        kept.append(("Content-Length", str(framing.content_length)))
    if method == "HEAD" or head.status in BODYLESS_STATUSES:
        framing = NO_BODY
    elif framing.content_length is None and not framing.is_chunked:
        raise NoAnswerLength("the answer has no length")
    source = AnswerBodyReader(reader, framing)
    first_piece = source.read1(chunk_bytes)
    return UpstreamAnswer(
        head.status,
        head.reason,
        kept,
        head.fields,
        source,
        first_piece,
        head.keeps_connection,
    )
