"""Following the routes and backend servers that the platform publishes."""

import math
from random import Random

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway._store_revision import StoreRevision
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.servers._server_record import ServerEntry
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.store._fleet_source import (
    Change,
    DataCentreEvacuated,
    DataCentreReturned,
    EvacuationChange,
    EvacuationsListed,
    FleetUpdate,
    HistoryGone,
    InvalidEntry,
    InvalidEvacuation,
    OutageAge,
    ServerRemoved,
    SourceUnavailable,
    without_superseded,
)
from berylhaven.gateway.store._relayed_source import RelayedSource
from berylhaven.gateway.store._store_outages import UNKNOWN_OUTAGE_AGE, StoreOutages
from berylhaven.gateway.store._update_log import UpdateLog
from berylhaven.http1 import ConnectionPool
from berylhaven.routes import RoutingConfiguration

# The longest wait of a watch for the first change.
WATCH_WAIT_S = 4.0
# The pause after a watch with changes, so that a burst of them is read with one call.
WATCH_PAUSE_S = 0.4
# The first watch is delayed by at most this until relays are known, since all
# instances may be starting at once.
FIRST_WATCH_DELAY_LIMIT_S = 1.5
PEERS_CHECK_INTERVAL_S = 0.1
# If a peer has a newer revision for this long, an update was missed here.
BEHIND_LIMIT_S = 0.5
BEHIND_CHECK_INTERVAL_S = 0.1
# The base and the limit of the growing delay after failed calls.
RETRY_BASE_S = 0.1
RETRY_LIMIT_S = 0.5
# After a change that could not be decoded, a snapshot is read at a random time within
# this one, since all instances may have received it, and again until one is complete.
REPAIR_INTERVAL_S = 5.0
# A configuration may have a problem in each of its parts.
LOGGED_PROBLEMS_LIMIT = 20


