"""Assembly of a gateway instance from its components, and its shutdown."""

import dataclasses
import traceback
from collections.abc import Callable
from random import Random

import eventlet

from berylhaven.clock import (
    WAKE_UP_INTERVAL_S,
    LoopLateness,
    monotonic_s,
    set_turn_report,
    sleep_s,
    wall_clock_ms,
)
from berylhaven.event_log import EventLog
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway._instance_drain import InstanceDrain
from berylhaven.gateway._instance_gauges import InstanceGauges
from berylhaven.gateway._large_blocks import map_large_blocks
from berylhaven.gateway._request_path import (
    ANSWER_HEAD_LIMIT_BYTES,
    InstanceParts,
    RequestPath,
)
from berylhaven.gateway._settings import GatewayInstanceSettings, GatewaySettings
from berylhaven.gateway._settings_file import SettingsFile
from berylhaven.gateway._store_revision import StoreRevision
from berylhaven.gateway._turn_monitor import TurnMonitor
from berylhaven.gateway.callers._callers_port import CallersPort
from berylhaven.gateway.callers._connection_context import ConnectionContext
from berylhaven.gateway.callers._drain import Drain
from berylhaven.gateway.callers._held_bytes import HeldBytes
from berylhaven.gateway.members._locate import Location, locate
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.members._member_gossip import MemberGossip
from berylhaven.gateway.members._members import DISCOVERY_S, MemberTable
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.store._fleet_follower import FleetFollower
from berylhaven.gateway.store._fleet_source import (
    FleetSource,
    FleetUpdate,
    SourceUnavailable,
)
from berylhaven.gateway.store._relayed_source import (
    STORE_ANSWER_AGE_LIMIT_S,
    RelayedSource,
)
from berylhaven.gateway.store._update_log import UpdateLog
from berylhaven.http1 import ConnectionPool

# Backend servers close connections after ten idle seconds; this instance closes them
# before that.
SERVER_IDLE_LIMIT_S = 8.0
# Instances that are not known yet hold connections too.
MIN_SHARER_COUNT = 16
# Until gossip has had time to discover the other instances, the size of the largest
# deployment is assumed.
INITIAL_SHARER_COUNT = 730
# With fewer connections to a server, a probe and a request could not run concurrently.
MIN_CONNECTIONS = 2
# How often the settings file is read without a signal; it is small.
SETTINGS_CHECK_INTERVAL_S = 2.0
# A loop that failed by an internal error is restarted after this time.
LOOP_RESTART_DELAY_S = 0.5
# The number of instances that are notified at once of a change of readiness.
NOTIFIED_PEERS = 4


