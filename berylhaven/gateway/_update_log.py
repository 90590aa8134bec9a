"""The latest changes, kept for instances that read them from this one."""

from collections import deque

import eventlet
import eventlet.event

from berylhaven.clock import monotonic_s
from berylhaven.gateway._fleet_source import FleetUpdate, HistoryGone

# Changes that are kept; whoever is further behind reads all anew.
NEWS_LIMIT = 200


class UpdateLog:
    """Changes by revision, and when the store was last heard."""

    __slots__ = (
        "_news",
        "_first_revision",
        "revision",
        "_changed",
        "store_answered_at_s",
    )

    def __init__(self) -> None:
        self._news: deque[FleetUpdate] = deque(maxlen=NEWS_LIMIT)
        # Changes after this revision are kept.
        self._first_revision: int | None = None
        # The newest revision; None before the first reading.
        self.revision: int | None = None
        self._changed = eventlet.event.Event()
        # When the store last answered this instance, on the hub's clock.
        self.store_answered_at_s = float("-inf")

    def record_store_answer(self) -> None:
        """Take in that the store has answered this instance now."""
        self.store_answered_at_s = monotonic_s()

    def reset(self, revision: int) -> None:
        """Take in that all was read as of a revision.

        Parameters
        ----------
        revision : int
            From which changes are kept.
        """
        self._news.clear()
        self._first_revision = self.revision = revision
        self._wake()

    def add(self, news: FleetUpdate) -> None:
        """Keep changes.

        Parameters
        ----------
        news : FleetUpdate
            Newer than what is kept.
        """
        if news.changes:
            if len(self._news) == NEWS_LIMIT:
                self._first_revision = self._news[0].revision
            self._news.append(news)
        self.revision = news.revision
        if news.changes:
            self._wake()

    def after(self, revision: int) -> FleetUpdate:
        """Return the changes after a revision.

        Parameters
        ----------
        revision : int
            What the reader knows.

        Returns
        -------
        FleetUpdate
            Without changes if there are none.

        Raises
        ------
        HistoryGone
            If they are no longer kept.
        """
        if self._first_revision is None or revision < self._first_revision:
            raise HistoryGone(f"changes after {revision} are not kept")
        newer = [news for news in self._news if news.revision > revision]
        changes = tuple(change for news in newer for change in news.changes)
        return FleetUpdate(changes, max(self.revision, revision))

    def wait_after(self, revision: int, wait_s: float) -> FleetUpdate:
        """Return the changes after a revision, waiting for the first.

        Parameters
        ----------
        revision : int
            What the reader knows.
        wait_s : float
            How long to wait at most.

        Returns
        -------
        FleetUpdate
            Without changes if none came.

        Raises
        ------
        HistoryGone
            If they are no longer kept.
        """
        news = self.after(revision)
        if not news.changes:
            with eventlet.Timeout(wait_s, False):
                self._changed.wait()
            news = self.after(revision)
        return news

    def _wake(self) -> None:
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send()
