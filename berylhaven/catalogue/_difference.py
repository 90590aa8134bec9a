"""Differences between two catalogues, by section and key."""

import enum
from dataclasses import asdict, dataclass, fields

from berylhaven.catalogue._model import Catalogue, FirmEntry, FleetEntry, ServiceEntry

Entry = FleetEntry | FirmEntry | ServiceEntry

# Keys whose name differs from that of the entry's field.
KEY_BY_FIELD = {"call_class": "class"}
SECTION_PRESENT = "present"


@dataclass(slots=True, frozen=True)
class CatalogueDifference:
    """One key or section that differs between two catalogues."""

    # The section's name as written in the catalogue.
    section: str
    # The key; None if the whole section was added or removed.
    key: str | None
    # The old value as text; None if the section was added.
    old_value: str | None
    # The new value as text; None if the section was removed.
    new_value: str | None

    def to_json(self) -> dict:
        """Return the difference as a JSON object."""
        return asdict(self)


def catalogue_differences(old: Catalogue, new: Catalogue) -> list[CatalogueDifference]:
    """Compare the parsed values of two catalogues.

    Parameters
    ----------
    old : Catalogue
        The old catalogue.
    new : Catalogue
        The new catalogue.

    Returns
    -------
    list of CatalogueDifference
        Sorted by section name; empty if all values are equal.
    """
    old_entries = _entries(old)
    new_entries = _entries(new)
    differences: list[CatalogueDifference] = []
    for section in sorted(old_entries.keys() | new_entries.keys()):
        before = old_entries.get(section)
        after = new_entries.get(section)
        if before is None:
            differences.append(
                CatalogueDifference(section, None, None, SECTION_PRESENT)
            )
        elif after is None:
            differences.append(
                CatalogueDifference(section, None, SECTION_PRESENT, None)
            )
        else:
            differences += _entry_differences(section, before, after)
    return differences


def _entries(catalogue: Catalogue) -> dict[str, Entry]:
    entries: dict[str, Entry] = {"fleet": catalogue.fleet}
    entries |= {f"firm {name}": firm for name, firm in catalogue.firms.items()}
    entries |= {f"service {name}": item for name, item in catalogue.services.items()}
    return entries


def _entry_differences(
    section: str, before: Entry, after: Entry
) -> list[CatalogueDifference]:
    differences = []
    for field in fields(before):
        old_value = getattr(before, field.name)
        new_value = getattr(after, field.name)
        if old_value != new_value:
            key = KEY_BY_FIELD.get(field.name, field.name)
            differences.append(
                CatalogueDifference(
                    section, key, _format_value(old_value), _format_value(new_value)
                )
            )
    return differences


def _format_value(value: object) -> str:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return ", ".join(map(str, value))
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
