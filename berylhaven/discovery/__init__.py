"""Adapters to the platform: the configuration service and the instance list."""

from berylhaven.discovery._configuration_service import (
    ConfigurationService,
    ConfigurationValue,
)
from berylhaven.discovery._errors import PlatformUnavailable
from berylhaven.discovery._instance_list import InstanceListService
from berylhaven.discovery._instances import (
    INSTANCE_LIST_SECTION,
    BackendServer,
    EntryInstance,
    InstanceList,
)
from berylhaven.discovery._read_budget import ReadBudget
from berylhaven.discovery._server_directory import (
    BACKEND_SERVERS_SECTION,
    LeavingMark,
    ListValidity,
    ServerDirectory,
)

__all__ = [
    "BACKEND_SERVERS_SECTION",
    "INSTANCE_LIST_SECTION",
    "BackendServer",
    "ConfigurationService",
    "ConfigurationValue",
    "EntryInstance",
    "InstanceList",
    "InstanceListService",
    "LeavingMark",
    "ListValidity",
    "PlatformUnavailable",
    "ReadBudget",
    "ServerDirectory",
]
