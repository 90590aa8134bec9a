"""Whether a request whose hedge is due may be sent to a second server now.

Load pattern: under overload all answers are late, so that a hedge is due for each
request; each hedge then takes the slot of another request.
"""

import enum
from dataclasses import dataclass

from berylhaven.hedging._hedge_limit import HedgeLimit


class HedgeDenial(enum.Enum):
    """Why a hedge is not sent."""

    # The limit is 0.
    SWITCHED_OFF = "switched off"
    # Servers may have crashed because of the request.
    SUSPECT = "suspect"
    # The route's attempts are used up, or the time, or the body is not kept.
    NO_ATTEMPT = "no attempt"
    # This instance does not reach most servers.
    UNREACHED = "unreached"
    # The slots of the service are in use.
    BUSY = "busy"
    # The limit of hedges is used up.
    LIMIT = "limit"
    # The retry budget is used up, but for what is kept for retries.
    RETRY_BUDGET = "retry budget"
    # No server is suitable: each is full, cold, limited, unresponsive or was tried.
    NO_SERVER = "no server"
    # The first attempt ended while a server was chosen.
    ANSWERED = "answered"


@dataclass(slots=True, frozen=True)
class HedgeOutlook:
    """What is known when a hedge is due."""

    # Whether servers may have crashed because of the request.
    is_suspect: bool
    # Whether another attempt is allowed at all.
    can_attempt: bool
    # Whether this instance reaches most servers.
    is_reached: bool
    # The share of the service's slots in use; None if unknown.
    busy_ratio: float | None
    # Whether the budget of hedges has one left.
    has_hedge: bool
    # Whether the retry budget has one left beside its reserve.
    has_retry: bool


def deny_hedge(limit: HedgeLimit, outlook: HedgeOutlook) -> HedgeDenial | None:
    """Return why a hedge is not sent, or None if it may be sent.

    Parameters
    ----------
    limit : HedgeLimit
        The limit that operators set.
    outlook : HedgeOutlook
        What is known.

    Returns
    -------
    HedgeDenial or None
        The first reason.
    """
    if limit.extra_request_ratio <= 0:
        return HedgeDenial.SWITCHED_OFF
    if outlook.is_suspect:
        return HedgeDenial.SUSPECT
    if not outlook.can_attempt:
        return HedgeDenial.NO_ATTEMPT
    if not outlook.is_reached:
        return HedgeDenial.UNREACHED
    # Without any report nothing shows that there is room.
    if outlook.busy_ratio is None or outlook.busy_ratio > limit.busy_slot_ratio:
        return HedgeDenial.BUSY
    if not outlook.has_hedge:
        return HedgeDenial.LIMIT
    if not outlook.has_retry:
        return HedgeDenial.RETRY_BUDGET
    return None
