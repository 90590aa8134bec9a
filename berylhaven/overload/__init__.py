"""Decisions under overload, as functions of values without input or output."""

from berylhaven.overload._crowding import Crowding, best_concurrency, is_crowded
from berylhaven.overload._limit_share import (
    LimitShare,
    parse_limit_per_s,
    turn_interval_s,
)
from berylhaven.overload._return_time import return_after_s
from berylhaven.overload._service_reach import Reach, ServiceReach
from berylhaven.overload._start_decision import (
    StartDecision,
    StartOutlook,
    decide_start,
    wait_limit_s,
    wait_step_s,
)

__all__ = [
    "Crowding",
    "LimitShare",
    "Reach",
    "ServiceReach",
    "StartDecision",
    "StartOutlook",
    "best_concurrency",
    "decide_start",
    "is_crowded",
    "parse_limit_per_s",
    "return_after_s",
    "turn_interval_s",
    "wait_limit_s",
    "wait_step_s",
]
