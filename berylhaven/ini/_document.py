"""Reading INI text with the line of each section and key."""

import configparser
from dataclasses import dataclass, field

from berylhaven.results import (
    CheckProblem,
    DuplicateKey,
    DuplicateSection,
    NotReadable,
)

# A name that no document can write, so that no section gives defaults to others.
NO_DEFAULT_SECTION = "\0"


@dataclass(slots=True)
class IniEntry:
    """One key's value as text."""

    # The value without surrounding white space.
    value: str
    # The line on which the key stands, counted from 1.
    line: int


@dataclass(slots=True)
class IniSection:
    """One section with its keys."""

    # The text between the brackets.
    name: str
    # The line of the section's head, counted from 1.
    line: int
    # The entries by key.
    entries: dict[str, IniEntry] = field(default_factory=dict)


@dataclass(slots=True)
class IniDocument:
    """The sections of a document in their order."""

    # One section a name; a repeated name is a problem and its keys are joined.
    sections: list[IniSection] = field(default_factory=list)


def read_document(text: str) -> tuple[IniDocument, list[CheckProblem]]:
    """Read INI text.

    Parameters
    ----------
    text : str
        The whole document.

    Returns
    -------
    tuple of IniDocument and list of CheckProblem
        The document, empty if it cannot be parsed, and what is wrong with its form.
    """
    parser = configparser.RawConfigParser(
        strict=False, default_section=NO_DEFAULT_SECTION
    )
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as error:
        return IniDocument(), [
            NotReadable("a key stands before the first [section]", line=error.lineno)
        ]
    except configparser.ParsingError as error:
        return IniDocument(), [
            NotReadable("the line is neither [section] nor key = value", line=line)
            for line, _ in error.errors
        ]
    lines, problems = _locate(text)
    return _join(parser, lines), problems


def _locate(
    text: str,
) -> tuple[dict[tuple[str, str | None], int], list[CheckProblem]]:
    """Find the line of each section and key, and what stands twice."""
    lines: dict[tuple[str, str | None], int] = {}
    problems: list[CheckProblem] = []
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line[0] in "#; \t":
            continue
        head = configparser.RawConfigParser.SECTCRE.match(line)
        if head:
            section = head.group("header")
            if (section, None) in lines:
                problems.append(_duplicate_section(section, number, lines))
            lines.setdefault((section, None), number)
            continue
        option = configparser.RawConfigParser.OPTCRE.match(line)
        if option is None:
            continue
        key = option.group("option").strip()
        if (section, key) in lines:
            problems.append(_duplicate_key(section, key, number, lines))
        lines.setdefault((section, key), number)
    return lines, problems


def _duplicate_section(section: str, number: int, lines: dict) -> DuplicateSection:
    first = lines[section, None]
    return DuplicateSection(
        f"the section stands first on line {first}", line=number, section=section
    )


def _duplicate_key(section: str, key: str, number: int, lines: dict) -> DuplicateKey:
    first = lines[section, key]
    return DuplicateKey(
        f"the key stands first on line {first}", line=number, section=section, key=key
    )


def _join(
    parser: configparser.RawConfigParser, lines: dict[tuple[str, str | None], int]
) -> IniDocument:
    document = IniDocument()
    for name in parser.sections():
        section = IniSection(name, lines.get((name, None), 0))
        for key, value in parser.items(name):
            section.entries[key] = IniEntry(value.strip(), lines.get((name, key), 0))
        document.sections.append(section)
    return document
