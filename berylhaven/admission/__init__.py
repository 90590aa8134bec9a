"""Admission control: limits by service, shares by firm and shedding by class."""

from berylhaven.admission._concurrency_limit import ConcurrencyLimit, ConcurrencySlot
from berylhaven.admission._demand import Demand
from berylhaven.admission._escrow import LENDABLE_RATIO, Escrow
from berylhaven.admission._firm_shares import FirmShares
from berylhaven.admission._gate import AdmissionGate, AdmissionTicket
from berylhaven.admission._lease import (
    CLOCK_RATE_ERROR_RATIO,
    LEASE_DURATION_S,
    BorrowedLease,
    LentLease,
    borrower_end_s,
)
from berylhaven.admission._lending import (
    HEADROOM_RATIO,
    BorrowAnswer,
    BorrowRequest,
    LimitKind,
    demand_of,
    escrow_of,
    idle_lease_ids,
    lend,
    wanted_amount,
)
from berylhaven.admission._overload import LATENESS_TARGET_S, OverloadEstimator
from berylhaven.admission._rate_limit import BURST_S, RateLimit
from berylhaven.admission._service_limits import ServiceLimits, connection_quota

__all__ = [
    "BURST_S",
    "CLOCK_RATE_ERROR_RATIO",
    "LATENESS_TARGET_S",
    "HEADROOM_RATIO",
    "LEASE_DURATION_S",
    "LENDABLE_RATIO",
    "AdmissionGate",
    "AdmissionTicket",
    "BorrowAnswer",
    "BorrowRequest",
    "BorrowedLease",
    "ConcurrencyLimit",
    "ConcurrencySlot",
    "Demand",
    "Escrow",
    "FirmShares",
    "LentLease",
    "LimitKind",
    "OverloadEstimator",
    "RateLimit",
    "ServiceLimits",
    "borrower_end_s",
    "connection_quota",
    "demand_of",
    "escrow_of",
    "idle_lease_ids",
    "lend",
    "wanted_amount",
]
