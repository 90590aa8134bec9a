"""Reads the instance list again and again."""

from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.discovery import INSTANCE_LIST_SECTION, PlatformUnavailable
from berylhaven.operations import ComponentLog
from berylhaven.results import InstanceListUnavailable

LOG = ComponentLog("instance_list")


@register_controller("instance_list")
class InstanceListController:
    """Puts the list on the blackboard; while it is unavailable the last one stays.

    Parameters
    ----------
    context : ControllerContext
        With the instance list's adapter.
    """

    # With the jitter, and the time to apply it, below the two seconds within which
    # a leaving server's new work has to stop.
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
            self._note_unavailable(error)
            return
        if not self._is_available:
            self._is_available = True
            LOG.info("Instance list available again.")
        self._writer.write(instances)

    def _note_unavailable(self, error: PlatformUnavailable) -> None:
        if not self._is_available:
            return
        self._is_available = False
        code = InstanceListUnavailable.code
        LOG.warning(
            "%d %s: %s. The last known servers stay.", code.number, code.name, error
        )
