"""Watches the configuration service, within a budget of reads."""

from berylhaven.catalogue import CATALOGUE_REFUSAL_SECTION, CATALOGUE_SECTION
from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.controllers._catalogue_candidates import (
    WATCHED_CATALOGUE_SECTION,
    CatalogueCandidate,
)
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.discovery import ConfigurationValue, PlatformUnavailable, ReadBudget
from berylhaven.membership import PeerState, watch_holders
from berylhaven.operations import ComponentLog
from berylhaven.results import ConfigurationServiceUnavailable

LOG = ComponentLog("catalogue")
WATCH_TIMEOUT_S = 10.0
# The fleet size that the read budget assumes until a catalogue is active.
INITIAL_FLEET_SIZE = 40


@register_controller("catalogue_watch")
class CatalogueWatchController:
    """Holds a watch if chosen in its data centre; otherwise polls at long intervals.

    Parameters
    ----------
    context : ControllerContext
        Provides the configuration service's client and the peers.
    """

    interval_s = 0.25

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        blackboard = context.blackboard
        self._writer = blackboard.claim(WATCHED_CATALOGUE_SECTION, "catalogue_watch")
        self._budget = ReadBudget(INITIAL_FLEET_SIZE)
        self._next_check_at_s = float("-inf")
        self._is_first_step = True
        self._is_available = True
        # The newest value that a read returned, which the catalogue controller may not
        # have evaluated yet.
        self._newest: ConfigurationValue | None = None

    def step(self) -> None:
        """Watch if this instance holds a watch; otherwise read if a check is due."""
        if self._is_first_step:
            sleep_s(self._budget.start_delay_s(self._context.random))
        now_s = monotonic_s()
        is_holder = not self._is_first_step and self._is_holder(now_s)
        if not is_holder and now_s < self._next_check_at_s:
            return
        self._resize_budget()
        if not self._budget.try_acquire(now_s):
            return
        random = self._context.random
        self._next_check_at_s = now_s + self._budget.check_interval_s(random)
        self._is_first_step = False
        self._read(WATCH_TIMEOUT_S if is_holder else 0.0)

    def _read(self, wait_s: float) -> None:
        service = self._context.configuration_service
        try:
            value = service.watch(self._known_revision(), wait_s)
        except PlatformUnavailable as error:
            self._record_unavailable(error)
            self._writer.write(CatalogueCandidate(self._newest))
            return
        if not self._is_available:
            self._is_available = True
            LOG.info("The configuration service is available again.")
        if value is not None:
            self._newest = value
        self._writer.write(CatalogueCandidate(self._newest))

    def _record_unavailable(self, error: PlatformUnavailable) -> None:
        # While the service is unavailable, each instance tries it as rarely as a check.
        if not self._is_available:
            return
        self._is_available = False
        code = ConfigurationServiceUnavailable.code
        LOG.warning(
            "%d %s: %s. Keeping the active catalogue.", code.number, code.name, error
        )

    def _is_holder(self, now_s: float) -> bool:
        own = self._context.settings.instance
        live = self._context.peer_table.in_state(now_s, PeerState.LIVE)
        addresses = [
            peer.announcement.peers_address
            for peer in live
            if peer.announcement.data_centre == own.data_centre
        ]
        if not self._context.local_instance.is_leaving:
            addresses.append(own.peers_address)
        return own.peers_address in watch_holders(addresses)

    def _known_revision(self) -> int:
        known = self._newest.version if self._newest else 0
        for section in (CATALOGUE_SECTION, CATALOGUE_REFUSAL_SECTION):
            reading = self._context.blackboard.read(section)
            known = max(known, reading.value.revision if reading else 0)
        return known

    def _resize_budget(self) -> None:
        reading = self._context.blackboard.read(CATALOGUE_SECTION)
        if reading is not None:
            fleet = reading.value.catalogue.fleet
            self._budget.resize(fleet.max_entry_instances)
