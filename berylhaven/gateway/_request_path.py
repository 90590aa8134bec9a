"""Assembly of the components that forward requests."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from berylhaven.event_log import EventLog
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway._settings import GatewaySettings
from berylhaven.gateway.callers._drain import Drain
from berylhaven.gateway.callers._held_bytes import HeldBytes
from berylhaven.gateway.members._evidence_spread import EvidenceSpread
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.requests._attempt_runner import AttemptRunner
from berylhaven.gateway.requests._forwarder import Forwarder
from berylhaven.gateway.requests._hedger import Hedger
from berylhaven.gateway.requests._peer_forwarder import PeerForwarder
from berylhaven.gateway.requests._request_quarantine import RequestQuarantine
from berylhaven.gateway.servers._reach_monitor import ReachMonitor
from berylhaven.gateway.servers._server_chooser import ServerChooser
from berylhaven.gateway.servers._server_end_check import ServerEndCheck
from berylhaven.gateway.servers._server_limits import ServerLimits
from berylhaven.gateway.servers._server_probe import ServerProber
from berylhaven.gateway.servers._server_signals import ServerSignals
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.servers._server_warmups import ServerWarmups
from berylhaven.http1 import ConnectionPool
from berylhaven.quarantine import CrashEvidence

ANSWER_HEAD_LIMIT_BYTES = 32_768
# The most connections to another instance for requests that are passed on, and how long
# they are kept idle.
PEER_CONNECTIONS_LIMIT = 32
PEER_IDLE_LIMIT_S = 2.0


@dataclass(slots=True, frozen=True)
class InstanceParts:
    """What the components of an instance share."""

    # The settings of the process.
    settings: GatewaySettings
    # The header names of the deployment.
    dialect: Dialect
    # The active configuration.
    routes: ActiveRoutes
    # The backend servers.
    table: ServerTable
    # The membership table.
    members: MemberTable
    # The source of random numbers.
    random: Random
    # The event log of the process.
    event_log: EventLog
    # The metrics of the instance.
    metrics: GatewayMetrics
    # The account of the bytes held for callers and servers.
    held: HeldBytes
    # Tells which requests are still taken.
    drain: Drain


class RequestPath:
    """The forwarder of an instance, and what it shares with the other instances.

    Parameters
    ----------
    parts : InstanceParts
        What the components share.
    pool : ConnectionPool
        The connections to backend servers.
    sharer_count : callable
        Returns the number of instances that share budgets and servers' limits.
    notify_peers : callable
        Tells a number of instances at once what this one does not reach.
    """

    __slots__ = ("forwarder", "evidence_spread", "warmups", "_pool", "_reach")

    def __init__(
        self,
        parts: InstanceParts,
        pool: ConnectionPool,
        sharer_count: Callable[[], int],
        notify_peers: Callable[[int], None],
    ) -> None:
        self._pool = pool
        evidence = CrashEvidence()
        # Tells crash evidence to other instances.
        self.evidence_spread = EvidenceSpread(
            evidence, parts.members, parts.random, parts.event_log
        )
        # Limits what this instance sends to cold servers.
        self.warmups = ServerWarmups(
            parts.routes,
            parts.table,
            parts.members,
            parts.settings.warmup.tolerance,
            parts.random,
            parts.event_log,
            parts.metrics,
        )
        parts.table.admission = self.warmups
        reach = self._reach = ReachMonitor(
            parts.table,
            parts.members,
            parts.random,
            parts.event_log,
            parts.metrics,
            notify_peers,
        )
        limits = ServerLimits(sharer_count, parts.random, parts.event_log)
        signals = ServerSignals(parts.dialect, pool, limits, parts.event_log)
        evacuations = parts.table.evacuations
        prober = ServerProber(
            pool, parts.dialect, signals, parts.metrics, reach, evacuations
        )
        # The prober records its results in the monitor, which has it probe servers.
        reach.check = lambda servers: prober.check(
            servers, parts.routes.service(servers[0].entry.service).health_path
        )
        quarantine = RequestQuarantine(
            evidence,
            self.evidence_spread,
            ServerEndCheck(pool, parts.dialect, evacuations),
            parts.event_log,
            parts.members,
            parts.metrics,
        )
        chooser = ServerChooser(
            parts.settings.instance.data_centre,
            parts.table,
            prober,
            parts.random,
            lambda address: pool.counts(address).open_count > 0,
        )
        runner = AttemptRunner(
            chooser,
            pool,
            parts.dialect,
            signals,
            parts.random,
            parts.event_log,
            parts.metrics,
            quarantine,
            reach,
            evacuations,
            parts.held,
            parts.drain,
        )
        # Forwards requests of callers and of other instances.
        self.forwarder = Forwarder(
            parts.routes,
            runner,
            parts.dialect,
            parts.settings.retries.allowance,
            sharer_count,
            parts.random,
            parts.event_log,
            parts.metrics,
            quarantine,
            reach,
            _peer_forwarder(parts),
            Hedger(
                parts.settings.hedge_limit,
                parts.table,
                parts.members,
                parts.event_log,
                parts.metrics,
            ),
            parts.held,
            parts.drain,
        )

    def stop(self) -> None:
        """Send nothing to servers any more."""
        self._reach.stop()
        self._pool.close()


def _peer_forwarder(parts: InstanceParts) -> PeerForwarder:
    pool = ConnectionPool(
        lambda address: PEER_CONNECTIONS_LIMIT,
        ANSWER_HEAD_LIMIT_BYTES,
        parts.random,
        PEER_IDLE_LIMIT_S,
    )
    return PeerForwarder(
        parts.members,
        pool,
        parts.dialect,
        parts.random,
        parts.event_log,
        parts.metrics,
        parts.held,
    )
