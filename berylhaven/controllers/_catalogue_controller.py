"""Activates the newest valid revision of the catalogue."""

import hashlib

from aioprometheus.collectors import Gauge

from berylhaven.catalogue import (
    CATALOGUE_REFUSAL_SECTION,
    CATALOGUE_SECTION,
    ActiveCatalogue,
    InvalidCatalogue,
    RejectedCatalogue,
    RevisionStatus,
    RevisionTracker,
    parse_catalogue,
)
from berylhaven.clock import monotonic_s
from berylhaven.controllers._catalogue_candidates import (
    FETCHED_CATALOGUE_SECTION,
    WATCHED_CATALOGUE_SECTION,
)
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.discovery import ConfigurationValue
from berylhaven.membership import PeerState
from berylhaven.operations import ComponentLog
from berylhaven.results import CatalogueRevisionRejected, RevisionConflict

LOG = ComponentLog("catalogue")
DIGEST_BYTES = 8
# A rejected catalogue may have a fault on each of its lines; the command
# `catalogue check` shows all of them.
LOGGED_FAULTS_LIMIT = 20
SOURCE_SECTIONS = (WATCHED_CATALOGUE_SECTION, FETCHED_CATALOGUE_SECTION)


@register_controller("catalogue")
class CatalogueController:
    """Validates candidates from the service and from peers; the highest revision wins.

    Parameters
    ----------
    context : ControllerContext
        Provides the blackboard with the candidates, and the peers.
    """

    interval_s = 0.25

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        blackboard = context.blackboard
        self._writer = blackboard.claim(CATALOGUE_SECTION, "catalogue")
        self._rejected_writer = blackboard.claim(CATALOGUE_REFUSAL_SECTION, "catalogue")
        self._revision_tracker = RevisionTracker()
        self._active_digest = ""
        self._logged_conflicts: set[tuple[int, str]] = set()
        self._conflict_gauge = Gauge(
            "berylhaven_catalogue_conflict",
            "1 if a peer has a different text for the revision active here.",
            registry=context.metrics.registry,
        )

    def step(self) -> None:
        """Evaluate the candidates, once each source has been queried."""
        readings = [
            self._context.blackboard.read(section) for section in SOURCE_SECTIONS
        ]
        if any(reading is None for reading in readings):
            # With one source only, a new instance might activate an old revision.
            return
        candidates = [reading.value.value for reading in readings]
        values = [value for value in candidates if value is not None]
        for value in sorted(values, key=lambda v: v.version, reverse=True):
            self._evaluate(value)
        self._compare_with_peers()

    def _evaluate(self, value: ConfigurationValue) -> None:
        if value.version <= self._revision_tracker.active_revision and (
            value.version != self._revision_tracker.active_revision
        ):
            return
        digest = hashlib.blake2b(value.raw, digest_size=DIGEST_BYTES).hexdigest()
        status = self._revision_tracker.compare(value.version, digest)
        if status is RevisionStatus.CONFLICT:
            self._log_conflict(value.version, digest, "the catalogue source")
        elif status is RevisionStatus.NEW:
            self._apply(value, digest)

    def _apply(self, value: ConfigurationValue, digest: str) -> None:
        try:
            catalogue = parse_catalogue(value.raw)
        except InvalidCatalogue as error:
            self._reject(value, digest, error)
            return
        self._revision_tracker.activate(value.version, digest)
        self._active_digest = digest
        self._writer.write(ActiveCatalogue(value.version, digest, catalogue))
        self._context.urgent_signal.set()
        LOG.info("Revision %d is active, digest %s.", value.version, digest)

    def _reject(
        self, value: ConfigurationValue, digest: str, error: InvalidCatalogue
    ) -> None:
        self._revision_tracker.record_rejected(value.version, digest)
        problems = tuple(error.exceptions)
        self._rejected_writer.write(RejectedCatalogue(value.version, problems))
        code = CatalogueRevisionRejected.code
        LOG.error(
            "%d %s: revision %d has %d faults; revision %d stays active.",
            code.number,
            code.name,
            value.version,
            len(problems),
            self._revision_tracker.active_revision,
        )
        for problem in problems[:LOGGED_FAULTS_LIMIT]:
            LOG.error("Revision %d rejected: %s.", value.version, problem)

    def _compare_with_peers(self) -> None:
        live_peers = self._context.peer_table.in_state(monotonic_s(), PeerState.LIVE)
        is_conflict = False
        for peer in live_peers:
            announcement = peer.announcement
            if (
                announcement.catalogue_revision
                != self._revision_tracker.active_revision
            ):
                continue
            if announcement.catalogue_digest not in ("", self._active_digest):
                is_conflict = True
                self._log_conflict(
                    announcement.catalogue_revision,
                    announcement.catalogue_digest,
                    announcement.peers_address,
                )
        self._conflict_gauge.set({}, int(is_conflict))

    def _log_conflict(self, revision: int, digest: str, source: str) -> None:
        if (revision, digest) in self._logged_conflicts:
            return
        self._logged_conflicts = {
            pair for pair in self._logged_conflicts if pair[0] == revision
        }
        self._logged_conflicts.add((revision, digest))
        code = RevisionConflict.code
        LOG.error(
            "%d %s: revision %d has digest %s here and %s at %s.",
            code.number,
            code.name,
            revision,
            self._active_digest,
            digest,
            source,
        )
