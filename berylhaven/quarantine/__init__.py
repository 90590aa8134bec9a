"""Decides which requests are no longer sent because servers end under them."""

from berylhaven.quarantine._crash_evidence import (
    RETENTION_S,
    Answered,
    CrashEvidence,
    Hold,
    Observation,
    Strike,
)
from berylhaven.quarantine._request_fingerprint import (
    FINGERPRINT_LENGTH,
    request_fingerprint,
)
from berylhaven.quarantine._trials import Trials

__all__ = [
    "FINGERPRINT_LENGTH",
    "RETENTION_S",
    "Answered",
    "CrashEvidence",
    "Hold",
    "Observation",
    "Strike",
    "Trials",
    "request_fingerprint",
]
