"""The sections of the status document for limits, leases and firms' shares."""

from berylhaven.admission import AdmissionGate, LimitKind, demand_of, escrow_of
from berylhaven.catalogue import Catalogue

DECIMALS = 2


def limits_rows(gate: AdmissionGate, now_s: float) -> list[dict]:
    """Return a row for each limit of each service.

    Parameters
    ----------
    gate : AdmissionGate
        The gate, which holds the limits.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    list of dict
        This instance's quota, and the amounts usable, lent, borrowed and demanded.
    """
    rows = []
    for service, limits in sorted(gate.limits().items()):
        for kind in LimitKind:
            escrow = escrow_of(limits, kind)
            row = {
                "service": service,
                "limit": kind.value,
                "own_part": round(escrow.quota, DECIMALS),
                "usable": round(escrow.usable_quota(now_s), DECIMALS),
                "lent": escrow.lent_amount(now_s),
                "borrowed": escrow.borrowed_amount(now_s),
                "wanted": round(demand_of(limits, kind), DECIMALS),
                "in_flight": limits.concurrency.in_flight_count(now_s),
                "refused": limits.refused_count,
            }
            rows.append(row)
    return rows


def lease_rows(gate: AdmissionGate, now_s: float) -> list[dict]:
    """Return a row for each borrowed lease.

    Parameters
    ----------
    gate : AdmissionGate
        The gate, which holds the leases.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    list of dict
        The lender, the amount, and the remaining time of use in seconds.
    """
    return [
        {
            "service": service,
            "limit": kind.value,
            "lender": lease.lender_address,
            "amount": lease.amount,
            "ends_in_s": round(lease.ends_at_s - now_s, DECIMALS),
        }
        for service, limits in sorted(gate.limits().items())
        for kind in LimitKind
        for lease in escrow_of(limits, kind).borrowed(now_s)
    ]


def firm_rows(gate: AdmissionGate, catalogue: Catalogue | None) -> list[dict]:
    """Return a row for each firm of the active catalogue.

    Parameters
    ----------
    gate : AdmissionGate
        The gate, which counts the firms' calls in flight.
    catalogue : Catalogue or None
        The active catalogue, if there is one.

    Returns
    -------
    list of dict
        The firm's guaranteed share and its calls in flight on this instance.
    """
    if catalogue is None:
        return []
    return [
        {
            "firm": firm.name,
            "guaranteed_share_ratio": firm.guaranteed_share_ratio,
            "in_flight": gate.shares.firm_in_flight_count(firm.name),
        }
        for firm in catalogue.firms.values()
    ]
