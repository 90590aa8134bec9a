"""Keeps the newest checked catalogue in force."""

import hashlib

from aioprometheus.collectors import Gauge

from berylhaven.catalogue import (
    CATALOGUE_REFUSAL_SECTION,
    CATALOGUE_SECTION,
    CatalogueInForce,
    CatalogueRefusal,
    CatalogueRefused,
    OfferVerdict,
    RevisionKeeper,
    read_catalogue,
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
from berylhaven.operations import PartLog
from berylhaven.results import CatalogueRevisionRefused, RevisionConflict

LOG = PartLog("catalogue")
DIGEST_BYTES = 8
# A refused catalogue may have a fault on each of its lines; the command line's
# `catalogue check` shows them all.
REFUSAL_LINES = 20
SOURCES = (WATCHED_CATALOGUE_SECTION, FETCHED_CATALOGUE_SECTION)


@register_controller("catalogue")
class CatalogueController:
    """Judges what was read from the service and from peers; the highest wins.

    Parameters
    ----------
    context : ControllerContext
        With the blackboard, on which the offers are.
    """

    interval_s = 0.25

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        blackboard = context.blackboard
        self._writer = blackboard.claim(CATALOGUE_SECTION, "catalogue")
        self._refusal_writer = blackboard.claim(CATALOGUE_REFUSAL_SECTION, "catalogue")
        self._keeper = RevisionKeeper()
        self._digest = ""
        self._conflicts: set[tuple[int, str]] = set()
        self._conflict = Gauge(
            "berylhaven_catalogue_conflict",
            "Whether a peer holds another text under the revision in force here.",
            registry=context.metrics.registry,
        )

    def step(self) -> None:
        """Judge what the sources offer, once each of them was asked."""
        readings = [self._context.blackboard.read(source) for source in SOURCES]
        if any(reading is None for reading in readings):
            # A fresh instance might put an old revision in force if it heard only one.
            return
        offers = [reading.value.value for reading in readings]
        values = [value for value in offers if value is not None]
        for value in sorted(values, key=lambda v: v.version, reverse=True):
            self._judge(value)
        self._compare_with_peers()

    def _judge(self, value: ConfigurationValue) -> None:
        if value.version <= self._keeper.in_force_revision and (
            value.version != self._keeper.in_force_revision
        ):
            return
        digest = hashlib.blake2b(value.raw, digest_size=DIGEST_BYTES).hexdigest()
        verdict = self._keeper.judge(value.version, digest)
        if verdict is OfferVerdict.CONFLICT:
            self._tell_conflict(value.version, digest, "what was read")
        elif verdict is OfferVerdict.NEW:
            self._apply(value, digest)

    def _apply(self, value: ConfigurationValue, digest: str) -> None:
        try:
            catalogue = read_catalogue(value.raw)
        except CatalogueRefused as refused:
            self._refuse(value, digest, refused)
            return
        self._keeper.put_in_force(value.version, digest)
        self._digest = digest
        self._writer.write(CatalogueInForce(value.version, digest, catalogue))
        self._context.urgent_signal.set()
        LOG.info("Revision %d in force, digest %s.", value.version, digest)

    def _refuse(
        self, value: ConfigurationValue, digest: str, refused: CatalogueRefused
    ) -> None:
        self._keeper.refuse(value.version, digest)
        problems = tuple(refused.exceptions)
        self._refusal_writer.write(CatalogueRefusal(value.version, problems))
        code = CatalogueRevisionRefused.code
        LOG.error(
            "%d %s: revision %d has %d faults; revision %d stays in force.",
            code.number,
            code.name,
            value.version,
            len(problems),
            self._keeper.in_force_revision,
        )
        for problem in problems[:REFUSAL_LINES]:
            LOG.error("Revision %d refused: %s.", value.version, problem)

    def _compare_with_peers(self) -> None:
        live = self._context.peer_table.in_state(monotonic_s(), PeerState.LIVE)
        is_conflict = False
        for peer in live:
            said = peer.announcement
            if said.catalogue_revision != self._keeper.in_force_revision:
                continue
            if said.catalogue_digest not in ("", self._digest):
                is_conflict = True
                self._tell_conflict(
                    said.catalogue_revision, said.catalogue_digest, said.peers_address
                )
        self._conflict.set({}, int(is_conflict))

    def _tell_conflict(self, revision: int, digest: str, where: str) -> None:
        if (revision, digest) in self._conflicts:
            return
        self._conflicts = {pair for pair in self._conflicts if pair[0] == revision}
        self._conflicts.add((revision, digest))
        code = RevisionConflict.code
        LOG.error(
            "%d %s: revision %d has digest %s here and %s at %s.",
            code.number,
            code.name,
            revision,
            self._digest,
            digest,
            where,
        )
