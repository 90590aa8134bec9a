"""Checked INI documents: every fault is found, with its line, section and key."""

from berylhaven.ini._document import IniDocument, IniEntry, IniSection, read_document
from berylhaven.ini._field import REQUIRED, Field, read_fields
from berylhaven.ini._value_kinds import register_value_kind, value_kind

__all__ = [
    "REQUIRED",
    "Field",
    "IniDocument",
    "IniEntry",
    "IniSection",
    "read_document",
    "read_fields",
    "register_value_kind",
    "value_kind",
]
