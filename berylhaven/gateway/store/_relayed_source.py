"""Reading the store through relays, so that only a few instances call it."""

import urllib.parse
from collections.abc import Callable

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway._store_revision import NO_REVISION, StoreRevision
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.members._members import MemberTable, rank
from berylhaven.gateway.store._fleet_source import (
    FleetSource,
    FleetUpdate,
    HistoryGone,
    SourceUnavailable,
)
from berylhaven.gateway.store._update_codec import decode_update
from berylhaven.gateway.store._update_log import UpdateLog
from berylhaven.http1 import REQUEST_ERRORS, BoundedClient

UPDATES_PATH = "/v1/news"
# A relay sends each configuration to its whole data centre, over a link that may be
# narrow.
UPDATE_ENCODING = "deflate"
HTTP_STATUS_GONE = 410
HTTP_STATUS_OK = 200
MILLISECONDS_PER_SECOND = 1_000
# The number of peers, of any data centre, that are queried for a snapshot if the store
# does not answer.
SNAPSHOT_PEERS_LIMIT = 2
# How long a relay's watch waits. A broken connection is detected only at the end of
# that time, and a change must be active within two seconds. After a lost watch the next
# call must be answered before `STORE_ANSWER_AGE_LIMIT_S` has passed, or all peers query
# the store.
DIRECT_WAIT_S = 1.2
# The wait of a watch for some seconds after a lost one. The store may leave further
# watches unanswered in that time, and shorter ones detect that sooner.
SHORT_DIRECT_WAIT_S = 0.5
SHORT_DIRECT_WAIT_DURATION_S = 3.0
# After so many watches with changes in a row the next change is expected soon, and a
# shorter watch detects sooner that the store does not answer.
FREQUENT_CHANGE_COUNT = 2
# How long a relay holds a request for an update. An isolated relay is detected only at
# the end of that time, after which the store itself is queried at once.
PEER_WAIT_S = 0.8
PEER_TIMEOUT_MARGIN_S = 0.25
# A snapshot holds one configuration, whose value in the store has at most 1 MB, and
# the servers: 3 MB are thousands of them.
UPDATE_LIMIT_BYTES = 4_000_000
# A relay that the store has not answered for this long reports it as unavailable.
STORE_ANSWER_AGE_LIMIT_S = 2.0
# The store is queried directly at this interval if no relay returns updates.
DIRECT_INTERVAL_S = 1.5
# How long an instance that needs a snapshot waits for a relay to read it.
RELAY_WAIT_LIMIT_S = 1.0
RELAY_POLL_INTERVAL_S = 0.1
# An instance that had to query the store itself continues to do so for this time.
DIRECT_DURATION_S = 4.0


