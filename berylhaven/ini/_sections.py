"""Reading all sections of a settings document at once."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from berylhaven.ini._document import IniSection, parse_document
from berylhaven.ini._field import Field, parse_fields
from berylhaven.results import (
    CheckProblem,
    MissingSection,
    NotReadable,
    UnknownSection,
)


@dataclass(slots=True)
class ParsedSections:
    """What a document holds, and every fault that was found."""

    # The sections as they stand in the document, by name.
    sections: dict[str, IniSection]
    # Values by section and key; those that could not be read are left out.
    values: dict[str, dict[str, Any]]
    # The faults.
    problems: list[CheckProblem]


def read_text_file(path: str) -> str:
    """Return a document's text.

    Parameters
    ----------
    path : str
        The file's path.

    Returns
    -------
    str
        Its text.

    Raises
    ------
    NotReadable
        If the file can't be read, or is not UTF-8.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise NotReadable(error.strerror) from None
    except UnicodeDecodeError as error:
        raise NotReadable(f"not UTF-8 at byte {error.start}") from None


def parse_sections(
    text: str,
    fields: Mapping[str, Sequence[Field]],
    optional_sections: Collection[str],
) -> ParsedSections:
    """Read the sections that a settings document may have.

    Parameters
    ----------
    text : str
        The INI text.
    fields : mapping
        What each section may hold, by its name.
    optional_sections : collection of str
        Sections that may be left out.

    Returns
    -------
    ParsedSections
        With every fault found.
    """
    document, problems = parse_document(text)
    read = ParsedSections({s.name: s for s in document.sections}, {}, problems)
    for section in document.sections:
        if section.name not in fields:
            known = ", ".join(fields)
            message = f"the sections here are {known}"
            problems.append(UnknownSection(message, section.line, section.name))
    for name, section_fields in fields.items():
        section = read.sections.get(name)
        if section is None and name not in optional_sections:
            problems.append(MissingSection(f"add [{name}]", section=name))
            read.values[name] = {}
            continue
        found, faults = parse_fields(section or IniSection(name, 0), section_fields)
        read.values[name] = found
        problems.extend(faults)
    return read
