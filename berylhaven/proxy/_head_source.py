"""Lines of a message's head, each checked before the library parses it."""

import io
import re

from berylhaven.results import BadRequestHead, HeadTooLarge

FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n")
END_OF_HEAD = b"\r\n"


class HeadSource:
    """A reader of head lines that the library's parser may trust.

    The library's parser takes a space before the colon for the end of the headers,
    and a head that was cut for a whole one, so each line is checked here first.

    Parameters
    ----------
    reader : io.BufferedReader
        Where the lines come from; it stays open.
    limit_bytes : int
        The most bytes of all lines together.
    first_line : re.Pattern or None
        The form of the first line, also of each head after an interim one; None if
        the first line was read already.
    """

    __slots__ = ("_reader", "_left_bytes", "_first_line", "_is_first")

    def __init__(
        self,
        reader: io.BufferedReader,
        limit_bytes: int,
        first_line: re.Pattern[bytes] | None = None,
    ) -> None:
        self._reader = reader
        self._left_bytes = limit_bytes
        self._first_line = first_line
        self._is_first = first_line is not None

    def makefile(self, mode: str) -> "HeadSource":
        """Return itself, as the library asks a socket for a file."""
        return self

    def readline(self, size_bytes: int = -1) -> bytes:
        """Return one line with its end.

        Parameters
        ----------
        size_bytes : int
            Not used; the limit of the whole head is stricter.

        Returns
        -------
        bytes
            A field line, the empty line, or the first line.

        Raises
        ------
        HeadTooLarge
            If the head is over its limit.
        BadRequestHead
            If the line is malformed, folded or cut.
        """
        line = self._reader.readline(self._left_bytes + 1)
        self._left_bytes -= len(line)
        if self._left_bytes < 0:
            raise HeadTooLarge("the head is over the limit")
        if line == END_OF_HEAD:
            self._is_first = self._first_line is not None
            return line
        if self._is_first:
            return self._checked_first(line)
        if FIELD_LINE.fullmatch(line) is None:
            raise BadRequestHead(f"malformed header line {line[:60]!r}")
        return line

    def _checked_first(self, line: bytes) -> bytes:
        # An empty line means that the peer closed, which the library reports.
        if line and self._first_line.fullmatch(line) is None:
            raise BadRequestHead(f"malformed first line {line[:60]!r}")
        self._is_first = False
        return line

    def close(self) -> None:
        """Do nothing; the reader belongs to its connection."""
