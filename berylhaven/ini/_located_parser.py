"""The standard library's INI parser, extended to record line numbers."""

import configparser
import re
from collections.abc import Iterator

from berylhaven.clock import end_long_turn
from berylhaven.ini._problem_list import PROBLEMS_LIMIT

# What may follow a section header on its line.
AFTER_HEADER_PATTERN = re.compile(r"\s*([#;].*)?")
COMMENT_PREFIXES = "#;"
KEY_DELIMITERS = re.compile("[=:]")
# The library's pattern takes time that grows with the square of the white space in a
# key: 1.3 s for 10 kB.
KEY_LIMIT_CHARACTERS = 200
# The library takes 1.8 kB for each section; 1 MB holds 6,600 services with all that
# they require.
SECTIONS_LIMIT = 10_000


class _HeaderPattern:
    """Matches section headers like the library and records each match.

    Parameters
    ----------
    parser : LocatedParser
        The parser that records the headers.
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
        self._parser.record_header(name, line[found.end() :])
        return re.fullmatch(r"(?P<header>.*)", name)


class _LineChecker:
    """Finds lines that the library's parser cannot parse."""

    __slots__ = ("_section_count", "_has_key", "_indent")

    def __init__(self) -> None:
        self._section_count = 0
        # Whether the section has a key, whose value the next line may continue.
        self._has_key = False
        # The indentation of the last header or key, in characters.
        self._indent = 0

    def find_problem(self, line: str) -> str | None:
        """Return the problem with the next line, or None."""
        stripped = line.strip()
        if not stripped or stripped[0] in COMMENT_PREFIXES:
            return None
        indent = len(line) - len(line.lstrip())
        if self._has_key and indent > self._indent:
            return None
        if configparser.RawConfigParser.SECTCRE.match(stripped):
            if self._section_count == SECTIONS_LIMIT:
                return f"more than {SECTIONS_LIMIT} sections"
            self._section_count += 1
            self._has_key = False
        elif not self._section_count:
            return "the line precedes the first [section]"
        else:
            key = _key(stripped)
            if not key:
                return "the line is neither [section] nor key = value"
            if len(key) > KEY_LIMIT_CHARACTERS:
                return f"the key has more than {KEY_LIMIT_CHARACTERS} characters"
            self._has_key = True
        self._indent = indent
        return None


def _key(line: str) -> str:
    """Return the key of a line, or an empty string if it has none."""
    delimiter = KEY_DELIMITERS.search(line)
    return line[: delimiter.start()].strip() if delimiter else ""


class LocatedParser(configparser.RawConfigParser):
    """Parses INI text and records the line of each section header and key.

    The library reads its input line by line and calls `SECTCRE.match` and
    `optionxform` for each line before it reads the next, so the number of the line
    yielded last is the number of the header or key.
    """

    def __init__(self) -> None:
        # NUL bytes are replaced before parsing, so no section
        # supplies defaults to the others.
        super().__init__(strict=False, default_section="\0")
        # Name and line of each section header, including repeated ones.
        self.headers: list[tuple[str, int]] = []
        # Section, key and line of each key, including repeated ones.
        self.keys: list[tuple[str, str, int]] = []
        self.SECTCRE = _HeaderPattern(self)
        self._line = 0
        self._is_reading = False
        self._unreadable: list[tuple[int, str]] = []

    def read_located(self, text: str) -> list[tuple[int, str]]:
        """Parse a document.

        Parameters
        ----------
        text : str
            The whole document.

        Returns
        -------
        list of tuple of int and str
            Line number and reason of each line that cannot be parsed, up to
            PROBLEMS_LIMIT.
        """
        self._is_reading = True
        self.read_file(self._lines(text))
        self._is_reading = False
        return sorted(self._unreadable)

    def record_header(self, name: str, rest: str) -> None:
        """Record a section header, and check what follows it on its line."""
        self.headers.append((name, self._line))
        if not AFTER_HEADER_PATTERN.fullmatch(rest):
            self._record_unreadable("only a comment may follow [section]")

    def _record_unreadable(self, message: str) -> None:
        if len(self._unreadable) < PROBLEMS_LIMIT:
            self._unreadable.append((self._line, message))

    def optionxform(self, key: str) -> str:
        """Return a key unchanged, and record its line while reading a document."""
        if self._is_reading:
            self.keys.append((self.headers[-1][0], key, self._line))
        return key

    def _lines(self, text: str) -> Iterator[str]:
        # Unreadable lines are passed on as empty ones: the library would stop at one
        # before the first section, and takes quadratic time for many others.
        checker = _LineChecker()
        for self._line, line in enumerate(text.split("\n"), start=1):
            end_long_turn()
            message = checker.find_problem(line)
            if message is not None:
                self._record_unreadable(message)
            yield "\n" if message else line + "\n"
