"""Parsing of all sections of a settings document."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from berylhaven.ini._document import IniSection, parse_document
from berylhaven.ini._field import Field, parse_fields
from berylhaven.ini._problem_list import ProblemList
from berylhaven.results import (
    MissingSection,
    NotReadable,
    UnknownSection,
)

# Settings have some kilobytes.
FILE_LIMIT_BYTES = 1_000_000


@dataclass(slots=True)
class ParsedSections:
    """The sections and values of a document, and every problem found."""

    # The sections of the document, by name.
    sections: dict[str, IniSection]
    # Values by section and key; an invalid value is replaced by its default (None if it
    # has none), and a required section that is missing has no values.
    values: dict[str, dict[str, Any]]
    # The problems found.
    problems: ProblemList


def read_text_file(path: str) -> str:
    """Return the text of a file.

    Parameters
    ----------
    path : str
        The path of the file.

    Returns
    -------
    str
        The text.

    Raises
    ------
    NotReadable
        If the file can't be read, exceeds `FILE_LIMIT_BYTES`, or is not UTF-8.
    """
    try:
        with Path(path).open("rb") as file:
            data = file.read(FILE_LIMIT_BYTES + 1)
        if len(data) > FILE_LIMIT_BYTES:
            raise NotReadable(f"larger than {FILE_LIMIT_BYTES} bytes")
        return data.decode("utf-8")
    except OSError as error:
        raise NotReadable(error.strerror) from None
    except UnicodeDecodeError as error:
        raise NotReadable(f"not UTF-8 at byte {error.start}") from None


def parse_sections(
    text: str,
    fields: Mapping[str, Sequence[Field]],
    optional_sections: Collection[str],
) -> ParsedSections:
    """Parse and validate the sections of a settings document.

    Parameters
    ----------
    text : str
        The INI text.
    fields : mapping
        The fields of each section, by its name.
    optional_sections : collection of str
        Sections that may be omitted.

    Returns
    -------
    ParsedSections
        The sections and values, and every problem found.
    """
    document, problems = parse_document(text)
    parsed = ParsedSections({s.name: s for s in document.sections}, {}, problems)
    for section in document.sections:
        if section.name not in fields:
            known = ", ".join(fields)
            message = f"valid sections are {known}"
            problems.append(UnknownSection(message, section.line, section.name))
    for name, section_fields in fields.items():
        section = parsed.sections.get(name)
        if section is None and name not in optional_sections:
            problems.append(
                MissingSection(
                    f"required section is missing; add [{name}]", section=name
                )
            )
            parsed.values[name] = {}
            continue
        section_values, section_problems = parse_fields(
            section or IniSection(name, 0), section_fields
        )
        parsed.values[name] = section_values
        problems.extend(section_problems)
    return parsed
