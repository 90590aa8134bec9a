"""Constructs the components of an entry instance and runs them."""

from random import Random

import eventlet

from berylhaven.admission import AdmissionGate
from berylhaven.blackboard import Blackboard
from berylhaven.clock import LoopLateness, monotonic_s, sleep_s
from berylhaven.controllers import (
    ControllerContext,
    controller_classes,
    run_controllers,
)
from berylhaven.discovery import (
    ConfigurationService,
    InstanceListService,
    ServerDirectory,
)
from berylhaven.entry._connection_close_middleware import ConnectionCloseMiddleware
from berylhaven.entry._instance_metrics import InstanceMetrics
from berylhaven.entry._peer_endpoints import peer_endpoints
from berylhaven.entry._status import status_document
from berylhaven.exchange import (
    PeerClient,
    PeersApplication,
    PeerTraffic,
    UrgentSignal,
)
from berylhaven.http1 import serve
from berylhaven.load import LoadTable
from berylhaven.membership import (
    DRAIN_SECTION,
    DrainStage,
    LocalInstance,
    PeerTable,
    new_identity,
)
from berylhaven.operations import (
    CallMetrics,
    ComponentLog,
    DecisionLog,
    MetricsRegistry,
    OperatorsApplication,
)
from berylhaven.proxy import CallersApplication, CallHandler, serve_callers
from berylhaven.settings import Settings

LOG = ComponentLog("entry")
PEER_CONNECTIONS_LIMIT = 256
OPERATOR_CONNECTIONS_LIMIT = 32
DRAIN_CHECK_INTERVAL_S = 0.1


class EntryInstance:
    """One entry instance.

    Parameters
    ----------
    settings : Settings
        The process's settings.
    """

    __slots__ = (
        "_settings",
        "_context",
        "_controllers",
        "_handler",
        "_threads",
        "_is_stopped",
        "_decision_log",
        "_application",
        "_has_cut_calls",
    )

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._context = _build_context(settings)
        self._controllers = {
            name: controller(self._context)
            for name, controller in controller_classes().items()
        }
        self._decision_log = DecisionLog(settings.log)
        self._handler = CallHandler(
            settings,
            self._context.gate,
            self._context.load_table,
            self._decision_log,
            CallMetrics(self._context.metrics),
            self._context.local_instance,
            self._context.blackboard,
        )
        self._application = CallersApplication(
            settings,
            self._context.blackboard,
            self._handler,
            self._context.local_instance.announcement,
        )
        InstanceMetrics(self._context, self._decision_log, self._handler)
        self._threads: list[eventlet.greenthread.GreenThread] = []
        self._is_stopped = False
        self._has_cut_calls = False

    def start(self) -> None:
        """Listen on the three ports and run the controllers."""
        self._threads = [
            self._serve_callers(),
            self._serve_peers(),
            self._serve_operators(),
        ]
        controllers = list(self._controllers.values())
        self._threads += run_controllers(controllers, self._context.random)
        LOG.info(
            "Entry instance %s of %s started for callers on %s.",
            self._context.local_instance.identity.nonce,
            self._settings.instance.firm,
            self._settings.instance.callers_address,
        )

    def wait(self) -> None:
        """Return once the instance is stopped, or drained after SIGTERM."""
        while not self._is_stopped:
            if self._is_drained():
                LOG.info("Drained; stopping.")
                self.stop()
                return
            sleep_s(DRAIN_CHECK_INTERVAL_S)

    def leave(self) -> None:
        """Start the final drain; safe in a signal handler, and idempotent.

        Its limit counts from the earliest time at which the signal may have been sent.
        """
        left_at_s = self._context.lateness.earliest_signal_s(monotonic_s())
        self._context.local_instance.leave(left_at_s)

    def stop(self) -> None:
        """Stop at once, without draining."""
        self._is_stopped = True
        for thread in self._threads:
            thread.kill()

    def status(self) -> dict:
        """Return the document that ``/v1/status`` shows."""
        dropped_count = self._decision_log.dropped_count
        return {
            **status_document(self._context),
            "upstream_connections": self._handler.open_connection_count,
            "decision_lines_dropped": dropped_count,
        }

    def _is_drained(self) -> bool:
        """Return whether the process may end; end calls at the limit of the drain."""
        reading = self._context.blackboard.read(DRAIN_SECTION)
        if reading is None:
            return False
        drain, now_s = reading.value.drain, monotonic_s()
        if now_s >= drain.cuts_at_s and not self._has_cut_calls:
            self._has_cut_calls = True
            self._application.pending.log_cut()
            self._application.refuse_arriving()
            self._handler.stop()
        if now_s >= drain.ends_by_s:
            self._application.pending.log_lost()
            return True
        if reading.value.stage is not DrainStage.DONE:
            return False
        # No call is at work, but answers may still be being written.
        self._application.refuse_arriving()
        return not self._application.pending.count

    def _serve_callers(self) -> eventlet.greenthread.GreenThread:
        closing_middleware = ConnectionCloseMiddleware(
            self._application, self._context.blackboard
        )
        return serve_callers(self._settings, closing_middleware)

    def _serve_peers(self) -> eventlet.greenthread.GreenThread:
        application = PeersApplication(
            peer_endpoints(self._context, self._controllers["exchange"].receive),
            self._context.peer_traffic,
        )
        return serve(
            self._settings.instance.host,
            self._settings.instance.peers_port,
            application,
            PEER_CONNECTIONS_LIMIT,
            self._settings.proxy.sender_timeout_s,
            body_limit_bytes=PeersApplication.BODY_LIMIT_BYTES,
        )

    def _serve_operators(self) -> eventlet.greenthread.GreenThread:
        application = OperatorsApplication(
            self._context.metrics,
            self.status,
            lambda: self._context.local_instance.is_ready,
        )
        return serve(
            self._settings.instance.host,
            self._settings.instance.operators_port,
            application,
            OPERATOR_CONNECTIONS_LIMIT,
            self._settings.proxy.sender_timeout_s,
        )


def _build_context(settings: Settings) -> ControllerContext:
    blackboard = Blackboard()
    load_table = LoadTable()
    random = Random()
    gate = AdmissionGate(settings.proxy, random, monotonic_s())
    peer_traffic = PeerTraffic()
    identity = new_identity(settings.instance.peers_address)
    local_instance = LocalInstance(
        settings.instance, identity, blackboard, lambda: gate.load_ratio
    )
    return ControllerContext(
        settings=settings,
        blackboard=blackboard,
        local_instance=local_instance,
        peer_table=PeerTable(settings.instance.peers_address),
        peer_client=PeerClient(peer_traffic),
        peer_traffic=peer_traffic,
        urgent_signal=UrgentSignal(),
        load_table=load_table,
        lateness=LoopLateness(monotonic_s()),
        gate=gate,
        configuration_service=ConfigurationService(settings.platform),
        instance_list_service=InstanceListService(settings.platform, settings.instance),
        server_directory=ServerDirectory(),
        metrics=MetricsRegistry(),
        random=random,
    )
