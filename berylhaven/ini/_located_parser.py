"""The library's INI parser, made to tell on which line each thing stands."""

import configparser
import re
from collections.abc import Iterator

# What may follow a section's head on its line.
AFTER_HEAD_PATTERN = re.compile(r"\s*([#;].*)?")
COMMENT_MARKS = "#;"


class _HeadPattern:
    """Matches section heads as the library does, and tells of each match.

    Parameters
    ----------
    parser : LocatedParser
        Told of each head.
    """

    __slots__ = ("_parser",)

    def __init__(self, parser: "LocatedParser") -> None:
        self._parser = parser

    def match(self, line: str) -> re.Match | None:
        """Match one line from its beginning."""
        found = configparser.RawConfigParser.SECTCRE.match(line)
        if found is None:
            return None
        name = " ".join(found.group("header").split())
        self._parser.note_head(name, line[found.end() :])
        return re.fullmatch(r"(?P<header>.*)", name)


class _LineScreen:
    """Tells which lines the library's parser could not read."""

    __slots__ = ("_has_section", "_has_key", "_indent")

    def __init__(self) -> None:
        self._has_section = False
        # Whether the section has a key, whose value the next line may continue.
        self._has_key = False
        # How far the last head or key is indented.
        self._indent = 0

    def fault(self, line: str) -> str | None:
        """Return what is wrong with the next line, or None."""
        stripped = line.strip()
        if not stripped or stripped[0] in COMMENT_MARKS:
            return None
        indent = len(line) - len(line.lstrip())
        if self._has_key and indent > self._indent:
            return None
        if configparser.RawConfigParser.SECTCRE.match(stripped):
            self._has_section, self._has_key = True, False
        elif not self._has_section:
            return "the line stands before the first [section]"
        elif _is_key(stripped):
            self._has_key = True
        else:
            return "the line is neither [section] nor key = value"
        self._indent = indent
        return None


def _is_key(line: str) -> bool:
    found = configparser.RawConfigParser.OPTCRE.match(line)
    return found is not None and bool(found.group("option").strip())


class LocatedParser(configparser.RawConfigParser):
    """Reads INI text and keeps the line of each section head and key.

    The library reads its input line by line and asks `SECTCRE` and `optionxform` as
    it goes, so that the number of the line handed out last is the one meant.
    """

    def __init__(self) -> None:
        # No document holds a NUL, so no section can give defaults to others.
        super().__init__(strict=False, default_section="\0")
        # Name and line of each section head, repeated ones too.
        self.heads: list[tuple[str, int]] = []
        # Section, key and line of each key, repeated ones too.
        self.keys: list[tuple[str, str, int]] = []
        self.SECTCRE = _HeadPattern(self)
        self._line = 0
        self._is_reading = False
        self._unreadable: list[tuple[int, str]] = []

    def read_located(self, text: str) -> list[tuple[int, str]]:
        """Read a document.

        Parameters
        ----------
        text : str
            The whole document.

        Returns
        -------
        list of tuple of int and str
            The line of each thing that cannot be read, and why.
        """
        self._is_reading = True
        self.read_file(self._lines(text))
        self._is_reading = False
        return sorted(self._unreadable)

    def note_head(self, name: str, rest: str) -> None:
        """Keep a section head and what follows it on its line."""
        self.heads.append((name, self._line))
        if not AFTER_HEAD_PATTERN.fullmatch(rest):
            message = "write nothing but a comment after [section]"
            self._unreadable.append((self._line, message))

    def optionxform(self, key: str) -> str:
        """Return a key as it is written, and keep its line while reading."""
        if self._is_reading:
            self.keys.append((self.heads[-1][0], key, self._line))
        return key

    def _lines(self, text: str) -> Iterator[str]:
        # Unreadable lines are handed on as empty ones: the library would stop at one
        # before the first section, and takes quadratic time over many others.
        screen = _LineScreen()
        for self._line, line in enumerate(text.split("\n"), start=1):
            message = screen.fault(line)
            if message is not None:
                self._unreadable.append((self._line, message))
            yield "\n" if message else line + "\n"
