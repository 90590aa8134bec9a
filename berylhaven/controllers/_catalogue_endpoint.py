"""The endpoint from which peers fetch the active catalogue."""

from berylhaven.catalogue import CATALOGUE_SECTION
from berylhaven.controllers._context import ControllerContext
from berylhaven.exchange import PeerAnswer, PeerRequest, register_peer_endpoint

CATALOGUE_PATH = "/v1/catalogue"
REVISION_HEADER = "Catalogue-Revision"


@register_peer_endpoint(CATALOGUE_PATH)
class CatalogueEndpoint:
    """Serves the text of the active catalogue to peers.

    Parameters
    ----------
    context : ControllerContext
        Provides the blackboard.
    """

    def __init__(self, context: ControllerContext) -> None:
        self._blackboard = context.blackboard

    def answer(self, request: PeerRequest) -> PeerAnswer | None:
        """Return the text with its revision, or None if no catalogue is active yet."""
        reading = self._blackboard.read(CATALOGUE_SECTION)
        if reading is None:
            return None
        active_catalogue = reading.value
        return PeerAnswer(
            active_catalogue.catalogue.text.encode(),
            "text/plain; charset=utf-8",
            {REVISION_HEADER: str(active_catalogue.revision)},
        )
