"""Validated INI documents; problems are reported with line, section and key."""

from berylhaven.ini._document import IniDocument, IniEntry, IniSection, parse_document
from berylhaven.ini._field import REQUIRED, Field, parse_fields
from berylhaven.ini._problem_list import PROBLEMS_LIMIT, ProblemList
from berylhaven.ini._sections import ParsedSections, parse_sections, read_text_file
from berylhaven.ini._value_kinds import register_value_kind, value_kind

__all__ = [
    "PROBLEMS_LIMIT",
    "REQUIRED",
    "Field",
    "IniDocument",
    "IniEntry",
    "IniSection",
    "ParsedSections",
    "ProblemList",
    "parse_document",
    "parse_fields",
    "parse_sections",
    "read_text_file",
    "register_value_kind",
    "value_kind",
]
