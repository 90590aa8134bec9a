"""The gateway: forwards requests by route to the backend servers that a store lists."""

from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._gateway_instance import GatewayInstance
from berylhaven.gateway._gateway_metrics import GatewayMetrics, MetricsApplication
from berylhaven.gateway._peers_application import PeersApplication
from berylhaven.gateway._settings import (
    GatewaySettings,
    InvalidGatewaySettings,
    StoreSettings,
    parse_gateway_settings,
)
from berylhaven.gateway._settings_file import SettingsFile, load_gateway_settings
from berylhaven.gateway._store_revision import StoreRevision
from berylhaven.gateway.members._locate import Location
from berylhaven.gateway.servers._server_record import ServerEntry
from berylhaven.gateway.store._fleet_source import (
    Change,
    DataCentreEvacuated,
    DataCentreReturned,
    FleetSource,
    FleetUpdate,
    HistoryGone,
    InvalidEntry,
    InvalidEvacuation,
    ServerRemoved,
    SourceUnavailable,
)

__all__ = [
    "Change",
    "DataCentreEvacuated",
    "DataCentreReturned",
    "Dialect",
    "InvalidEntry",
    "InvalidEvacuation",
    "FleetUpdate",
    "FleetSource",
    "GatewayInstance",
    "GatewayMetrics",
    "GatewaySettings",
    "InvalidGatewaySettings",
    "HistoryGone",
    "Location",
    "MetricsApplication",
    "PeersApplication",
    "ServerEntry",
    "ServerRemoved",
    "SettingsFile",
    "SourceUnavailable",
    "StoreRevision",
    "StoreSettings",
    "load_gateway_settings",
    "parse_gateway_settings",
]
