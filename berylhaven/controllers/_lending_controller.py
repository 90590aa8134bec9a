"""Borrows pieces of limits from peers where demand is over the own part."""

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
# A step asks peers no more often than this, so that its cost is bounded.
QUESTIONS_PER_STEP = 4
# After a refusal a limit is not asked for again before a random time up to this.
BACK_OFF_S = 2.0


@register_controller("lending")
class LendingController:
    """Asks peers for pieces, and gives back those that are no longer wanted.

    Parameters
    ----------
    context : ControllerContext
        With the gate, the peers and the client.
    """

    interval_s = 0.25

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        self._lease_count = 0
        self._ask_again_at_s: dict[tuple[str, LimitKind], float] = {}

    def step(self) -> None:
        """Look at each limit's demand once."""
        now_s = monotonic_s()
        self._apply_catalogue(now_s)
        questions_left = QUESTIONS_PER_STEP
        for service, limits in list(self._context.gate.limits().items()):
            limits.observe_demand(now_s)
            if limits.is_idle:
                continue
            for kind in LimitKind:
                self._give_back_idle(service, limits, kind, now_s)
                if questions_left and self._wants(service, limits, kind, now_s):
                    questions_left -= 1
                    self._borrow(service, limits, kind)

    def _apply_catalogue(self, now_s: float) -> None:
        # An instance without calls of a service has its part of it to lend.
        reading = self._context.blackboard.read(CATALOGUE_SECTION)
        if reading is not None:
            self._context.gate.apply(reading.value.catalogue, now_s)

    def _wants(
        self, service: str, limits: ServiceLimits, kind: LimitKind, now_s: float
    ) -> bool:
        if now_s < self._ask_again_at_s.get((service, kind), now_s):
            return False
        demand = demand_of(limits, kind)
        return wanted_amount(escrow_of(limits, kind), demand, now_s) > 0

    def _borrow(self, service: str, limits: ServiceLimits, kind: LimitKind) -> None:
        lender = self._choose_lender()
        if lender is None:
            return
        asked_at_s = monotonic_s()
        escrow = escrow_of(limits, kind)
        wanted = wanted_amount(escrow, demand_of(limits, kind), asked_at_s)
        request = BorrowRequest(self._new_lease_id(), service, kind.value, wanted)
        answer = self._ask(lender, request)
        if answer is None or answer.amount == 0:
            pause_s = self._context.random.uniform(0, BACK_OFF_S)
            self._ask_again_at_s[service, kind] = asked_at_s + pause_s
            return
        limits.rate.refill(monotonic_s())
        escrow.add_borrowed(
            BorrowedLease(
                lease_id=request.lease_id,
                lender_address=lender,
                amount=min(answer.amount, wanted),
                ends_at_s=borrower_end_s(asked_at_s, answer.duration_s),
            )
        )
        limits.rate.refill(monotonic_s())
        LOG.info(
            "Borrowed %g of %s of %s from %s for %.1f s.",
            answer.amount,
            kind.value,
            service,
            lender,
            answer.duration_s,
        )

    def _give_back_idle(
        self, service: str, limits: ServiceLimits, kind: LimitKind, now_s: float
    ) -> None:
        escrow = escrow_of(limits, kind)
        for lease_id in idle_lease_ids(escrow, demand_of(limits, kind), now_s):
            limits.rate.refill(now_s)
            # Dropped before the lender hears of it, so that both never use it.
            lease = escrow.drop_borrowed(lease_id)
            limits.rate.refill(now_s)
            if lease is not None:
                request = BorrowRequest(lease_id, service, kind.value, 0.0)
                self._ask(lease.lender_address, request)
                LOG.info("Gave %s of %s back.", kind.value, service)

    def _ask(self, peer: str, request: BorrowRequest) -> BorrowAnswer | None:
        try:
            raw = self._context.peer_client.request(
                "POST", peer, BORROW_PATH, request.to_bytes()
            )
            return BorrowAnswer.from_bytes(raw)
        except (PeerUnreachable, ValueError) as error:
            LOG.debug("Lender %s did not answer: %s.", peer, error)
            return None

    def _choose_lender(self) -> str | None:
        live = self._context.peer_table.in_state(monotonic_s(), PeerState.LIVE)
        if not live:
            return None
        peer = self._context.random.choice(live)
        return peer.announcement.peers_address

    def _new_lease_id(self) -> str:
        self._lease_count += 1
        nonce = self._context.local_instance.identity.nonce
        return f"{nonce}-{self._lease_count}"
