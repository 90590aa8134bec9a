"""The adapter to backend servers: headers, load reports, shed calls and probes."""

from berylhaven.backend._headers import (
    CALL_ID_HEADER,
    DEADLINE_HEADER,
    LOAD_HEADER,
    SHED_HEADER,
    is_failure,
    is_shed,
    request_headers,
)
from berylhaven.backend._load_header import parse_load_header
from berylhaven.backend._probe import ProbeClient, ProbeFailed, ProbeTimeout

__all__ = [
    "CALL_ID_HEADER",
    "DEADLINE_HEADER",
    "LOAD_HEADER",
    "ProbeClient",
    "ProbeFailed",
    "ProbeTimeout",
    "SHED_HEADER",
    "is_failure",
    "is_shed",
    "parse_load_header",
    "request_headers",
]
