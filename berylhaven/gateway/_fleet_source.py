"""What the gateway reads from the platform, as typed values."""

from dataclasses import dataclass
from typing import Protocol

from berylhaven.gateway._server_record import ServerEntry
from berylhaven.gateway._settings import StoreSettings
from berylhaven.routes import RoutingConfiguration


class SourceUnavailable(Exception):
    """The source did not answer, or refused to.

    Parameters
    ----------
    message : str
        What was asked and what happened.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class HistoryGone(Exception):
    """The changes since the revision asked for are no longer known."""


@dataclass(slots=True, frozen=True)
class ServerRemoved:
    """The entry of a server is gone."""

    # The server's id.
    server_id: str


@dataclass(slots=True, frozen=True)
class InvalidEntry:
    """An entry could not be read, or names no server to use."""

    # The id under which it stands.
    server_id: str
    # What is wrong with it.
    reason: str


Change = ServerEntry | ServerRemoved | InvalidEntry | RoutingConfiguration


@dataclass(slots=True, frozen=True)
class FleetUpdate:
    """A whole reading, or the changes since a revision."""

    # In their order.
    changes: tuple[Change, ...]
    # From which revision to go on.
    revision: int
    # Whether the teller heard the store again only just before, after an outage.
    is_after_outage: bool = False


class FleetSource(Protocol):
    """Where routes and servers are published."""

    def read(self, allow_stale: bool = False) -> FleetUpdate:
        """Return all that is published.

        Parameters
        ----------
        allow_stale : bool
            Whether a state of some seconds ago will do, which is cheaper to read; the
            changes after its revision follow from `watch`.

        Returns
        -------
        FleetUpdate
            The whole state.

        Raises
        ------
        SourceUnavailable
            If the source does not answer rightly.
        """

    def watch(self, revision: int, wait_s: float) -> FleetUpdate:
        """Return the changes after a revision, waiting for the first.

        Raises
        ------
        SourceUnavailable
            If the source does not answer rightly.
        HistoryGone
            If all must be read anew.
        """

    def reconfigure(self, settings: StoreSettings) -> None:
        """Ask where the settings say from the next call on.

        Parameters
        ----------
        settings : StoreSettings
            The newer settings.
        """
