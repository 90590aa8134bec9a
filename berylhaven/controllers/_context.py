"""What controllers are built from."""

from dataclasses import dataclass
from random import Random

from berylhaven.admission import AdmissionGate
from berylhaven.blackboard import Blackboard
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
    """The parts of one entry instance that controllers work with."""

    # The process's settings.
    settings: Settings
    # Where controllers share what they know.
    blackboard: Blackboard
    # What this instance says of itself.
    local_instance: LocalInstance
    # The peers.
    peer_table: PeerTable
    # Requests to peers.
    peer_client: PeerClient
    # Bytes to and from peers, and their budget.
    peer_traffic: PeerTraffic
    # Set by whoever has news that must not wait for the next round.
    urgent_signal: UrgentSignal
    # The load records.
    load_table: LoadTable
    # The limits.
    gate: AdmissionGate
    # The configuration service.
    configuration_service: ConfigurationService
    # The instance list.
    instance_list_service: InstanceListService
    # The backend servers, merged from all that tells of them.
    server_directory: ServerDirectory
    # The process's metrics.
    metrics: MetricsRegistry
    # The source of random numbers.
    random: Random
