"""Keeps the instance list and the load records in step."""

from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.operations import PartLog
from berylhaven.platform import (
    INSTANCE_LIST_SECTION,
    BackendServer,
    InstanceList,
    PlatformUnavailable,
)

LOG = PartLog("instance_list")


@register_controller("instance_list")
class InstanceListController:
    """Reads the instance list again and again.

    Parameters
    ----------
    context : ControllerContext
        With the instance list's adapter and the load records.
    """

    interval_s = 1.0

    def __init__(self, context: ControllerContext) -> None:
        self._service = context.instance_list_service
        self._load_table = context.load_table
        self._writer = context.blackboard.claim(INSTANCE_LIST_SECTION, "instance_list")

    def step(self) -> None:
        """Read the list once and apply it."""
        try:
            instances = self._service.read()
        except PlatformUnavailable as error:
            LOG.warning("Instance list unavailable: %s.", error)
            return
        self._writer.write(instances)
        for service, servers in _live_by_service(instances).items():
            self._load_table.update_servers(service, servers, monotonic_s())


def _live_by_service(instances: InstanceList) -> dict[str, list[BackendServer]]:
    by_service: dict[str, list[BackendServer]] = {}
    for server in instances.backend_servers:
        live = by_service.setdefault(server.service, [])
        if not server.is_leaving:
            live.append(server)
    return by_service
