"""Fetches a newer catalogue from peers on which it is active."""

import eventlet

from berylhaven.catalogue import CATALOGUE_REFUSAL_SECTION, CATALOGUE_SECTION
from berylhaven.clock import monotonic_s
from berylhaven.controllers._catalogue_candidates import (
    FETCHED_CATALOGUE_SECTION,
    CatalogueCandidate,
)
from berylhaven.controllers._catalogue_endpoint import CATALOGUE_PATH, REVISION_HEADER
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.discovery import INSTANCE_LIST_SECTION, ConfigurationValue
from berylhaven.exchange import PeerUnreachable
from berylhaven.membership import Peer, PeerState
from berylhaven.operations import ComponentLog

LOG = ComponentLog("catalogue")
# The number of peers that a new instance queries before it is ready.
STARTUP_PEERS_LIMIT = 3
QUERIED_STATES = (PeerState.LIVE, PeerState.SUSPECT, PeerState.LEAVING)


@register_controller("catalogue_fetch")
class CatalogueFetchController:
    """Queries a few peers at startup, later peers that announce a higher revision.

    Parameters
    ----------
    context : ControllerContext
        Provides the peers and the peer client.
    """

    interval_s = 0.25

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        blackboard = context.blackboard
        self._writer = blackboard.claim(FETCHED_CATALOGUE_SECTION, "catalogue_fetch")
        self._is_first_step = True

    def step(self) -> None:
        """Fetch at startup, and then if a peer announces a higher revision."""
        if self._is_first_step:
            self._is_first_step = False
            self._writer.write(CatalogueCandidate(self._highest_of_sample()))
            return
        known = self._known_revision()
        now_s = monotonic_s()
        ahead = [
            peer
            for peer in self._context.peer_table.in_state(now_s, *QUERIED_STATES)
            if peer.announcement.catalogue_revision > known
        ]
        if not ahead:
            return
        address = self._choose_peer(ahead).announcement.peers_address
        value = self._fetch(address)
        if value is not None:
            self._writer.write(CatalogueCandidate(value))

    def _known_revision(self) -> int:
        known = 0
        for section in (CATALOGUE_SECTION, CATALOGUE_REFUSAL_SECTION):
            reading = self._context.blackboard.read(section)
            known = max(known, reading.value.revision if reading else 0)
        reading = self._context.blackboard.read(FETCHED_CATALOGUE_SECTION)
        # A fetched revision that is not evaluated yet is not fetched again.
        if reading is not None and reading.value.value is not None:
            known = max(known, reading.value.value.version)
        return known

    def _choose_peer(self, ahead: list[Peer]) -> Peer:
        own_data_centre = self._context.settings.instance.data_centre
        local_peers = [
            peer for peer in ahead if peer.announcement.data_centre == own_data_centre
        ]
        return self._context.random.choice(local_peers or ahead)

    def _highest_of_sample(self) -> ConfigurationValue | None:
        settings = self._context.settings.instance
        addresses = set(settings.seed_peers)
        reading = self._context.blackboard.read(INSTANCE_LIST_SECTION)
        if reading is not None:
            listed = reading.value.entry_instances
            addresses.update(entry.peers_address for entry in listed)
        addresses.discard(settings.peers_address)
        count = min(STARTUP_PEERS_LIMIT, len(addresses))
        sampled = self._context.random.sample(sorted(addresses), count)
        threads = [eventlet.spawn(self._fetch, address) for address in sampled]
        values = [thread.wait() for thread in threads]
        fetched = [value for value in values if value is not None]
        return max(fetched, key=lambda value: value.version, default=None)

    def _fetch(self, address: str) -> ConfigurationValue | None:
        try:
            answer = self._context.peer_client.response("GET", address, CATALOGUE_PATH)
            revision = int(answer.headers[REVISION_HEADER])
        except (PeerUnreachable, KeyError, ValueError) as error:
            LOG.debug("Fetching the catalogue from peer %s failed: %s.", address, error)
            return None
        return ConfigurationValue(revision, answer.data)