class GatewayInstance:
    """One gateway instance.

    Parameters
    ----------
    settings : GatewaySettings
        The settings of the process.
    dialect : Dialect
        The header names of the deployment.
    source : FleetSource
        The source of routes and backend servers.
    event_log : EventLog
        The event log of the process.
    settings_file : SettingsFile or None
        The file of the settings; None if they do not change.
    """

    __slots__ = (
        "_settings",
        "_settings_file",
        "_settings_checked_at_s",
        "_source",
        "_path",
        "_forwarder",
        "_event_log",
        "_random",
        "_routes",
        "_table",
        "_follower",
        "_update_log",
        "_port",
        "_members",
        "_gossip",
        "_evidence_spread",
        "_warmups",
        "_threads",
        "_drain",
        "_instance_drain",
        "_lateness",
        "_started_at_s",
        "metrics",
        "held",
    )

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        source: FleetSource,
        event_log: EventLog,
        settings_file: SettingsFile | None = None,
    ) -> None:
        self._settings = settings
        self._settings_file = settings_file
        self._settings_checked_at_s = monotonic_s()
        self._source = source
        self._event_log = event_log
        self._random = Random()
        self._routes = ActiveRoutes()
        self._table = ServerTable()
        # The metrics of this instance.
        self.metrics = GatewayMetrics()
        map_large_blocks()
        # The account of the bytes held for callers and servers.
        self.held = HeldBytes(settings.memory.held_limit_bytes, event_log, self.metrics)
        others = set(settings.instance.seed_peers) - {settings.instance.peers_address}
        self._members = MemberTable(
            _own_member(settings.instance), expects_peers=bool(others)
        )
        pool = ConnectionPool(
            self._connection_quota,
            ANSWER_HEAD_LIMIT_BYTES,
            self._random,
            SERVER_IDLE_LIMIT_S,
            self.metrics.record_new_connection,
        )
        self._lateness = LoopLateness(monotonic_s())
        self._drain = Drain(self._lateness)
        path = self._path = RequestPath(
            InstanceParts(
                settings,
                dialect,
                self._routes,
                self._table,
                self._members,
                self._random,
                event_log,
                self.metrics,
                self.held,
                self._drain,
            ),
            pool,
            self._sharer_count,
            lambda count: self._gossip.notify_peers(count),
        )
        self._forwarder = path.forwarder
        self._evidence_spread = path.evidence_spread
        self._warmups = path.warmups
        context = ConnectionContext(
            self._forwarder.answer,
            self._routes,
            dialect,
            event_log,
            self._members.has_host,
            self.held,
            self._drain,
            self._lateness,
            self.metrics,
        )
        self._port = CallersPort(context, event_log, self.metrics)
        self._instance_drain = InstanceDrain(
            self._drain, self._port, self._lateness, event_log
        )
        self._update_log = UpdateLog()
        self._follower = FleetFollower(
            RelayedSource(
                source, self._members, self._update_log, self.metrics, event_log
            ),
            self._members,
            self._update_log,
            self._routes,
            self._table,
            pool,
            self._random,
            event_log,
        )
        self._gossip = MemberGossip(
            self._members,
            settings.instance.seed_peers,
            self._random,
            event_log,
            self._evidence_spread.synchronise,
        )
        InstanceGauges(
            self.metrics,
            self._routes,
            self._table,
            self._members,
            self._update_log,
            self._port,
            event_log,
        )
        self._threads: list[eventlet.greenthread.GreenThread] = []
        self._started_at_s = monotonic_s()

    @property
    def is_ready(self) -> bool:
        """Whether the instance accepts callers."""
        return (
            not self._drain.has_begun
            and self._routes.is_loaded
            and self._table.server_count > 0
            and self._port.is_accepting
        )

    def start(self) -> None:
        """Listen for callers, and start to follow the platform and to gossip."""
        set_turn_report(TurnMonitor(self.metrics, self._event_log).record)
        self._threads = [
            self._port.listen(self._settings.instance.callers_address),
            eventlet.spawn(self._keep_running, "follower", self._follower.run),
            eventlet.spawn(
                self._keep_running, "catching up", self._follower.run_catch_up
            ),
            eventlet.spawn(self._keep_running, "gossip", self._gossip.run),
            eventlet.spawn(
                self._keep_running, "crash evidence", self._evidence_spread.run
            ),
            eventlet.spawn(self._keep_running, "warm-ups", self._warmups.run),
        ]
        self._event_log.write(
            "instance",
            "start",
            name=self._settings.instance.name,
            data_centre=self._settings.instance.data_centre,
            callers=self._settings.instance.callers_address,
        )

    def leave(self) -> None:
        """Request the drain; safe in a signal handler, and when called twice."""
        self._drain.begin(monotonic_s(), self._settings.drain.grace_s)

    def wait(self) -> None:
        """Run until the instance has been drained after `leave`, then stop it."""
        while not self._instance_drain.step():
            self._update_ready()
            if self._settings_file is not None:
                self._check_settings()
            due_at_s = monotonic_s() + WAKE_UP_INTERVAL_S
            sleep_s(WAKE_UP_INTERVAL_S)
            lateness_s = self._lateness.record(due_at_s, monotonic_s())
            self.metrics.record_loop_lateness(lateness_s)
        self._instance_drain.record_end()
        self.stop()

    def stop(self) -> None:
        """Stop at once, without a drain."""
        for thread in self._threads:
            thread.kill()
        self._path.stop()

    def locate(self, data_centre: str) -> Location | None:
        """Return the instances that a caller should use, or None.

        Parameters
        ----------
        data_centre : str
            The caller's data centre.

        Returns
        -------
        Location or None
            None if no instance accepts callers.
        """
        # Locate answers must agree with the answers to the platform's readiness checks.
        self._update_ready()
        return locate(
            self._members.ready(monotonic_s()),
            data_centre,
            self._settings.locate.time_to_live_s,
            self._random,
        )

    def answer_gossip(self, body: bytes) -> bytes:
        """Answer a peer's gossip message.

        Parameters
        ----------
        body : bytes
            The message.

        Returns
        -------
        bytes
            The answer.

        Raises
        ------
        ValueError
            If the message is malformed.
        """
        return self._gossip.answer(body)

    def answer_evidence(self, body: bytes, is_complete: bool) -> bytes:
        """Answer a peer's message with crash evidence.

        Parameters
        ----------
        body : bytes
            The message.
        is_complete : bool
            Whether the peer asks for the evidence of this instance.

        Returns
        -------
        bytes
            The answer.

        Raises
        ------
        ValueError
            If the message is malformed.
        """
        return self._evidence_spread.answer(body, is_complete)

    def update_after(
        self, revision: StoreRevision | None, wait_s: float
    ) -> FleetUpdate:
        """Return an update or a snapshot of the store's state for a peer.

        Parameters
        ----------
        revision : StoreRevision or None
            The revision that the peer has; None if it has none.
        wait_s : float
            The longest time to wait for the first change, in seconds.

        Returns
        -------
        FleetUpdate
            The changes, or a snapshot.

        Raises
        ------
        SourceUnavailable
            If the store has not answered this instance recently.
        HistoryGone
            If these changes are no longer kept.
        """
        if revision is None:
            if not self.is_ready:
                raise SourceUnavailable(
                    f'instance "{self._settings.instance.name}" is not ready'
                )
            return self._follower.snapshot()
        self._check_store_answer_age()
        update = self._update_log.wait_after(revision, wait_s)
        if not update.changes:
            self._check_store_answer_age()
        outage_age = self._follower.outage_age
        return dataclasses.replace(
            update,
            is_after_outage=outage_age is not None,
            outage_age=outage_age,
            store_answer_age_s=monotonic_s() - self._update_log.store_answered_at_s,
        )

    def _check_store_answer_age(self) -> None:
        age_s = monotonic_s() - self._update_log.store_answered_at_s
        if age_s > STORE_ANSWER_AGE_LIMIT_S or self._follower.is_store_unavailable:
            raise SourceUnavailable(
                f"the latest answer of the store is {age_s:.1f} s old"
            )

    def reload(self) -> None:
        """Request a check of the settings file; safe in a signal handler."""
        self._settings_checked_at_s = float("-inf")

    def _check_settings(self) -> None:
        """Apply a changed settings file; it may change without a signal too."""
        now_s = monotonic_s()
        if now_s - self._settings_checked_at_s < SETTINGS_CHECK_INTERVAL_S:
            return
        is_requested = self._settings_checked_at_s == float("-inf")
        self._settings_checked_at_s = now_s
        settings = self._settings_file.reread(self._event_log)
        if settings is not None:
            self._apply_settings(settings)
        elif is_requested:
            self._event_log.write("instance", "reload", outcome="settings unchanged")

    def _apply_settings(self, settings: GatewaySettings) -> None:
        seeds = settings.instance.seed_peers
        # Addresses and names stay the same for as long as the process runs.
        own = dataclasses.replace(self._settings.instance, seed_peers=seeds)
        is_kept = own == settings.instance
        self._settings = dataclasses.replace(settings, instance=own)
        self._gossip.set_seeds(seeds)
        self._source.reconfigure(settings.store)
        self._forwarder.update_allowance(settings.retries.allowance)
        self._forwarder.update_hedge_limit(settings.hedge_limit)
        self._warmups.tolerance = settings.warmup.tolerance
        self.held.limit_bytes = settings.memory.held_limit_bytes
        outcome = "in force" if is_kept else "in force but for names and addresses"
        self._event_log.write("instance", "reload", outcome=outcome)

    def _keep_running(self, name: str, run: Callable[[], None]) -> None:
        """Run a loop, and restart it after an internal error."""
        while True:
            try:
                run()
            except Exception as error:
                self._event_log.write_failure(
                    "instance",
                    "loop failed",
                    loop=name,
                    error=type(error).__name__,
                    trace=traceback.format_exc(),
                )
            sleep_s(LOOP_RESTART_DELAY_S)

    def _connection_quota(self, address: str) -> int:
        """Return this instance's quota of the connections that a server accepts."""
        service = self._table.service_at(address)
        if service is None:
            return MIN_CONNECTIONS
        limit = self._routes.service(service).connection_limit
        sharers = max(MIN_SHARER_COUNT, self._members.peak_count)
        return max(MIN_CONNECTIONS, limit // sharers)

    def _sharer_count(self) -> int:
        """Return the number of instances that share budgets and servers' limits."""
        known_count = self._members.peak_count
        if monotonic_s() - self._started_at_s < DISCOVERY_S:
            return max(known_count, INITIAL_SHARER_COUNT)
        return known_count

    def _update_ready(self) -> None:
        own = self._members.own
        if own.is_ready != self.is_ready:
            own.is_ready = self.is_ready
            self._event_log.write("instance", "ready" if own.is_ready else "not ready")
            self._gossip.notify_peers(NOTIFIED_PEERS)


def _own_member(settings: GatewayInstanceSettings) -> Member:
    return Member(
        settings.peers_address,
        settings.callers_address,
        settings.data_centre,
        incarnation=wall_clock_ms(),
        heartbeat=0,
        is_ready=False,
    )
