"""Parsing of INI text with the line of each section and key."""

from dataclasses import dataclass, field

from berylhaven.clock import end_long_turn
from berylhaven.ini._located_parser import LocatedParser
from berylhaven.ini._problem_list import ProblemList
from berylhaven.results import (
    DuplicateKey,
    DuplicateSection,
    NotReadable,
)

NUL = "\0"


@dataclass(slots=True)
class IniEntry:
    """One key's value as text."""

    # The value without surrounding white space.
    value: str
    # The line of the key, counted from 1.
    line: int


@dataclass(slots=True)
class IniSection:
    """One section with its entries."""

    # The text between the brackets, with each run of white space replaced by a space.
    name: str
    # The line of the section's header, counted from 1.
    line: int
    # The entries by key.
    entries: dict[str, IniEntry] = field(default_factory=dict)


@dataclass(slots=True)
class IniDocument:
    """The sections of a document in their order."""

    # One section per name; a repeated name is a problem, and its keys are merged.
    sections: list[IniSection] = field(default_factory=list)


def parse_document(text: str) -> tuple[IniDocument, ProblemList]:
    """Parse INI text.

    Parameters
    ----------
    text : str
        The whole document.

    Returns
    -------
    tuple of IniDocument and ProblemList
        The parsed sections, and the problems with the document's syntax.
    """
    parser = LocatedParser()
    unreadable_lines = parser.read_located(text.replace(NUL, "?"))
    if NUL in text:
        line = text[: text.index(NUL)].count("\n") + 1
        unreadable_lines.append((line, "the line contains a NUL byte"))
    problems = ProblemList()
    problems.extend(
        NotReadable(message, line=line) for line, message in unreadable_lines
    )
    document = _create_sections(parser, problems)
    _add_entries(parser, document, problems)
    return document, problems


def _create_sections(parser: LocatedParser, problems: ProblemList) -> IniDocument:
    document = IniDocument()
    first_lines: dict[str, int] = {}
    for name, line in parser.headers:
        end_long_turn()
        if name in first_lines:
            message = f"the section is already defined on line {first_lines[name]}"
            problems.append(DuplicateSection(message, line, name))
        else:
            first_lines[name] = line
            document.sections.append(IniSection(name, line))
    return document


def _add_entries(
    parser: LocatedParser, document: IniDocument, problems: ProblemList
) -> None:
    sections = {section.name: section for section in document.sections}
    for name, key, line in parser.keys:
        end_long_turn()
        entries = sections[name].entries
        if key in entries:
            message = f"the key is already defined on line {entries[key].line}"
            problems.append(DuplicateKey(message, line, name, key))
        elif parser.has_option(name, key):
            entries[key] = IniEntry(parser.get(name, key).strip(), line)
