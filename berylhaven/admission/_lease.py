"""Leases by which one instance lends some of its quota to another."""

from dataclasses import dataclass

# How long a lender does not use what it lent, measured on its own clock.
LEASE_DURATION_S = 10.0
# The maximum relative difference between the rates of two clocks.
CLOCK_RATE_ERROR_RATIO = 0.01


@dataclass(slots=True)
class LentLease:
    """Quota that this instance lent and must not use until the lease ends."""

    # The lease's id: the borrower's nonce and a counter of the borrower.
    lease_id: str
    # The amount of the lease, in units of the limit.
    amount: float
    # When the lease ends and the lender may use the amount again, on the hub's clock.
    ends_at_s: float


@dataclass(slots=True)
class BorrowedLease:
    """Quota that this instance borrowed."""

    # The lease's id, the same at the lender.
    lease_id: str
    # The lender's HOST:PORT for peers.
    lender_address: str
    # The amount of the lease, in units of the limit.
    amount: float
    # Until when the lease may be used, on the hub's clock.
    ends_at_s: float
    # How much of the lease is in use now, in units of the limit.
    in_use: int = 0


def borrower_end_s(requested_at_s: float, duration_s: float) -> float:
    """Return until when a borrower may use a lease, on its own clock.

    The borrower counts from before it sent the request, so its lease starts no later
    than the lender's. Because the rates of the two clocks may differ, the duration is
    reduced by twice the maximum difference.

    Parameters
    ----------
    requested_at_s : float
        When the request was sent, on the borrower's clock.
    duration_s : float
        The lease's duration in seconds on the lender's clock.

    Returns
    -------
    float
        A time on the borrower's clock that is before the end of the lease at the
        lender.
    """
    return requested_at_s + duration_s * (1.0 - 2.0 * CLOCK_RATE_ERROR_RATIO)