class FleetFollower:
    """Reads a snapshot, then follows the changes.

    Parameters
    ----------
    source : RelayedSource
        The platform's store, or a relay of its updates.
    members : MemberTable
        The instances with their revisions.
    log : UpdateLog
        Keeps the updates for peers.
    routes : ActiveRoutes
        Receives the configurations.
    table : ServerTable
        Receives the backend servers.
    pool : ConnectionPool
        The connections; idle ones are closed when their server is removed.
    random : random.Random
        The source of random numbers.
    event_log : EventLog
        Receives an event for each change.
    """

    __slots__ = (
        "_source",
        "_routes",
        "_table",
        "_pool",
        "_random",
        "_event_log",
        "_revision",
        "_needs_snapshot",
        "_first_watch_by_s",
        "_failure_count",
        "_outages",
        "_expired_server_ids",
        "_repair_at_s",
        "_members",
        "_log",
    )

    def __init__(
        self,
        source: RelayedSource,
        members: MemberTable,
        log: UpdateLog,
        routes: ActiveRoutes,
        table: ServerTable,
        pool: ConnectionPool,
        random: Random,
        event_log: EventLog,
    ) -> None:
        self._source = source
        self._members = members
        self._log = log
        self._routes = routes
        self._table = table
        self._pool = pool
        self._random = random
        self._event_log = event_log
        # None before the first snapshot.
        self._revision: StoreRevision | None = None
        self._needs_snapshot = True
        # Until when the first watch is delayed for peers, on the hub's clock.
        self._first_watch_by_s = float("-inf")
        self._failure_count = 0
        self._outages = StoreOutages()
        # Servers whose removal was seen shortly after an outage of the store.
        self._expired_server_ids: set[str] = set()
        # When a snapshot is to replace skipped changes, on the hub's clock.
        self._repair_at_s = math.inf

    @property
    def is_store_unavailable(self) -> bool:
        """Whether at least two calls to the store failed in a row.

        A single failed watch is retried at once and is not reported to peers.
        """
        return self._failure_count > 1

    @property
    def is_after_outage(self) -> bool:
        """Whether entries that the store lacks may be written again soon."""
        if not self._outages.is_in_grace:
            return False
        return not self._outages.is_local(self._members.live(monotonic_s()))

    @property
    def outage_age(self) -> OutageAge | None:
        """How long ago the outage was after which entries may lack; None without."""
        return self._outages.age if self.is_after_outage else None

    def snapshot(self) -> FleetUpdate:
        """Return a snapshot for a peer that cannot read the store."""
        now_s = monotonic_s()
        changes: list[Change] = [r.reported_entry(now_s) for r in self._table.records()]
        if self._routes.configuration is not None:
            changes.append(self._routes.configuration)
        evacuations = self._table.evacuations
        awaiting = list(filter(evacuations.awaits_return, evacuations.data_centres))
        changes += map(DataCentreEvacuated, evacuations.data_centres)
        # The peer holds them too, since no later update repeats the return.
        changes += map(DataCentreReturned, awaiting)
        return FleetUpdate(
            tuple(changes), self._members.own.revision, is_after_outage=bool(awaiting)
        )

    def run(self) -> None:
        """Follow the store without end."""
        while True:
            sleep_s(self.step())

    def step(self) -> float:
        """Make one call and apply its changes.

        Returns
        -------
        float
            The time to wait before the next step, in seconds.
        """
        try:
            if self._needs_snapshot:
                return 0.0 if self._read_snapshot() else RETRY_LIMIT_S
            if self._awaits_peers():
                return PEERS_CHECK_INTERVAL_S
            update = self._source.watch(self._revision, WATCH_WAIT_S)
        except HistoryGone as error:
            self._record_history_gone(error)
            update = self._source.wait_for_relay(self._revision)
            if update is None:
                self._needs_snapshot = True
                return 0.0
        except SourceUnavailable as error:
            return self._record_failure(error)
        self._record_recovery()
        self._outages.record_answer(update.store_answer_age_s)
        self._apply_newer(update)
        self._set_revision(update.revision)
        return WATCH_PAUSE_S if update.changes else 0.0

    def _awaits_peers(self) -> bool:
        """Return whether the first watch is still delayed for a second relay."""
        now_s = monotonic_s()
        is_alone = not self._members.expects_peers or now_s >= self._first_watch_by_s
        return not is_alone and len(self._members.relays(now_s)) < 2

    def _read_snapshot(self) -> bool:
        """Apply a snapshot; return False if it is older than the known state."""
        # After a loss of history, a stale snapshot would need the lost history again.
        is_first = self._revision is None
        update = self._source.read(allow_stale=is_first)
        self._record_recovery()
        if not update.sender:
            self._outages.record_answer(update.store_answer_age_s)
        self._needs_snapshot = False
        if not is_first and update.revision < self._revision:
            # Newer changes came from a relay while the snapshot was read.
            return False
        self._record_era(update.revision)
        difference = self._difference(update)
        self._apply_snapshot(update)
        if is_first or not update.is_complete:
            self._log.reset(update.revision)
        else:
            # So that peers that read from this instance need no snapshot.
            self._log.add(difference)
        if update.is_complete:
            self._repair_at_s = math.inf
        self._set_revision(update.revision)
        if is_first:
            self._first_watch_by_s = monotonic_s() + FIRST_WATCH_DELAY_LIMIT_S
        return True

    def run_catch_up(self) -> None:
        """Remove expired entries after the grace period, and catch up with peers.

        It runs concurrently with the watch, whose wait may be longer than the delay
        that is allowed for either.
        """
        behind_since_s: float | None = None
        while True:
            sleep_s(BEHIND_CHECK_INTERVAL_S)
            self._remove_expired()
            self._end_evacuations()
            self._update_store_available()
            now_s = monotonic_s()
            if now_s >= self._repair_at_s:
                self._repair_at_s = now_s + REPAIR_INTERVAL_S
                self._catch_up_by_snapshot()
            newest = self._members.newest_revision(now_s)
            is_behind = self._revision is not None and newest > self._revision
            if not is_behind or self._awaits_peers():
                behind_since_s = None
            elif behind_since_s is None:
                behind_since_s = now_s
            elif now_s - behind_since_s >= BEHIND_LIMIT_S:
                behind_since_s = None
                self._catch_up(newest)

    def _catch_up(self, newest: StoreRevision) -> None:
        self._event_log.write(
            "store", "behind", **self._position(), newest=newest.number
        )
        try:
            update = self._source.fetch(self._revision, newest)
            self._apply_newer(update)
        except HistoryGone as error:
            # The watch may be waiting on a connection that no longer receives anything.
            self._record_history_gone(error)
            update = self._source.wait_for_relay(self._revision)
            if update is None:
                self._catch_up_by_snapshot()
            else:
                self._apply_newer(update)
        except SourceUnavailable as error:
            self._event_log.write_failure("store", "not caught up", reason=str(error))

    def _catch_up_by_snapshot(self) -> None:
        try:
            self._read_snapshot()
        except SourceUnavailable as error:
            self._event_log.write_failure("store", "not caught up", reason=str(error))

    def _apply_newer(self, update: FleetUpdate) -> None:
        # Another call may have returned the same changes and later ones.
        if self._revision is None or update.revision <= self._revision:
            return
        if update.changes:
            self._event_log.write(
                "store",
                "update",
                sender=update.sender or "store",
                changes=len(update.changes),
                era=update.revision.era,
                revision=update.revision.number,
                store_answer_age_s=update.store_answer_age_s,
            )
        self._record_era(update.revision)
        self._apply_changes(update)
        if update.is_complete:
            self._log.add(update)
        else:
            # Peers must not take what is missing for applied.
            self._log.reset(update.revision)
        self._set_revision(update.revision)

    def _record_era(self, revision: StoreRevision) -> None:
        """Begin the grace period if the store was restored from an older copy."""
        if self._revision is None or revision.era <= self._revision.era:
            return
        self._outages.record_restore()
        self._event_log.write(
            "store",
            "restored",
            era=revision.era,
            before=self._revision.era,
            revision=revision.number,
            revision_before=self._revision.number,
        )

    def _position(self) -> dict[str, int | None]:
        """Return the known revision as fields of a log line."""
        if self._revision is None:
            return {"era": None, "revision": None}
        return {"era": self._revision.era, "revision": self._revision.number}

    def _set_revision(self, revision: StoreRevision) -> None:
        if self._revision is None or revision > self._revision:
            self._revision = revision
        self._members.own.revision = self._revision

    def _record_history_gone(self, error: HistoryGone) -> None:
        self._event_log.write(
            "store", "history gone", **self._position(), reason=str(error)
        )

    def _record_failure(self, error: SourceUnavailable) -> float:
        self._failure_count += 1
        if self._failure_count == 1:
            self._event_log.write_failure(
                "store", "lost", **self._position(), reason=error.message
            )
        if self.is_store_unavailable:
            # Peers should turn to another source at once.
            self._log.end_waits()
        longest_s = min(RETRY_LIMIT_S, RETRY_BASE_S * 2**self._failure_count)
        return self._random.uniform(0.5, 1.0) * longest_s

    def _record_recovery(self) -> None:
        if not self._failure_count:
            return
        self._event_log.write(
            "store", "regained", failures=self._failure_count, **self._position()
        )
        self._failure_count = 0
        self._outages.record_recovery()

    def _difference(self, update: FleetUpdate) -> FleetUpdate:
        """Return the changes from the known state to a snapshot."""
        listed = {c.server_id for c in update.changes if isinstance(c, ServerEntry)}
        changes = [
            change
            for change in update.changes
            if not isinstance(change, EvacuationChange) and not self._is_known(change)
        ]
        changes += map(ServerRemoved, self._table.server_ids() - listed)
        if update.has_evacuations:
            changes.append(self._listed_evacuations(update))
        return FleetUpdate(tuple(changes), update.revision)

    def _is_known(self, change: Change) -> bool:
        if isinstance(change, ServerEntry):
            known = self._table.record(change.server_id)
            return known is not None and known.entry == change
        if isinstance(change, RoutingConfiguration):
            return change.version == self._routes.version
        return False

    def _listed_evacuations(self, update: FleetUpdate) -> EvacuationsListed:
        """Return what a snapshot lists as evacuated, for peers."""
        listed = set()
        for change in update.changes:
            if isinstance(change, DataCentreEvacuated):
                listed.add(change.data_centre)
            elif isinstance(change, DataCentreReturned):
                listed.discard(change.data_centre)
            elif isinstance(
                change, InvalidEvacuation
            ) and self._table.evacuations.is_evacuated(change.data_centre):
                listed.add(change.data_centre)
        return EvacuationsListed(tuple(sorted(listed)))

    def _unlisted_evacuations(self, update: FleetUpdate) -> list[str]:
        """Return the evacuated data centres that a snapshot does not list as such."""
        if not update.has_evacuations or not update.is_complete:
            return []
        listed = {
            change.data_centre
            for change in update.changes
            if isinstance(change, (DataCentreEvacuated, InvalidEvacuation))
        }
        evacuated = self._table.evacuations.data_centres
        return [name for name in evacuated if name not in listed]

    def _apply_snapshot(self, update: FleetUpdate) -> None:
        listed = {c.server_id for c in update.changes if isinstance(c, ServerEntry)}
        self._apply_changes(update)
        # A server that is not listed may be in a skipped change.
        unlisted = self._table.server_ids() - listed if update.is_complete else ()
        for server_id in unlisted:
            self._apply_removed(server_id)
        for data_centre in self._unlisted_evacuations(update):
            self._apply_returned(data_centre, update.revision)
        self._end_evacuations()

    def _apply_changes(self, update: FleetUpdate) -> None:
        if update.is_after_outage:
            self._outages.record_peer_outage(update.outage_age or UNKNOWN_OUTAGE_AGE)
        self._record_skipped(update)
        for change in without_superseded(update.changes):
            self._apply_change(change, update.revision)
        self._end_evacuations()

    def _record_skipped(self, update: FleetUpdate) -> None:
        for reason in update.skipped[:LOGGED_PROBLEMS_LIMIT]:
            self._event_log.write_failure(
                "store",
                "change skipped",
                sender=update.sender,
                revision=update.revision.number,
                reason=reason,
            )
        if not update.is_complete:
            delay_s = self._random.random() * REPAIR_INTERVAL_S
            self._repair_at_s = min(self._repair_at_s, monotonic_s() + delay_s)

    def _apply_change(self, change: Change, revision: StoreRevision) -> None:
        if isinstance(change, ServerEntry):
            self._apply_entry(change, revision)
        elif isinstance(change, RoutingConfiguration):
            self._apply_configuration(change)
        elif isinstance(change, InvalidEntry):
            self._event_log.write(
                "fleet",
                "entry unusable",
                server=change.server_id,
                revision=revision.number,
                reason=change.reason,
            )
            self._remove(change.server_id)
        elif isinstance(change, DataCentreEvacuated):
            self._apply_evacuated(change.data_centre, revision)
        elif isinstance(change, DataCentreReturned):
            self._apply_returned(change.data_centre, revision)
        elif isinstance(change, EvacuationsListed):
            listed = set(change.data_centres)
            for data_centre in change.data_centres:
                self._apply_evacuated(data_centre, revision)
            for data_centre in self._table.evacuations.data_centres:
                if data_centre not in listed:
                    self._apply_returned(data_centre, revision)
        elif isinstance(change, InvalidEvacuation):
            self._event_log.write_failure(
                "fleet",
                "evacuation unusable",
                data_centre=change.data_centre,
                revision=revision.number,
                reason=change.reason,
            )
        else:
            self._apply_removed(change.server_id)

    def _apply_evacuated(self, data_centre: str, revision: StoreRevision) -> None:
        if not self._table.evacuations.evacuate(data_centre):
            return
        servers = self._table.in_data_centre(data_centre)
        for server in servers:
            self._pool.close_idle(server.entry.address)
        self._event_log.write(
            "fleet",
            "data centre evacuated",
            data_centre=data_centre,
            servers=len(servers),
            revision=revision.number,
            era=revision.era,
        )

    def _apply_returned(self, data_centre: str, revision: StoreRevision) -> None:
        if self._table.evacuations.request_return(data_centre):
            self._event_log.write(
                "fleet",
                "data centre return requested",
                data_centre=data_centre,
                revision=revision.number,
                era=revision.era,
            )

    def _end_evacuations(self) -> None:
        """Return data centres to service unless the store may lack their evacuation."""
        now_s = monotonic_s()
        grace_end_s = self._outages.evacuation_grace_end_s
        if self._failure_count:
            grace_end_s = math.inf
        returned = self._table.evacuations.pop_returned(now_s, grace_end_s)
        for data_centre in returned:
            servers = self._table.in_data_centre(data_centre)
            for server in servers:
                server.record_possible_cold(now_s)
            self._event_log.write(
                "fleet",
                "data centre returned",
                data_centre=data_centre,
                servers=len(servers),
            )

    def _apply_entry(self, entry: ServerEntry, revision: StoreRevision) -> None:
        known = self._table.record(entry.server_id)
        was_leaving = known is not None and known.is_leaving
        self._expired_server_ids.discard(entry.server_id)
        # The first update of an era lists what the copy has, not what was written.
        is_restored = self._revision is not None and revision.era > self._revision.era
        # The servers in the first snapshot may have been running for long.
        is_start = self._revision is not None
        record = self._table.put(entry, monotonic_s(), is_restored, is_start)
        if known is None or was_leaving != record.is_leaving:
            self._event_log.write(
                "fleet",
                "server leaving" if record.is_leaving else "server ready",
                server=entry.server_id,
                service=entry.service,
                address=entry.address,
                data_centre=entry.data_centre,
                revision=revision.number,
                era=revision.era,
                held=is_restored and record.is_quiet(monotonic_s()),
            )

    def _apply_removed(self, server_id: str) -> None:
        if self._table.record(server_id) is None:
            return
        if self.is_after_outage:
            self._expired_server_ids.add(server_id)
            return
        self._remove(server_id)

    def _remove(self, server_id: str) -> None:
        self._expired_server_ids.discard(server_id)
        record = self._table.remove(server_id)
        if record is not None:
            self._pool.close_idle(record.entry.address)
            self._event_log.write(
                "fleet", "server gone", server=server_id, address=record.entry.address
            )

    def _update_store_available(self) -> None:
        self._members.own.store_available_s = self._outages.available_s(
            is_failing=bool(self._failure_count)
        )

    def _remove_expired(self) -> None:
        """Remove servers whose entries did not come back after the store's recovery."""
        if self._expired_server_ids and not self.is_after_outage:
            for server_id in list(self._expired_server_ids):
                self._remove(server_id)

    def _apply_configuration(self, configuration: RoutingConfiguration) -> None:
        before = self._routes.version
        is_new = self._routes.activate(configuration)
        self._event_log.write(
            "routes",
            "configuration in force" if is_new else "configuration not newer",
            version=configuration.version,
            before=before,
            routes=len(configuration.routes),
            problems=len(configuration.problems),
        )
        for problem in configuration.problems[:LOGGED_PROBLEMS_LIMIT] if is_new else ():
            self._event_log.write(
                "routes",
                "configuration part unusable",
                version=configuration.version,
                reason=problem,
            )
