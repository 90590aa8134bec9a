"""Answers peers that want to borrow a piece of a limit."""

from berylhaven.admission import BorrowAnswer, BorrowRequest, lend
from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.exchange import PeerAnswer, PeerRequest, register_peer_endpoint
from berylhaven.operations import ComponentLog

LOG = ComponentLog("lending")
BORROW_PATH = "/v1/limits/borrow"


@register_peer_endpoint(BORROW_PATH)
class LendingEndpoint:
    """Lends what this instance does not need.

    Parameters
    ----------
    context : ControllerContext
        With the gate.
    """

    def __init__(self, context: ControllerContext) -> None:
        self._context = context

    def answer(self, request: PeerRequest) -> PeerAnswer:
        """Answer a borrower; raise ValueError if its request is malformed."""
        wanted = BorrowRequest.from_bytes(request.body)
        limits = self._context.gate.limits().get(wanted.service)
        if limits is None:
            return PeerAnswer(BorrowAnswer(0.0, 0.0).to_bytes())
        answer = lend(limits, wanted, monotonic_s())
        if answer.amount > 0:
            LOG.info("Lent %g of %s of %s.", answer.amount, wanted.kind, wanted.service)
        return PeerAnswer(answer.to_bytes())
