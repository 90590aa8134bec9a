"""When an idempotent request is sent to a second server: decisions without I/O."""

from berylhaven.hedging._busy_ratio import LoadSample, busy_ratio
from berylhaven.hedging._fleet_place import FleetPlace, fleet_place
from berylhaven.hedging._hedge_budget import HedgeBudget
from berylhaven.hedging._hedge_decision import HedgeDenial, HedgeOutlook, deny_hedge
from berylhaven.hedging._hedge_limit import HedgeLimit
from berylhaven.hedging._time_distribution import TimeDistribution

__all__ = [
    "FleetPlace",
    "HedgeBudget",
    "HedgeDenial",
    "HedgeLimit",
    "HedgeOutlook",
    "LoadSample",
    "TimeDistribution",
    "busy_ratio",
    "deny_hedge",
    "fleet_place",
]
