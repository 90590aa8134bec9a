"""Leases on pieces of a limit, between a lender and a borrower."""

from dataclasses import dataclass

# How long a lender keeps a lent piece back, on its own clock.
LEASE_DURATION_S = 10.0
# Two clocks' rates differ by no more than this share.
CLOCK_RATE_ERROR_RATIO = 0.01


@dataclass(slots=True)
class LentLease:
    """A piece that this instance lent; it must not use it until the end."""

    # Names the lease; the borrower's nonce and a number of its own.
    lease_id: str
    # The size of the piece, in units of the limit.
    amount: float
    # When the piece is the lender's again, on the hub's clock.
    ends_at_s: float


@dataclass(slots=True)
class BorrowedLease:
    """A piece that this instance borrowed."""

    # Names the lease, as the lender knows it.
    lease_id: str
    # The peers' address of the lender.
    lender_address: str
    # The size of the piece, in units of the limit.
    amount: float
    # Until when the piece may be used, on the hub's clock.
    ends_at_s: float
    # How much of the piece is in use now.
    in_use: int = 0


def borrower_end_s(asked_at_s: float, duration_s: float) -> float:
    """Return until when a borrower may use a piece, on its own clock.

    The time counts from before the question went out, so that it began no later
    than the lender's; the clocks' rates may differ, so it is cut by twice the bound.

    Parameters
    ----------
    asked_at_s : float
        When the question was sent, on the borrower's clock.
    duration_s : float
        The lease's duration, as the lender counts it.

    Returns
    -------
    float
        A time on the borrower's clock that comes before the lender's end.
    """
    return asked_at_s + duration_s * (1.0 - 2.0 * CLOCK_RATE_ERROR_RATIO)
