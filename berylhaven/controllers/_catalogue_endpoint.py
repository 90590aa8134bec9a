"""The endpoint by which peers fetch the catalogue in force."""

from berylhaven.catalogue import CATALOGUE_SECTION
from berylhaven.controllers._context import ControllerContext
from berylhaven.exchange import PeerAnswer, PeerRequest, register_peer_endpoint

CATALOGUE_PATH = "/v1/catalogue"
REVISION_HEADER = "Catalogue-Revision"


@register_peer_endpoint(CATALOGUE_PATH)
class CatalogueEndpoint:
    """Gives peers the text of the catalogue in force.

    Parameters
    ----------
    context : ControllerContext
        With the blackboard.
    """

    def __init__(self, context: ControllerContext) -> None:
        self._blackboard = context.blackboard

    def answer(self, request: PeerRequest) -> PeerAnswer | None:
        """Return the text with its revision, or None before the first."""
        reading = self._blackboard.read(CATALOGUE_SECTION)
        if reading is None:
            return None
        in_force = reading.value
        return PeerAnswer(
            in_force.catalogue.text.encode(),
            "text/plain; charset=utf-8",
            {REVISION_HEADER: str(in_force.revision)},
        )
