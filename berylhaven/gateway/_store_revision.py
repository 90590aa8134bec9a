"""Revisions of the store, ordered by era first."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class StoreRevision:
    """A revision number within an era of the store.

    A store that is restored from an older copy begins a new era and gives out numbers
    again, so numbers of different eras must not be compared.
    """

    # Rises by one each time the store is restored; 0 if the store sends none.
    era: int
    # The revision counter within the era.
    number: int


# Lower than the revision of any snapshot.
NO_REVISION = StoreRevision(0, 0)
