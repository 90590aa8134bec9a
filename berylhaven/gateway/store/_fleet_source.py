"""The types of what the gateway reads from the platform."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from berylhaven.gateway._settings import StoreSettings
from berylhaven.gateway._store_revision import StoreRevision
from berylhaven.gateway.servers._server_record import ServerEntry
from berylhaven.routes import RoutingConfiguration


class SourceUnavailable(Exception):
    """The source did not answer, or refused the request.

    Parameters
    ----------
    message : str
        The request and its failure.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class HistoryGone(Exception):
    """The changes since the requested revision are no longer kept, or never existed."""


@dataclass(slots=True, frozen=True)
class ServerRemoved:
    """The entry of a backend server was removed."""

    # The server's id.
    server_id: str


@dataclass(slots=True, frozen=True)
class InvalidEntry:
    """An entry could not be decoded, or has no usable backend server."""

    # The id in the entry's key, or the key itself.
    server_id: str
    # Why it is invalid.
    reason: str


@dataclass(slots=True, frozen=True)
class DataCentreEvacuated:
    """An operator took the servers of a data centre out of service."""

    # The data centre, as servers' entries name it.
    data_centre: str


@dataclass(slots=True, frozen=True)
class DataCentreReturned:
    """An operator returned the servers of a data centre to service."""

    # The data centre, as servers' entries name it.
    data_centre: str


@dataclass(slots=True, frozen=True)
class InvalidEvacuation:
    """The evacuation of a data centre could not be decoded; its former state holds."""

    # The data centre, as servers' entries name it.
    data_centre: str
    # Why it is invalid.
    reason: str


@dataclass(slots=True, frozen=True)
class EvacuationsListed:
    """All data centres that a snapshot lists as evacuated; the others are not.

    It is part of the difference to a snapshot. A peer whose revision lies between both
    may have evacuations, or lack some, that do not differ between them.
    """

    # The data centres, as servers' entries name them.
    data_centres: tuple[str, ...]


EvacuationChange = (
    DataCentreEvacuated | DataCentreReturned | InvalidEvacuation | EvacuationsListed
)
Change = (
    ServerEntry | ServerRemoved | InvalidEntry | RoutingConfiguration | EvacuationChange
)


@dataclass(slots=True, frozen=True)
class OutageAge:
    """How long ago an outage of the store began and ended, in seconds."""

    # Since the last answer before it.
    began_age_s: float
    # Since the first answer after it.
    ended_age_s: float


@dataclass(slots=True, frozen=True)
class FleetUpdate:
    """A snapshot, or the changes since a revision."""

    # In the order in which they were made.
    changes: tuple[Change, ...]
    # The revision after which the next watch continues.
    revision: StoreRevision
    # Whether entries may lack that expired in an outage of the store, by the sender's
    # evidence.
    is_after_outage: bool = False
    # The address of the peer that sent it; empty if the store did.
    sender: str = ""
    # How old the sender's latest answer of the store was, in seconds.
    store_answer_age_s: float = 0.0
    # Whether its evacuations are known; instances of earlier releases send none.
    has_evacuations: bool = True
    # Why changes of it were skipped, one sentence each.
    skipped: tuple[str, ...] = ()
    # Whether no change of a known kind was skipped.
    is_complete: bool = True
    # The outage; None if there was none, or from instances of earlier releases.
    outage_age: OutageAge | None = None


def without_superseded(changes: Iterable[Change]) -> tuple[Change, ...]:
    """Return changes without the configurations that a newer one replaces.

    Parameters
    ----------
    changes : iterable of Change
        In the order in which they were made.

    Returns
    -------
    tuple of Change
        With at most one configuration. A restored store may list an older version last.
    """
    changes = tuple(changes)
    configurations = [c for c in changes if isinstance(c, RoutingConfiguration)]
    newest = max(configurations, key=lambda c: c.version, default=None)
    return tuple(
        change
        for change in changes
        if change is newest or not isinstance(change, RoutingConfiguration)
    )


class FleetSource(Protocol):
    """The source of routes and backend servers."""

    def read(self, allow_stale: bool = False) -> FleetUpdate:
        """Return a snapshot of all routes and backend servers.

        Parameters
        ----------
        allow_stale : bool
            Whether the snapshot may be some seconds old, which is cheaper to read; the
            changes after its revision follow from `watch`.

        Returns
        -------
        FleetUpdate
            The snapshot.

        Raises
        ------
        SourceUnavailable
            If the source fails or its answer is invalid.
        """

    def watch(self, revision: StoreRevision, wait_s: float) -> FleetUpdate:
        """Return the changes after a revision, waiting for the first.

        The update has the era of the revision.

        Raises
        ------
        SourceUnavailable
            If the source fails or its answer is invalid.
        HistoryGone
            If a snapshot must be read, also because the store is in another era.
        """

    def reconfigure(self, settings: StoreSettings) -> None:
        """Apply newer settings from the next call on.

        Parameters
        ----------
        settings : StoreSettings
            The newer settings.
        """
