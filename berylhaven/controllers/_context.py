"""The dependencies that controllers are constructed with."""

from dataclasses import dataclass
from random import Random

from berylhaven.admission import AdmissionGate
from berylhaven.blackboard import Blackboard
from berylhaven.clock import LoopLateness
from berylhaven.discovery import (
    ConfigurationService,
    InstanceListService,
    ServerDirectory,
)
from berylhaven.exchange import PeerClient, PeerTraffic, UrgentSignal
from berylhaven.load import LoadTable
from berylhaven.membership import LocalInstance, PeerTable
from berylhaven.operations import MetricsRegistry
from berylhaven.settings import Settings


@dataclass(slots=True)
class ControllerContext:
    """The components of one entry instance that controllers use."""

    # The process's settings.
    settings: Settings
    # The shared state of the controllers.
    blackboard: Blackboard
    # This instance's identity and announcement.
    local_instance: LocalInstance
    # The known peers and their states.
    peer_table: PeerTable
    # The client for requests to peers.
    peer_client: PeerClient
    # Counts bytes to and from peers, and holds their budget.
    peer_traffic: PeerTraffic
    # Set when an update must not wait for the next exchange round.
    urgent_signal: UrgentSignal
    # The load records of backend servers.
    load_table: LoadTable
    # How late the hub runs, and when it last woke up.
    lateness: LoopLateness
    # The admission gate, which holds the limits of the services.
    gate: AdmissionGate
    # The client of the configuration service.
    configuration_service: ConfigurationService
    # The client of the instance list.
    instance_list_service: InstanceListService
    # The backend servers, merged from the instance list, load reports and peers.
    server_directory: ServerDirectory
    # The process's metrics.
    metrics: MetricsRegistry
    # The source of random numbers.
    random: Random
