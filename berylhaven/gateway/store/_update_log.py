"""The latest updates, kept for peers that read them from this instance."""

from collections import deque

import eventlet
import eventlet.event

from berylhaven.clock import monotonic_s
from berylhaven.gateway._store_revision import StoreRevision
from berylhaven.gateway.store._fleet_source import (
    FleetUpdate,
    HistoryGone,
    without_superseded,
)

# Updates that are kept; a peer that is further behind reads a snapshot.
UPDATES_LIMIT = 200


class UpdateLog:
    """Updates by revision, and the time of the store's latest answer."""

    __slots__ = (
        "_updates",
        "_first_revision",
        "_last_of_previous_era",
        "revision",
        "_changed",
        "store_answered_at_s",
    )

    def __init__(self) -> None:
        self._updates: deque[FleetUpdate] = deque(maxlen=UPDATES_LIMIT)
        # Updates after this revision are kept.
        self._first_revision: StoreRevision | None = None
        # The newest revision before the current era; None without one.
        self._last_of_previous_era: StoreRevision | None = None
        # The newest revision; None before the first snapshot.
        self.revision: StoreRevision | None = None
        self._changed = eventlet.event.Event()
        # When the store last answered this instance, on the hub's clock.
        self.store_answered_at_s = float("-inf")

    def record_store_answer(self) -> None:
        """Record that the store has answered this instance now."""
        self.store_answered_at_s = monotonic_s()

    def reset(self, revision: StoreRevision) -> None:
        """Clear the log after a snapshot.

        Parameters
        ----------
        revision : StoreRevision
            The snapshot's revision; updates after it are kept.
        """
        self._updates.clear()
        self._last_of_previous_era = None
        self._first_revision = self.revision = revision
        self._wake()

    def add(self, update: FleetUpdate) -> None:
        """Append an update.

        Parameters
        ----------
        update : FleetUpdate
            Newer than the kept ones. The first one of an era has the difference from
            the newest revision before it.
        """
        is_new_era = self.revision is not None and update.revision.era > (
            self.revision.era
        )
        if is_new_era:
            self._last_of_previous_era = self.revision
        if update.changes:
            if len(self._updates) == UPDATES_LIMIT:
                self._first_revision = self._updates[0].revision
            self._updates.append(update)
        self.revision = update.revision
        if update.changes or is_new_era:
            self._wake()

    def after(self, revision: StoreRevision) -> FleetUpdate:
        """Return the changes after a revision.

        Parameters
        ----------
        revision : StoreRevision
            The revision that the peer has.

        Returns
        -------
        FleetUpdate
            With no changes if there are none.

        Raises
        ------
        HistoryGone
            If these changes are no longer kept, or the peer had more changes of an
            earlier era than this instance.
        """
        if not self._covers(revision):
            raise HistoryGone(f"changes after revision {revision} are no longer kept")
        newer = [update for update in self._updates if update.revision > revision]
        changes = without_superseded(
            change for update in newer for change in update.changes
        )
        return FleetUpdate(changes, max(self.revision, revision))

    def _covers(self, revision: StoreRevision) -> bool:
        """Return whether the kept updates lead from a revision to the newest one."""
        if self._first_revision is None or revision < self._first_revision:
            return False
        if revision.era >= self.revision.era:
            return True
        # Changes that this instance did not have when the era ended cannot be undone by
        # its difference.
        return revision <= self._last_of_previous_era

    def wait_after(self, revision: StoreRevision, wait_s: float) -> FleetUpdate:
        """Return the changes after a revision, waiting for the first.

        Parameters
        ----------
        revision : StoreRevision
            The revision that the peer has.
        wait_s : float
            The longest time to wait, in seconds.

        Returns
        -------
        FleetUpdate
            With no changes if none arrived in time.

        Raises
        ------
        HistoryGone
            If these changes are no longer kept.
        """
        update = self.after(revision)
        if not update.changes and update.revision.era == revision.era:
            with eventlet.Timeout(wait_s, False):
                self._changed.wait()
            update = self.after(revision)
        return update

    def end_waits(self) -> None:
        """Let waiting peers go on without changes, since none can be told of now."""
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send()
