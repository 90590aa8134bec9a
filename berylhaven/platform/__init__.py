"""Adapters to the platform: the configuration service and the instance list."""

from berylhaven.platform._configuration_service import (
    ConfigurationService,
    ConfigurationValue,
)
from berylhaven.platform._errors import PlatformUnavailable
from berylhaven.platform._instance_list import InstanceListService
from berylhaven.platform._instances import (
    INSTANCE_LIST_SECTION,
    BackendServer,
    EntryInstance,
    InstanceList,
)
from berylhaven.platform._read_budget import ReadBudget
from berylhaven.platform._server_directory import (
    BACKEND_SERVERS_SECTION,
    LeavingMark,
    ListVerdict,
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
    "ListVerdict",
    "PlatformUnavailable",
    "ReadBudget",
    "ServerDirectory",
]
