"""Reading the store by few instances, and its news from those by the others."""

import urllib.parse
from collections.abc import Callable

import eventlet
import urllib3

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.gateway._fleet_source import (
    FleetSource,
    FleetUpdate,
    HistoryGone,
    SourceUnavailable,
)
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway._members import Member, MemberTable, rank
from berylhaven.gateway._update_codec import decode_update
from berylhaven.gateway._update_log import UpdateLog

UPDATES_PATH = "/v1/news"
GONE = 410
DONE = 200
MILLISECONDS_PER_SECOND = 1_000
# Peers of any data centre that are asked for the whole state if the store is silent.
ASKED_PEERS_LIMIT = 2
# How long a reader's watch waits. A silent connection shows only by the end of that
# time, and a change must be in force within two seconds. After a lost watch the next
# call must be answered before `HEARD_LIMIT_S` is over, or all peers ask the store.
DIRECT_WAIT_S = 1.2
# Where one watch was lost, the store may lose others without a word for some seconds:
# shorter ones show it sooner.
CAUTIOUS_WAIT_S = 0.5
CAUTIOUS_FOR_S = 3.0
# How long a peer holds a question for news. A peer that is cut off shows only by the
# end of that time, after which the store itself is asked at once.
PEER_WAIT_S = 0.8
PEER_MARGIN_S = 0.25
# A reader that the store has not answered for this long says that it knows nothing.
STORE_ANSWER_AGE_LIMIT_S = 2.0
# Without a reader that hears the store, it is asked directly this often.
DIRECT_EVERY_S = 1.5
# How long an instance that would have to read all anew waits for a reader to do so.
READERS_PATIENCE_S = 1.0
READERS_LOOK_EVERY_S = 0.1
# An instance that had to ask the store itself goes on to do so for this time.
DIRECT_FOR_S = 4.0