class RelayedSource:
    """The store, read directly or through a relay.

    Parameters
    ----------
    direct : FleetSource
        The store.
    members : MemberTable
        The instances.
    log : UpdateLog
        Records the direct answers of the store.
    metrics : GatewayMetrics
        Counts the calls to the store.
    event_log : EventLog
        Receives the failures of other instances.
    """

    __slots__ = (
        "_direct",
        "_members",
        "_log",
        "_metrics",
        "_event_log",
        "_http",
        "_failed_at_s",
        "_direct_until_s",
        "_repeats_direct",
        "_turn",
        "_changed_watch_count",
        "_watched_revision",
    )

    def __init__(
        self,
        direct: FleetSource,
        members: MemberTable,
        log: UpdateLog,
        metrics: GatewayMetrics,
        event_log: EventLog,
    ) -> None:
        self._metrics = metrics
        self._event_log = event_log
        self._direct = direct
        self._members = members
        self._log = log
        self._http = BoundedClient(UPDATE_LIMIT_BYTES)
        # When a direct call to the store last failed, on the hub's clock.
        self._failed_at_s = float("-inf")
        self._direct_until_s = float("-inf")
        # Whether the latest direct watch was lost and is repeated at the store.
        self._repeats_direct = False
        self._turn = 0
        # The number of the latest direct watches in a row that returned changes.
        self._changed_watch_count = 0
        # The revision of the latest direct watch.
        self._watched_revision = NO_REVISION

    def read(self, allow_stale: bool = False) -> FleetUpdate:
        """Return a snapshot, from the store or else from a peer.

        Parameters
        ----------
        allow_stale : bool
            Whether the snapshot may be some seconds old.

        Returns
        -------
        FleetUpdate
            The snapshot.

        Raises
        ------
        SourceUnavailable
            If neither answers.
        """
        try:
            return self._call_store(lambda: self._direct.read(allow_stale))
        except SourceUnavailable as unavailable:
            update = self._fetch_snapshot(self._peers())
            if update is None:
                raise unavailable
            return update

    def wait_for_relay(self, revision: StoreRevision) -> FleetUpdate | None:
        """Return the changes since a revision whose history the store has lost.

        All instances detect the loss at about the same time. Relays read a snapshot,
        which takes a moment, and pass the difference on.

        Parameters
        ----------
        revision : StoreRevision
            The revision that this instance has.

        Returns
        -------
        FleetUpdate or None
            None if this instance is a relay, or no relay has newer changes in time.
        """
        end_s = monotonic_s() + RELAY_WAIT_LIMIT_S
        while True:
            now_s = monotonic_s()
            relays = self._members.relays(now_s)
            if not relays or self._members.own in relays or now_s >= end_s:
                return None
            try:
                update = self._fetch_from_relays(relays, revision)
            except HistoryGone:
                return None
            if update is not None and update.revision > revision:
                return update
            sleep_s(RELAY_POLL_INTERVAL_S)

    def _fetch_snapshot(self, peers: list[Member]) -> FleetUpdate | None:
        """Return the first newer snapshot of the peers, or None.

        A snapshot that is not newer than this instance's state would set it back, or
        make it request a lost history again.
        """
        for peer in peers:
            try:
                update = self._fetch_from_peer(peer, None, 0.0)
            except (SourceUnavailable, HistoryGone):
                continue
            if update.revision > self._members.own.revision:
                return update
        return None

    def watch(self, revision: StoreRevision, wait_s: float) -> FleetUpdate:
        """Return the changes after a revision, waiting for the first.

        Raises
        ------
        SourceUnavailable
            If neither the store nor a peer answers.
        HistoryGone
            If a snapshot must be read.
        """
        now_s = monotonic_s()
        relays = self._members.relays(now_s)
        is_relay = not relays or self._members.own in relays
        if is_relay or self._repeats_direct or now_s < self._direct_until_s:
            return self._watch_as_reader(revision, wait_s)
        self._turn += 1
        relay = relays[self._turn % len(relays)]
        try:
            return self._fetch_from_peer(relay, revision, PEER_WAIT_S)
        except SourceUnavailable as unavailable:
            others = [member for member in relays if member is not relay]
            update = self._fetch_from_relays(others, revision)
            if update is not None:
                return update
            if monotonic_s() - self._failed_at_s < DIRECT_INTERVAL_S:
                raise unavailable
        update = self._watch_direct(revision, 0.0)
        self._direct_until_s = monotonic_s() + DIRECT_DURATION_S
        return update

    def _watch_as_reader(self, revision: StoreRevision, wait_s: float) -> FleetUpdate:
        """Watch the store directly, and repeat the watch there if it is lost.

        Peers are told that the store is unavailable once a second watch is lost. That
        must not wait for another relay, which may have failed too.
        """
        try:
            update = self._watch_direct(revision, min(wait_s, self._direct_wait_s()))
        except SourceUnavailable:
            self._repeats_direct = not self._repeats_direct
            raise
        self._repeats_direct = False
        return update

    def _direct_wait_s(self) -> float:
        """Return how long a direct watch of the store may wait, in seconds."""
        now_s = monotonic_s()
        store_answered_at_s = self._log.store_answered_at_s
        # Peers can query a new relay only once the store has answered it.
        if (
            now_s - store_answered_at_s > STORE_ANSWER_AGE_LIMIT_S
            or self._failed_at_s > store_answered_at_s
        ):
            return 0.0
        has_failed = now_s - self._failed_at_s < SHORT_DIRECT_WAIT_DURATION_S
        if has_failed or self._changed_watch_count >= FREQUENT_CHANGE_COUNT:
            return SHORT_DIRECT_WAIT_S
        return DIRECT_WAIT_S

    def _fetch_from_relays(
        self, relays: list[Member], revision: StoreRevision
    ) -> FleetUpdate | None:
        """Return the update of the first relay that answers without a wait, or None."""
        for relay in relays:
            try:
                return self._fetch_from_peer(relay, revision, 0.0)
            except SourceUnavailable:
                continue
        return None

    def fetch(self, revision: StoreRevision, newest: StoreRevision) -> FleetUpdate:
        """Return the changes after a revision without waiting.

        Parameters
        ----------
        revision : StoreRevision
            The revision that this instance has.
        newest : StoreRevision
            The revision to reach; the store is queried if no relay has reached it.

        Returns
        -------
        FleetUpdate
            The changes.

        Raises
        ------
        SourceUnavailable
            If neither a relay nor the store answers.
        HistoryGone
            If a snapshot must be read.
        """
        relays = self._members.relays(monotonic_s())
        if self._members.own not in relays:
            update = self._fetch_from_relays(relays, revision)
            if update is not None and update.revision >= newest:
                return update
        return self._watch_direct(revision, 0.0)

    def _watch_direct(self, revision: StoreRevision, wait_s: float) -> FleetUpdate:
        update = self._call_store(lambda: self._direct.watch(revision, wait_s))
        has_changed = bool(update.changes) and update.revision > self._watched_revision
        self._changed_watch_count = self._changed_watch_count + 1 if has_changed else 0
        self._watched_revision = update.revision
        return update

    def _call_store(self, call: Callable[[], FleetUpdate]) -> FleetUpdate:
        """Make a call to the store and record its result."""
        try:
            update = call()
        except SourceUnavailable:
            self._failed_at_s = monotonic_s()
            self._metrics.record_store_call(is_answered=False)
            raise
        except HistoryGone:
            # The store did answer.
            self._log.record_store_answer()
            raise
        self._metrics.record_store_call(is_answered=True)
        self._log.record_store_answer()
        return update

    def _peers(self) -> list[Member]:
        own = self._members.own
        live = self._members.live(monotonic_s())
        return sorted(live, key=lambda m: (m.data_centre != own.data_centre, rank(m)))[
            :SNAPSHOT_PEERS_LIMIT
        ]

    def _fetch_from_peer(
        self, peer: Member, revision: StoreRevision | None, wait_s: float
    ) -> FleetUpdate:
        query = {"wait_ms": str(int(wait_s * MILLISECONDS_PER_SECOND))}
        if revision is not None:
            query["after"] = str(revision.number)
            query["era"] = str(revision.era)
        url = f"http://{peer.peers_address}{UPDATES_PATH}?"
        try:
            answer = self._http.request(
                "GET",
                url + urllib.parse.urlencode(query),
                wait_s + PEER_TIMEOUT_MARGIN_S,
                headers={"Accept-Encoding": UPDATE_ENCODING},
            )
        except REQUEST_ERRORS as error:
            raise self._peer_failed(peer, error) from error
        if answer.status == HTTP_STATUS_GONE:
            raise HistoryGone(
                f"{peer.peers_address}: no changes kept after revision {revision}"
            )
        if answer.status != HTTP_STATUS_OK:
            message = f"{peer.peers_address}: status {answer.status}"
            raise SourceUnavailable(message)
        try:
            return decode_update(answer.data, peer.peers_address)
        except ValueError as error:
            raise self._peer_failed(peer, error) from None

    def _peer_failed(self, peer: Member, error: Exception) -> SourceUnavailable:
        self._event_log.write_failure(
            "store", "peer failed", peer=peer.peers_address, reason=str(error)
        )
        return SourceUnavailable(f"{peer.peers_address}: {error}")
