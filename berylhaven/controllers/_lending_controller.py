"""Borrows parts of limits from peers if demand exceeds the own quota."""

from berylhaven.admission import (
    BorrowAnswer,
    BorrowedLease,
    BorrowRequest,
    LimitKind,
    ServiceLimits,
    borrower_end_s,
    demand_of,
    escrow_of,
    idle_lease_ids,
    wanted_amount,
)
from berylhaven.catalogue import CATALOGUE_SECTION
from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._lending_endpoint import BORROW_PATH
from berylhaven.controllers._registry import register_controller
from berylhaven.exchange import PeerUnreachable
from berylhaven.membership import PeerState
from berylhaven.operations import ComponentLog

LOG = ComponentLog("lending")
# The maximum number of requests to peers in a step, which bounds its cost.
REQUESTS_PER_STEP = 4
# After a refusal, the next request for a limit waits a random time up to this.
MAX_BACKOFF_S = 2.0


@register_controller("lending")
class LendingController:
    """Requests leases from peers, and returns those that are no longer needed.

    Parameters
    ----------
    context : ControllerContext
        Provides the gate, the peers and the peer client.
    """

    interval_s = 0.25

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        self._lease_count = 0
        self._retry_at_s: dict[tuple[str, LimitKind], float] = {}

    def step(self) -> None:
        """Compare the demand on each limit with its quota; borrow or return leases."""
        now_s = monotonic_s()
        self._apply_catalogue(now_s)
        remaining_requests = REQUESTS_PER_STEP
        for service, limits in list(self._context.gate.limits().items()):
            limits.observe_demand(now_s)
            if limits.is_idle:
                continue
            for kind in LimitKind:
                self._return_idle(service, limits, kind, now_s)
                if remaining_requests and self._should_borrow(
                    service, limits, kind, now_s
                ):
                    remaining_requests -= 1
                    self._borrow(service, limits, kind)

    def _apply_catalogue(self, now_s: float) -> None:
        # The quotas of services without calls here are needed too: they can be lent.
        reading = self._context.blackboard.read(CATALOGUE_SECTION)
        if reading is not None:
            self._context.gate.apply(reading.value.catalogue, now_s)

    def _should_borrow(
        self, service: str, limits: ServiceLimits, kind: LimitKind, now_s: float
    ) -> bool:
        if now_s < self._retry_at_s.get((service, kind), now_s):
            return False
        demand = demand_of(limits, kind)
        return wanted_amount(escrow_of(limits, kind), demand, now_s) > 0

    def _borrow(self, service: str, limits: ServiceLimits, kind: LimitKind) -> None:
        lender = self._choose_lender()
        if lender is None:
            return
        requested_at_s = monotonic_s()
        escrow = escrow_of(limits, kind)
        wanted = wanted_amount(escrow, demand_of(limits, kind), requested_at_s)
        request = BorrowRequest(self._new_lease_id(), service, kind.value, wanted)
        answer = self._send_request(lender, request)
        if answer is None or answer.amount == 0:
            pause_s = self._context.random.uniform(0, MAX_BACKOFF_S)
            self._retry_at_s[service, kind] = requested_at_s + pause_s
            return
        limits.rate.refill(monotonic_s())
        escrow.add_borrowed(
            BorrowedLease(
                lease_id=request.lease_id,
                lender_address=lender,
                amount=min(answer.amount, wanted),
                ends_at_s=borrower_end_s(requested_at_s, answer.duration_s),
            )
        )
        limits.rate.refill(monotonic_s())
        LOG.info(
            "Borrowed %g of the %s limit of %s from %s for %.1f s.",
            answer.amount,
            kind.value,
            service,
            lender,
            answer.duration_s,
        )

    def _return_idle(
        self, service: str, limits: ServiceLimits, kind: LimitKind, now_s: float
    ) -> None:
        escrow = escrow_of(limits, kind)
        for lease_id in idle_lease_ids(escrow, demand_of(limits, kind), now_s):
            limits.rate.refill(now_s)
            # Dropped before the lender is notified, so that the two never both use it.
            lease = escrow.drop_borrowed(lease_id)
            limits.rate.refill(now_s)
            if lease is not None:
                request = BorrowRequest(lease_id, service, kind.value, 0.0)
                self._send_request(lease.lender_address, request)
                LOG.info("Returned a lease of the %s limit of %s.", kind.value, service)

    def _send_request(self, peer: str, request: BorrowRequest) -> BorrowAnswer | None:
        try:
            raw = self._context.peer_client.request(
                "POST", peer, BORROW_PATH, request.to_bytes()
            )
            return BorrowAnswer.from_bytes(raw)
        except (PeerUnreachable, ValueError) as error:
            LOG.debug("Lease request to %s failed: %s.", peer, error)
            return None

    def _choose_lender(self) -> str | None:
        live_peers = self._context.peer_table.in_state(monotonic_s(), PeerState.LIVE)
        if not live_peers:
            return None
        peer = self._context.random.choice(live_peers)
        return peer.announcement.peers_address

    def _new_lease_id(self) -> str:
        self._lease_count += 1
        nonce = self._context.local_instance.identity.nonce
        return f"{nonce}-{self._lease_count}"