class RelayedSource:
    """The store, read directly or by way of a peer.

    Parameters
    ----------
    direct : FleetSource
        The store.
    members : MemberTable
        The instances.
    log : UpdateLog
        Told when the store has answered directly.
    metrics : GatewayMetrics
        Counts the calls to the store.
    """

    __slots__ = (
        "_direct",
        "_members",
        "_log",
        "_metrics",
        "_http",
        "_failed_at_s",
        "_direct_until_s",
        "_turn",
    )

    def __init__(
        self,
        direct: FleetSource,
        members: MemberTable,
        log: UpdateLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._metrics = metrics
        self._direct = direct
        self._members = members
        self._log = log
        self._http = urllib3.PoolManager(maxsize=1, retries=False)
        # When the store was last asked directly without success.
        self._failed_at_s = float("-inf")
        self._direct_until_s = float("-inf")
        self._turn = 0

    def read(self, allow_stale: bool = False) -> FleetUpdate:
        """Return all that is published, from the store or else from a peer.

        Parameters
        ----------
        allow_stale : bool
            Whether the store may answer with a state of some seconds ago.

        Returns
        -------
        FleetUpdate
            The whole state.

        Raises
        ------
        SourceUnavailable
            If neither answers.
        """
        try:
            return self._ask_store(lambda: self._direct.read(allow_stale))
        except SourceUnavailable as unavailable:
            news = self._ask_each(self._peers())
            if news is None:
                raise unavailable
            return news

    def wait_for_relay(self, revision: int) -> FleetUpdate | None:
        """Return the changes since a revision whose history the store has lost.

        All instances learn of the loss at about the same time. Readers read all anew,
        which takes them a moment, and tell the difference.

        Parameters
        ----------
        revision : int
            What this instance knows.

        Returns
        -------
        FleetUpdate or None
            None if this instance is a reader, or no reader knows more in time.
        """
        end_s = monotonic_s() + READERS_PATIENCE_S
        while True:
            now_s = monotonic_s()
            readers = self._members.relays(now_s)
            if not readers or self._members.own in readers or now_s >= end_s:
                return None
            try:
                news = self._ask_at_once(readers, revision)
            except HistoryGone:
                return None
            if news is not None and news.revision > revision:
                return news
            sleep_s(READERS_LOOK_EVERY_S)

    def _ask_each(self, peers: list[Member]) -> FleetUpdate | None:
        """Return the whole state from the first peer that tells it, or None.

        One that knows no more than this instance would make it go back, or ask anew
        for a history that is lost.
        """
        for peer in peers:
            try:
                news = self._ask(peer, None, 0.0)
            except (SourceUnavailable, HistoryGone):
                continue
            if news.revision > self._members.own.revision:
                return news
        return None

    def watch(self, revision: int, wait_s: float) -> FleetUpdate:
        """Return the changes after a revision, waiting for the first.

        Raises
        ------
        SourceUnavailable
            If neither the store nor a peer answers.
        HistoryGone
            If all must be read anew.
        """
        now_s = monotonic_s()
        readers = self._members.relays(now_s)
        is_reader = not readers or self._members.own in readers
        if is_reader or now_s < self._direct_until_s:
            return self._watch_direct(revision, min(wait_s, self._direct_wait_s()))
        self._turn += 1
        reader = readers[self._turn % len(readers)]
        try:
            return self._ask(reader, revision, PEER_WAIT_S)
        except SourceUnavailable as unavailable:
            others = [member for member in readers if member is not reader]
            news = self._ask_at_once(others, revision)
            if news is not None:
                return news
            if monotonic_s() - self._failed_at_s < DIRECT_EVERY_S:
                raise unavailable
        news = self._watch_direct(revision, 0.0)
        self._direct_until_s = monotonic_s() + DIRECT_FOR_S
        return news

    def _direct_wait_s(self) -> float:
        """Return how long a watch of the store itself may wait."""
        now_s = monotonic_s()
        store_answered_at_s = self._log.store_answered_at_s
        # Peers may ask a new reader once the store has answered it.
        if (
            now_s - store_answered_at_s > STORE_ANSWER_AGE_LIMIT_S
            or self._failed_at_s > store_answered_at_s
        ):
            return 0.0
        if now_s - self._failed_at_s < CAUTIOUS_FOR_S:
            return CAUTIOUS_WAIT_S
        return DIRECT_WAIT_S

    def _ask_at_once(self, readers: list[Member], revision: int) -> FleetUpdate | None:
        """Return the news of the first reader that answers at once, or None."""
        for reader in readers:
            try:
                return self._ask(reader, revision, 0.0)
            except SourceUnavailable:
                continue
        return None

    def fetch(self, revision: int, newest: int) -> FleetUpdate:
        """Return the changes after a revision without waiting.

        Parameters
        ----------
        revision : int
            What this instance knows.
        newest : int
            What must be known at least; the store is asked if no reader knows it.

        Returns
        -------
        FleetUpdate
            The changes.

        Raises
        ------
        SourceUnavailable
            If neither a reader nor the store answers.
        HistoryGone
            If all must be read anew.
        """
        readers = self._members.relays(monotonic_s())
        if self._members.own not in readers:
            news = self._ask_at_once(readers, revision)
            if news is not None and news.revision >= newest:
                return news
        return self._watch_direct(revision, 0.0)

    def _watch_direct(self, revision: int, wait_s: float) -> FleetUpdate:
        return self._ask_store(lambda: self._direct.watch(revision, wait_s))

    def _ask_store(self, call: Callable[[], FleetUpdate]) -> FleetUpdate:
        """Make a call to the store, and remember how it ended."""
        try:
            news = call()
        except SourceUnavailable:
            self._failed_at_s = monotonic_s()
            self._metrics.record_store_call(is_answered=False)
            raise
        except HistoryGone:
            # This is an answer too.
            self._log.record_store_answer()
            raise
        self._metrics.record_store_call(is_answered=True)
        self._log.record_store_answer()
        return news

    def _peers(self) -> list[Member]:
        own = self._members.own
        live = self._members.live(monotonic_s())
        return sorted(live, key=lambda m: (m.data_centre != own.data_centre, rank(m)))[
            :ASKED_PEERS_LIMIT
        ]

    def _ask(self, reader: Member, revision: int | None, wait_s: float) -> FleetUpdate:
        query = {"wait_ms": str(int(wait_s * MILLISECONDS_PER_SECOND))}
        if revision is not None:
            query["after"] = str(revision)
        url = f"http://{reader.peers_address}{UPDATES_PATH}?"
        late = SourceUnavailable(f"{reader.peers_address}: no answer")
        try:
            with eventlet.Timeout(wait_s + PEER_MARGIN_S, late):
                answer = self._http.request("GET", url + urllib.parse.urlencode(query))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise SourceUnavailable(f"{reader.peers_address}: {error}") from error
        if answer.status == GONE:
            raise HistoryGone(f"{reader.peers_address}: changes after {revision}")
        if answer.status != DONE:
            message = f"{reader.peers_address}: status {answer.status}"
            raise SourceUnavailable(message)
        try:
            return decode_update(answer.data)
        except ValueError as error:
            raise SourceUnavailable(f"{reader.peers_address}: {error}") from None
