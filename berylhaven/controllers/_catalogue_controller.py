"""Keeps the newest checked catalogue in force."""

from berylhaven.catalogue import (
    CATALOGUE_REFUSAL_SECTION,
    CATALOGUE_SECTION,
    CatalogueInForce,
    CatalogueRefusal,
    CatalogueRefused,
    read_catalogue,
)
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.operations import PartLog
from berylhaven.platform import ConfigurationValue, PlatformUnavailable

LOG = PartLog("catalogue")
WATCH_S = 10.0
# A refused catalogue may have a fault on each of its lines; the command line's
# `catalogue check` shows them all.
REFUSAL_LINES = 20


@register_controller("catalogue")
class CatalogueController:
    """Watches the configuration service; the highest revision wins.

    Parameters
    ----------
    context : ControllerContext
        With the configuration service.
    """

    interval_s = 0.5

    def __init__(self, context: ControllerContext) -> None:
        self._service = context.configuration_service
        self._writer = context.blackboard.claim(CATALOGUE_SECTION, "catalogue")
        self._refusal_writer = context.blackboard.claim(
            CATALOGUE_REFUSAL_SECTION, "catalogue"
        )
        self._revision = 0
        self._refused_revision = 0

    def step(self) -> None:
        """Wait for a newer revision and put it in force."""
        known = max(self._revision, self._refused_revision)
        try:
            value = self._service.watch(known, WATCH_S)
        except PlatformUnavailable as error:
            LOG.warning("Configuration service unavailable: %s.", error)
            return
        if value is not None and value.version > known:
            self._apply(value)

    def _apply(self, value: ConfigurationValue) -> None:
        try:
            catalogue = read_catalogue(value.raw)
        except CatalogueRefused as refused:
            self._refused_revision = value.version
            problems = tuple(refused.exceptions)
            self._refusal_writer.write(CatalogueRefusal(value.version, problems))
            for problem in problems[:REFUSAL_LINES]:
                LOG.error("Revision %d refused: %s.", value.version, problem)
            LOG.error("Revision %d has %d faults.", value.version, len(problems))
            return
        self._revision = value.version
        self._writer.write(CatalogueInForce(value.version, catalogue.digest, catalogue))
        LOG.info("Revision %d in force, digest %s.", value.version, catalogue.digest)
