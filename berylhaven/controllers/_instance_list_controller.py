"""Reads the instance list periodically."""

from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.discovery import INSTANCE_LIST_SECTION, PlatformUnavailable
from berylhaven.operations import ComponentLog
from berylhaven.results import InstanceListUnavailable

LOG = ComponentLog("instance_list")


@register_controller("instance_list")
class InstanceListController:
    """Writes the list to the blackboard; keeps the last one while it is unavailable.

    Parameters
    ----------
    context : ControllerContext
        Provides the instance list's client.
    """

    # Including jitter and the time to apply the list, this is below the two seconds
    # within which a leaving server must stop receiving new calls.
    interval_s = 1.25

    def __init__(self, context: ControllerContext) -> None:
        self._service = context.instance_list_service
        self._writer = context.blackboard.claim(INSTANCE_LIST_SECTION, "instance_list")
        self._is_available = True

    def step(self) -> None:
        """Read the list once."""
        try:
            instances = self._service.read()
        except PlatformUnavailable as error:
            self._record_unavailable(error)
            return
        if not self._is_available:
            self._is_available = True
            LOG.info("The instance list is available again.")
        self._writer.write(instances)

    def _record_unavailable(self, error: PlatformUnavailable) -> None:
        if not self._is_available:
            return
        self._is_available = False
        code = InstanceListUnavailable.code
        LOG.warning(
            "%d %s: %s. Keeping the last known servers.", code.number, code.name, error
        )
