"""Lending pieces of limits between peers: messages, the lender, the plan."""

import enum
import math
from dataclasses import asdict, dataclass

import orjson

from berylhaven.admission._escrow import Escrow
from berylhaven.admission._lease import LEASE_DURATION_S
from berylhaven.admission._service_limits import ServiceLimits

# How much more than the demand a borrower asks for and a lender keeps.
HEADROOM_RATIO = 1.25
# A lease that ends sooner than this share of its time is replaced.
RENEW_RATIO = 0.4
# One question asks for no more than this multiple of the own part.
ASK_MAXIMUM_RATIO = 4.0


class LimitKind(enum.Enum):
    """Which of a service's limits a piece belongs to."""

    CONCURRENCY = "concurrency"
    RATE = "rate"


@dataclass(slots=True, frozen=True)
class BorrowRequest:
    """A question for a piece of a limit."""

    # The borrower's name for the lease; a repeat bears the same.
    lease_id: str
    # The service's name.
    service: str
    # The value of a `LimitKind`.
    kind: str
    # How much is wanted; 0 gives the lease back.
    wanted: float

    def to_bytes(self) -> bytes:
        """Return the request as JSON."""
        return orjson.dumps(asdict(self))

    @classmethod
    def from_bytes(cls, raw: bytes) -> "BorrowRequest":
        """Read a request; raise ValueError if it is malformed."""
        document = orjson.loads(raw)
        try:
            request = cls(**document)
            LimitKind(request.kind)
            is_sound = math.isfinite(request.wanted) and request.wanted >= 0
        except TypeError as error:
            raise ValueError(f"borrow request: {error}") from error
        if not is_sound or not isinstance(request.lease_id, str):
            raise ValueError("borrow request: malformed")
        return request


@dataclass(slots=True, frozen=True)
class BorrowAnswer:
    """What the lender gives."""

    # The size of the piece; 0 if there is none to spare.
    amount: float
    # How long the lender keeps the piece back, on its own clock.
    duration_s: float

    def to_bytes(self) -> bytes:
        """Return the answer as JSON."""
        return orjson.dumps(asdict(self))

    @classmethod
    def from_bytes(cls, raw: bytes) -> "BorrowAnswer":
        """Read an answer; raise ValueError if it is malformed."""
        try:
            answer = cls(**orjson.loads(raw))
            is_sound = answer.amount >= 0 and 0 <= answer.duration_s <= LEASE_DURATION_S
        except TypeError as error:
            raise ValueError(f"borrow answer: {error}") from error
        if not is_sound:
            raise ValueError("borrow answer: malformed")
        return answer


def escrow_of(limits: ServiceLimits, kind: LimitKind) -> Escrow:
    """Return the escrow of one of a service's limits."""
    if kind is LimitKind.CONCURRENCY:
        return limits.concurrency.escrow
    return limits.rate.escrow


def demand_of(limits: ServiceLimits, kind: LimitKind) -> float:
    """Return how much of one of a service's limits was wanted lately."""
    if kind is LimitKind.CONCURRENCY:
        return limits.concurrency_demand.amount
    return limits.rate_demand_per_s.amount


def lend(limits: ServiceLimits, request: BorrowRequest, now_s: float) -> BorrowAnswer:
    """Answer a borrower.

    Parameters
    ----------
    limits : ServiceLimits
        The lender's limits of the service.
    request : BorrowRequest
        What is wanted, or given back.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    BorrowAnswer
        A piece that the lender does not use until its end.
    """
    limits.rate.refill(now_s)
    kind = LimitKind(request.kind)
    escrow = escrow_of(limits, kind)
    if request.wanted == 0:
        escrow.reclaim(request.lease_id)
        return BorrowAnswer(0.0, 0.0)
    reserved = demand_of(limits, kind) * HEADROOM_RATIO
    if kind is LimitKind.CONCURRENCY:
        reserved = max(reserved, float(limits.concurrency.own_in_use))
    lease = escrow.lend(request.lease_id, request.wanted, reserved, now_s)
    limits.rate.refill(now_s)
    if lease is None:
        return BorrowAnswer(0.0, 0.0)
    return BorrowAnswer(lease.amount, lease.ends_at_s - now_s)


def wanted_amount(escrow: Escrow, demand: float, now_s: float) -> float:
    """Return how much to borrow, 0 if nothing.

    Parameters
    ----------
    escrow : Escrow
        The borrower's parts.
    demand : float
        How much it wanted lately.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    float
        In units of the limit; leases about to end do not count as had.
    """
    lasting = sum(
        lease.amount
        for lease in escrow.borrowed(now_s)
        if lease.ends_at_s - now_s > LEASE_DURATION_S * RENEW_RATIO
    )
    # Below the own part there is headroom already.
    if demand <= escrow.usable_quota(now_s) / HEADROOM_RATIO:
        return 0.0
    missing = demand * HEADROOM_RATIO - escrow.usable_quota(now_s) - lasting
    ceiling = max(1.0, escrow.quota * ASK_MAXIMUM_RATIO)
    return 0.0 if missing < 1.0 else min(math.ceil(missing), ceiling)


def idle_lease_ids(escrow: Escrow, demand: float, now_s: float) -> list[str]:
    """Return the borrowed leases that can go back, as the demand has fallen.

    Parameters
    ----------
    escrow : Escrow
        The borrower's parts.
    demand : float
        How much it wanted lately.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    list of str
        Names of leases that no call uses.
    """
    if demand * HEADROOM_RATIO > escrow.usable_quota(now_s):
        return []
    return [lease.lease_id for lease in escrow.borrowed(now_s) if lease.in_use == 0]
