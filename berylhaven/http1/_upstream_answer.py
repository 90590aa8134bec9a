"""The answer of a backend server, with strict checks of its framing and length."""

import io
from dataclasses import dataclass

from berylhaven.http1._body_framing import NO_BODY, BodyFraming, parse_framing
from berylhaven.http1._chunked_reader import (
    ChunkedBodyError,
    ChunkedReader,
    ExcessiveFraming,
)
from berylhaven.http1._head_fields import HeadFields
from berylhaven.http1._upstream_connection import AnswerHead

BODYLESS_STATUSES = frozenset({204, 304})
CONTENT_LENGTH = "content-length"


class AnswerBodyError(Exception):
    """The body of an answer is truncated or malformed."""

    # The kind of the fault in metrics and log lines.
    kind = "cut"


class AnswerFramingError(AnswerBodyError):
    """The body of an answer has far more framing than content."""

    kind = "framing"


class NoAnswerLength(Exception):
    """An answer's body would be delimited only by the close of the connection.

    Its end could not be distinguished from a truncation.
    """


class AnswerBodyReader:
    """Reads the body of one answer.

    Parameters
    ----------
    reader : io.BufferedReader
        Positioned at the first byte of the body.
    framing : BodyFraming
        The framing of the body.
    """

    __slots__ = ("_reader", "_chunks", "_remaining_bytes")

    def __init__(self, reader: io.BufferedReader, framing: BodyFraming) -> None:
        self._reader = reader
        self._chunks = ChunkedReader(reader) if framing.is_chunked else None
        self._remaining_bytes = framing.content_length or 0

    @property
    def is_ended(self) -> bool:
        """Whether the whole body was read."""
        if self._chunks is not None:
            return self._chunks.is_ended
        return self._remaining_bytes == 0

    def read1(self, size_bytes: int) -> bytes:
        """Return the next available bytes of the body; wait only if there are none.

        Parameters
        ----------
        size_bytes : int
            The maximum number of bytes to return.

        Returns
        -------
        bytes
            Empty only at the end of the body.

        Raises
        ------
        AnswerBodyError
            If the body is truncated or malformed; `AnswerFramingError` if it has far
            more framing than content.
        """
        try:
            if self._chunks is not None:
                return self._chunks.read1(size_bytes)
            if self._remaining_bytes == 0:
                return b""
            piece = self._reader.read1(min(size_bytes, self._remaining_bytes))
        except ExcessiveFraming as fault:
            raise AnswerFramingError(str(fault)) from None
        except ChunkedBodyError as fault:
            raise AnswerBodyError(str(fault)) from None
        except OSError as error:
            raise AnswerBodyError(f"the connection broke: {error}") from None
        if not piece:
            raise AnswerBodyError(
                f"{self._remaining_bytes} bytes of Content-Length are missing"
            )
        self._remaining_bytes -= len(piece)
        return piece


@dataclass(slots=True, frozen=True)
class BodyFault:
    """How the body of an answer broke off."""

    # What was wrong.
    error: AnswerBodyError
    # The bytes of the body that were read before.
    read_bytes: int


@dataclass(slots=True)
class UpstreamAnswer:
    """An answer whose head and first body piece were read."""

    # The HTTP status.
    status: int
    # The reason phrase.
    reason: str
    # The headers in message order, Content-Length last if the length is known.
    headers: list[tuple[str, str]]
    # The headers for case-insensitive lookup by name.
    fields: HeadFields
    # Reads the rest of the body.
    body_reader: AnswerBodyReader
    # The first piece of the body; empty only if the body is empty.
    first_piece: bytes
    # Whether the backend server keeps its connection open after this answer.
    keeps_connection: bool
    # How the rest of the body broke off; None if it did not.
    fault: BodyFault | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the whole body was read."""
        return self.body_reader.is_ended


def read_answer(
    head: AnswerHead,
    reader: io.BufferedReader,
    method: str,
    chunk_bytes: int,
) -> UpstreamAnswer:
    """Read the first piece of an answer's body and return the answer.

    Parameters
    ----------
    head : AnswerHead
        The head of the answer.
    reader : io.BufferedReader
        Positioned at the first byte of the body.
    method : str
        The method of the request.
    chunk_bytes : int
        The maximum size of the first piece, in bytes.

    Returns
    -------
    UpstreamAnswer
        The answer.

    Raises
    ------
    BadFraming
        If the framing is ambiguous.
    NoAnswerLength
        If a body follows that only the close of the connection would end.
    AnswerBodyError
        If the body is truncated before its first byte, or malformed there.
    """
    framing = parse_framing(head.fields.pairs, head.version)
    kept = [pair for pair in head.fields.pairs if pair[0].lower() != CONTENT_LENGTH]
    if framing.content_length is not None:
        kept.append(("Content-Length", str(framing.content_length)))
    if method == "HEAD" or head.status in BODYLESS_STATUSES:
        framing = NO_BODY
    elif framing.content_length is None and not framing.is_chunked:
        raise NoAnswerLength("the answer has neither Content-Length nor chunked coding")
    body_reader = AnswerBodyReader(reader, framing)
    first_piece = body_reader.read1(chunk_bytes)
    return UpstreamAnswer(
        head.status,
        head.reason,
        kept,
        head.fields,
        body_reader,
        first_piece,
        head.keeps_connection,
    )
