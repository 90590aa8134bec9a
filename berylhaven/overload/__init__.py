"""Decisions under overload, as functions of values without input or output."""

from berylhaven.overload._crowding import Crowding, best_concurrency, is_crowded
from berylhaven.overload._held_bytes import (
    CLAIM_LIMIT_S,
    INITIAL_DOWNLOAD_BYTES,
    MIN_STEP_BYTES,
    SMALL_BYTES,
    Admission,
    AdmissionDecision,
    ExpectedSize,
    HeldKind,
    ReleaseRate,
    answer_kind,
    body_kind,
    decide_admission,
    decide_growth,
    growth_step_bytes,
    may_claim,
    room_bytes,
)
from berylhaven.overload._limit_share import (
    TURN_DURATION_S,
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
from berylhaven.overload._upload_limit import UploadLimit
from berylhaven.overload._warmup_share import (
    WarmupPlan,
    WarmupTolerance,
    plan_warmup,
    warmup_interval_s,
)

__all__ = [
    "CLAIM_LIMIT_S",
    "INITIAL_DOWNLOAD_BYTES",
    "MIN_STEP_BYTES",
    "SMALL_BYTES",
    "Admission",
    "AdmissionDecision",
    "Crowding",
    "ExpectedSize",
    "HeldKind",
    "LimitShare",
    "Reach",
    "ReleaseRate",
    "ServiceReach",
    "StartDecision",
    "StartOutlook",
    "TURN_DURATION_S",
    "WarmupPlan",
    "WarmupTolerance",
    "UploadLimit",
    "answer_kind",
    "best_concurrency",
    "body_kind",
    "decide_admission",
    "decide_growth",
    "decide_start",
    "growth_step_bytes",
    "is_crowded",
    "may_claim",
    "parse_limit_per_s",
    "plan_warmup",
    "return_after_s",
    "room_bytes",
    "turn_interval_s",
    "wait_limit_s",
    "wait_step_s",
    "warmup_interval_s",
]
