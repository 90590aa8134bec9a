"""One entry instance: constructs, starts and stops its components."""

from berylhaven.entry._entry_instance import EntryInstance

__all__ = ["EntryInstance"]
