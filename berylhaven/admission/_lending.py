"""Lending of quotas between peers: messages, lender and borrower decisions."""

import enum
import math
from dataclasses import asdict, dataclass

import orjson

from berylhaven.admission._escrow import Escrow
from berylhaven.admission._lease import LEASE_DURATION_S
from berylhaven.admission._service_limits import ServiceLimits

# A borrower requests, and a lender keeps, this multiple of its demand.
HEADROOM_RATIO = 1.25
# A lease with less than this share of its duration left is replaced.
RENEW_RATIO = 0.4
# One request is for at most this multiple of the borrower's own quota.
MAX_REQUEST_RATIO = 4.0


class LimitKind(enum.Enum):
    """Which of a service's limits a lease belongs to."""

    CONCURRENCY = "concurrency"
    RATE = "rate"


@dataclass(slots=True, frozen=True)
class BorrowRequest:
    """A request to borrow quota, or to return it."""

    # The id that the borrower gave the lease; a repeated request has the same id.
    lease_id: str
    # The service's name.
    service: str
    # The value of a `LimitKind`.
    kind: str
    # The requested amount in units of the limit; 0 returns the lease.
    wanted: float

    def to_bytes(self) -> bytes:
        """Return the request as JSON."""
        return orjson.dumps(asdict(self))

    @classmethod
    def from_bytes(cls, raw: bytes) -> "BorrowRequest":
        """Parse a request; raise ValueError if it is malformed."""
        document = orjson.loads(raw)
        try:
            request = cls(**document)
            LimitKind(request.kind)
            is_valid = math.isfinite(request.wanted) and request.wanted >= 0
        except TypeError as error:
            raise ValueError(f"borrow request: {error}") from error
        if not is_valid or not isinstance(request.lease_id, str):
            raise ValueError(
                "borrow request: lease_id is not a string, or wanted is out of range"
            )
        return request


@dataclass(slots=True, frozen=True)
class BorrowAnswer:
    """The lender's answer to a `BorrowRequest`."""

    # The lent amount in units of the limit; 0 if nothing can be lent.
    amount: float
    # Seconds until the lender uses the amount again, on its own clock.
    duration_s: float

    def to_bytes(self) -> bytes:
        """Return the answer as JSON."""
        return orjson.dumps(asdict(self))

    @classmethod
    def from_bytes(cls, raw: bytes) -> "BorrowAnswer":
        """Parse an answer; raise ValueError if it is malformed."""
        try:
            answer = cls(**orjson.loads(raw))
            is_valid = answer.amount >= 0 and 0 <= answer.duration_s <= LEASE_DURATION_S
        except TypeError as error:
            raise ValueError(f"borrow answer: {error}") from error
        if not is_valid:
            raise ValueError("borrow answer: amount or duration_s is out of range")
        return answer


def escrow_of(limits: ServiceLimits, kind: LimitKind) -> Escrow:
    """Return the escrow of one of a service's limits."""
    if kind is LimitKind.CONCURRENCY:
        return limits.concurrency.escrow
    return limits.rate.escrow


def demand_of(limits: ServiceLimits, kind: LimitKind) -> float:
    """Return the recent demand for one of a service's limits."""
    if kind is LimitKind.CONCURRENCY:
        return limits.concurrency_demand.amount
    return limits.rate_demand_per_s.amount


def lend(limits: ServiceLimits, request: BorrowRequest, now_s: float) -> BorrowAnswer:
    """Process a borrower's request at the lender.

    Parameters
    ----------
    limits : ServiceLimits
        The lender's limits of the service.
    request : BorrowRequest
        The amount to borrow, or the lease to return.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    BorrowAnswer
        The granted lease, which the lender does not use until it ends, or amount 0.
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
    """Return the amount to borrow, 0 if none is needed.

    Parameters
    ----------
    escrow : Escrow
        The borrower's quota and leases.
    demand : float
        Its recent demand, in units of the limit.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    float
        The amount in units of the limit; leases that are about to end are not counted
        as available.
    """
    unexpiring = sum(
        lease.amount
        for lease in escrow.borrowed(now_s)
        if lease.ends_at_s - now_s > LEASE_DURATION_S * RENEW_RATIO
    )
    # The own quota alone covers the demand and the headroom.
    if demand <= escrow.usable_quota(now_s) / HEADROOM_RATIO:
        return 0.0
    missing = demand * HEADROOM_RATIO - escrow.usable_quota(now_s) - unexpiring
    ceiling = max(1.0, escrow.quota * MAX_REQUEST_RATIO)
    return 0.0 if missing < 1.0 else min(math.ceil(missing), ceiling)


def idle_lease_ids(escrow: Escrow, demand: float, now_s: float) -> list[str]:
    """Return the borrowed leases that can be returned because the demand has fallen.

    Parameters
    ----------
    escrow : Escrow
        The borrower's quota and leases.
    demand : float
        Its recent demand, in units of the limit.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    list of str
        Ids of leases that no call uses.
    """
    if demand * HEADROOM_RATIO > escrow.usable_quota(now_s):
        return []
    return [lease.lease_id for lease in escrow.borrowed(now_s) if lease.in_use == 0]
