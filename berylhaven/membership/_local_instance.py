"""The state of this entry instance and its announcements."""

from collections.abc import Callable
from dataclasses import replace

from berylhaven.blackboard import Blackboard
from berylhaven.catalogue import CATALOGUE_SECTION
from berylhaven.clock import monotonic_s
from berylhaven.discovery import BACKEND_SERVERS_SECTION
from berylhaven.membership._announcement import Announcement
from berylhaven.membership._identity import Identity
from berylhaven.settings import InstanceSettings


class LocalInstance:
    """This run of this entry instance.

    Parameters
    ----------
    settings : InstanceSettings
        Settings with the addresses, data centre and firm of the instance.
    identity : Identity
        The identity of this run.
    blackboard : Blackboard
        The blackboard with the active catalogue and the backend servers.
    load_ratio : callable
        Returns the load: calls in flight as a ratio of the concurrency limit, or the
        overload pressure if that is greater.
    """

    __slots__ = (
        "identity",
        "left_at_s",
        "_settings",
        "_blackboard",
        "_load_ratio",
        "_sequence",
        "_started_at_s",
    )

    def __init__(
        self,
        settings: InstanceSettings,
        identity: Identity,
        blackboard: Blackboard,
        load_ratio: Callable[[], float],
    ) -> None:
        # The identity of this run.
        self.identity = identity
        # When the drain began, on the hub's clock; None before that.
        self.left_at_s: float | None = None
        self._settings = settings
        self._blackboard = blackboard
        self._load_ratio = load_ratio
        self._sequence = 0
        self._started_at_s = monotonic_s()

    @property
    def uptime_s(self) -> float:
        """Seconds since the start of this run, on its own clock."""
        return monotonic_s() - self._started_at_s

    @property
    def is_leaving(self) -> bool:
        """Whether the drain has begun."""
        return self.left_at_s is not None

    def leave(self, left_at_s: float) -> None:
        """Begin the drain, unless it has begun; safe in a signal handler.

        Parameters
        ----------
        left_at_s : float
            The time from which the limit of the drain counts, on the hub's clock.
        """
        if self.left_at_s is None:
            self.left_at_s = left_at_s

    @property
    def is_ready(self) -> bool:
        """Whether the instance accepts callers."""
        has_catalogue = self._blackboard.read(CATALOGUE_SECTION) is not None
        # Without backend servers every call would be refused.
        has_servers = self._blackboard.read(BACKEND_SERVERS_SECTION) is not None
        return has_catalogue and has_servers and not self.is_leaving

    def raise_incarnation(self, incarnation: int) -> None:
        """Adopt a higher incarnation; the nonce, which call ids contain, stays.

        Parameters
        ----------
        incarnation : int
            An incarnation above the one that peers store for this address.
        """
        self.identity = replace(self.identity, incarnation=incarnation)

    def next_announcement(self) -> Announcement:
        """Return a new announcement that supersedes all earlier ones."""
        self._sequence += 1
        return self.announcement()

    def announcement(self) -> Announcement:
        """Return the current state under the latest sequence number."""
        reading = self._blackboard.read(CATALOGUE_SECTION)
        return Announcement(
            peers_address=self._settings.peers_address,
            callers_address=self._settings.callers_address,
            data_centre=self._settings.data_centre,
            firm=self._settings.firm,
            incarnation=self.identity.incarnation,
            nonce=self.identity.nonce,
            sequence=self._sequence,
            is_ready=self.is_ready,
            is_leaving=self.is_leaving,
            load_ratio=float(self._load_ratio()),
            uptime_s=int(self.uptime_s),
            catalogue_revision=reading.value.revision if reading else 0,
            catalogue_digest=reading.value.digest if reading else "",
        )
