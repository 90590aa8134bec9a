"""Fields of a section, and parsing and validation of their values."""

import difflib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from berylhaven.clock import end_long_turn
from berylhaven.ini._document import IniEntry, IniSection
from berylhaven.ini._problem_list import ProblemList
from berylhaven.ini._value_kinds import value_kind
from berylhaven.results import (
    BadValue,
    MissingKey,
    OutOfRange,
    UnknownKey,
)

NUMERIC_KINDS = ("integer", "number")
# Suffixes that end in another suffix precede it, since the first match is used.
UNIT_BY_SUFFIX = {
    "_per_s": "per second",
    "_ms": "milliseconds",
    "_s": "seconds",
    "_bytes": "bytes",
    "_ratio": "fraction of 1",
}
SHOWN_LENGTH_LIMIT = 60
HINT_COUNT_LIMIT = 20


class _Required:
    """The type of `REQUIRED`, which marks keys without a default."""


REQUIRED = _Required()


@dataclass(slots=True, frozen=True)
class Field:
    """One key of a section."""

    # The key; a key with a unit ends in it.
    key: str
    # The registered name of the value kind.
    kind: str
    # The value if the key is absent; REQUIRED if the key is required.
    default: Any = REQUIRED
    # The minimum value; None if there is none.
    minimum: float | None = None
    # The maximum value; None if there is none.
    maximum: float | None = None
    # The allowed values; empty if any value is allowed.
    choices: tuple[str, ...] = ()


def parse_fields(
    section: IniSection, fields: Sequence[Field]
) -> tuple[dict[str, Any], ProblemList]:
    """Parse and validate the values of a section.

    Parameters
    ----------
    section : IniSection
        The section of the document.
    fields : sequence of Field
        All keys that the section may have.

    Returns
    -------
    tuple of dict and ProblemList
        The values by key, with the default (None for a required key) where a value is
        absent or invalid, and every problem found.
    """
    problems = ProblemList()
    values: dict[str, Any] = {}
    known_keys = {field.key for field in fields}
    for key, entry in section.entries.items():
        end_long_turn()
        if key not in known_keys and not problems.is_full:
            message = _unknown_key_message(key, known_keys, len(problems))
            problems.append(UnknownKey(message, entry.line, section.name, key))
    for field in fields:
        end_long_turn()
        values[field.key] = None if field.default is REQUIRED else field.default
        entry = section.entries.get(field.key)
        if entry is not None:
            _parse_entry(field, entry, section, values, problems)
        elif field.default is REQUIRED:
            problems.append(
                MissingKey("the key is required", section.line, section.name, field.key)
            )
    return values, problems


def _parse_entry(
    field: Field,
    entry: IniEntry,
    section: IniSection,
    values: dict[str, Any],
    problems: ProblemList,
) -> None:
    place = (entry.line, section.name, field.key)
    try:
        value = value_kind(field.kind)(entry.value)
    except ValueError as error:
        message = f"{_truncated_repr(entry.value)}: {error}{_unit_note(field)}"
        problems.append(BadValue(message, *place))
        return
    if field.choices and value not in field.choices:
        choices = ", ".join(field.choices)
        message = f"{_truncated_repr(entry.value)}: expected one of {choices}"
        problems.append(BadValue(message, *place))
        return
    is_below = field.minimum is not None and value < field.minimum
    is_above = field.maximum is not None and value > field.maximum
    if is_below or is_above:
        bounds = f"{field.minimum} to {field.maximum}"
        problems.append(OutOfRange(f"{value} is not in the range {bounds}", *place))
        return
    values[field.key] = value


def _unknown_key_message(key: str, known_keys: set[str], fault_count: int) -> str:
    # The search for a similar key is slow, and a document with many problems must not
    # block the entry instance that validates it.
    close_matches: list[str] = []
    if fault_count < HINT_COUNT_LIMIT and len(key) <= SHOWN_LENGTH_LIMIT:
        close_matches = difflib.get_close_matches(key, sorted(known_keys), n=1)
    hint = f"did you mean {close_matches[0]}? " if close_matches else ""
    return f"{hint}valid keys are {', '.join(sorted(known_keys))}"


def _unit_note(field: Field) -> str:
    if field.kind not in NUMERIC_KINDS:
        return ""
    for suffix, unit in UNIT_BY_SUFFIX.items():
        if field.key.endswith(suffix):
            return f"; the unit of {field.key} is {unit}"
    return ""


def _truncated_repr(value: str) -> str:
    """Return the repr of a value for a message, truncated if it is long."""
    if len(value) > SHOWN_LENGTH_LIMIT:
        value = value[:SHOWN_LENGTH_LIMIT] + "..."
    return repr(value)
