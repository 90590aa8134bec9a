"""Fields of a section: what each key may hold."""

import difflib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from berylhaven.ini._document import IniEntry, IniSection
from berylhaven.ini._value_kinds import value_kind
from berylhaven.results import (
    BadValue,
    CheckProblem,
    MissingKey,
    OutOfRange,
    UnknownKey,
)

NUMERIC_KINDS = ("integer", "number")
# The longer suffixes come first, as they end in shorter ones.
UNIT_BY_SUFFIX = {
    "_per_s": "a second",
    "_ms": "milliseconds",
    "_s": "seconds",
    "_bytes": "bytes",
    "_ratio": "parts of 1",
}
SHOWN_LENGTH = 60
HINTS_MAXIMUM = 20


class _Required:
    """The type of the mark for keys without a default."""


REQUIRED = _Required()


@dataclass(slots=True, frozen=True)
class Field:
    """One key of a section."""

    # The key; it ends in the unit of its value.
    key: str
    # The name of the registered kind of value.
    kind: str
    # The value if the key is absent; REQUIRED if it must be there.
    default: Any = REQUIRED
    # The smallest value allowed; None without a bound.
    minimum: float | None = None
    # The largest value allowed; None without a bound.
    maximum: float | None = None
    # The values allowed; empty without such a list.
    choices: tuple[str, ...] = ()


def parse_fields(
    section: IniSection, fields: Sequence[Field]
) -> tuple[dict[str, Any], list[CheckProblem]]:
    """Read a section's values and find every fault.

    Parameters
    ----------
    section : IniSection
        The section as it stands in the document.
    fields : sequence of Field
        All keys that the section may have.

    Returns
    -------
    tuple of dict and list of CheckProblem
        The values by key, with the default where a value is absent or faulty.
    """
    problems: list[CheckProblem] = []
    values: dict[str, Any] = {}
    known = {field.key for field in fields}
    for key, entry in section.entries.items():
        if key not in known:
            message = _unknown_key_message(key, known, len(problems))
            problems.append(UnknownKey(message, entry.line, section.name, key))
    for field in fields:
        values[field.key] = None if field.default is REQUIRED else field.default
        entry = section.entries.get(field.key)
        if entry is not None:
            _read_entry(field, entry, section, values, problems)
        elif field.default is REQUIRED:
            problems.append(
                MissingKey(
                    "the key must be there", section.line, section.name, field.key
                )
            )
    return values, problems


def _read_entry(
    field: Field,
    entry: IniEntry,
    section: IniSection,
    values: dict[str, Any],
    problems: list[CheckProblem],
) -> None:
    place = (entry.line, section.name, field.key)
    try:
        value = value_kind(field.kind)(entry.value)
    except ValueError as error:
        message = f"{_shown(entry.value)}: {error}{_unit_note(field)}"
        problems.append(BadValue(message, *place))
        return
    if field.choices and value not in field.choices:
        choices = ", ".join(field.choices)
        message = f"{_shown(entry.value)}: write one of {choices}"
        problems.append(BadValue(message, *place))
        return
    below = field.minimum is not None and value < field.minimum
    above = field.maximum is not None and value > field.maximum
    if below or above:
        bounds = f"{field.minimum} to {field.maximum}"
        problems.append(OutOfRange(f"{value}: allowed is {bounds}", *place))
        return
    values[field.key] = value


def _unknown_key_message(key: str, known: set[str], fault_count: int) -> str:
    # Looking for a near key is slow; a document full of faults must not hold up
    # the entry instance that checks it.
    near: list[str] = []
    if fault_count < HINTS_MAXIMUM and len(key) <= SHOWN_LENGTH:
        near = difflib.get_close_matches(key, sorted(known), n=1)
    hint = f"did you mean {near[0]}? " if near else ""
    return f"{hint}the keys here are {', '.join(sorted(known))}"


def _unit_note(field: Field) -> str:
    if field.kind not in NUMERIC_KINDS:
        return ""
    for suffix, unit in UNIT_BY_SUFFIX.items():
        if field.key.endswith(suffix):
            return f"; {field.key} counts {unit}"
    return ""


def _shown(value: str) -> str:
    """Return a value for a message, cut if it is long."""
    if len(value) > SHOWN_LENGTH:
        value = value[:SHOWN_LENGTH] + "..."
    return repr(value)
