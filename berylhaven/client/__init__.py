"""The client library: locates entry instances, calls services, retries safely."""

from berylhaven.client._call_result import CallResult
from berylhaven.client._client import Client, ClientSettings
from berylhaven.client._located_entries import (
    EntryAddress,
    LocatedEntries,
    NoEntryInstance,
)

__all__ = [
    "CallResult",
    "Client",
    "ClientSettings",
    "EntryAddress",
    "LocatedEntries",
    "NoEntryInstance",
]
