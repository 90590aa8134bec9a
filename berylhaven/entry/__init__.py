"""One entry instance: its parts put together, started and stopped."""

from berylhaven.entry._entry_instance import EntryInstance

__all__ = ["EntryInstance"]
