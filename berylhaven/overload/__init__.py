"""Decisions under overload, as functions of values without input or output."""

from berylhaven.overload._crowding import Crowding, best_concurrency, is_crowded
from berylhaven.overload._held_bytes import (
    INITIAL_DOWNLOAD_BYTES,
    SMALL_BYTES,
    Admission,
    AdmissionDecision,
    ExpectedSize,
    HeldKind,
    ReleaseRate,
    answer_kind,
    body_kind,
    decide_admission,
    room_bytes,
)
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
from berylhaven.overload._upload_limit import UploadLimit

__all__ = [
    "INITIAL_DOWNLOAD_BYTES",
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
    "UploadLimit",
    "answer_kind",
    "best_concurrency",
    "body_kind",
    "decide_admission",
    "decide_start",
    "is_crowded",
    "parse_limit_per_s",
    "return_after_s",
    "room_bytes",
    "turn_interval_s",
    "wait_limit_s",
    "wait_step_s",
]
