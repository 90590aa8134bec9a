"""The endpoint at which peers borrow part of a limit."""

from berylhaven.admission import BorrowAnswer, BorrowRequest, lend
from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.exchange import PeerAnswer, PeerRequest, register_peer_endpoint
from berylhaven.operations import ComponentLog

LOG = ComponentLog("lending")
BORROW_PATH = "/v1/limits/borrow"


@register_peer_endpoint(BORROW_PATH)
class LendingEndpoint:
    """Lends quota that this instance does not need.

    Parameters
    ----------
    context : ControllerContext
        Provides the gate with the limits.
    """

    def __init__(self, context: ControllerContext) -> None:
        self._context = context

    def answer(self, request: PeerRequest) -> PeerAnswer:
        """Answer a borrower; raise ValueError if its request is malformed."""
        borrow_request = BorrowRequest.from_bytes(request.body)
        limits = self._context.gate.limits().get(borrow_request.service)
        if limits is None:
            return PeerAnswer(BorrowAnswer(0.0, 0.0).to_bytes())
        answer = lend(limits, borrow_request, monotonic_s())
        if answer.amount > 0:
            LOG.info(
                "Lent %g of the %s limit of %s.",
                answer.amount,
                borrow_request.kind,
                borrow_request.service,
            )
        return PeerAnswer(answer.to_bytes())
