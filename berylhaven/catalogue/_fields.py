"""Sections and keys of the catalogue, and the value kinds that only it has."""

import re

from berylhaven.catalogue._model import CallClass, MethodPath
from berylhaven.ini import Field, register_value_kind

DAY_MS = 86_400_000
TERABYTE_BYTES = 10**12

# Each call is compared with the patterns of its service, about 1 ms for 1,000.
PATTERNS_LIMIT = 1_000
METHOD_PATTERN = re.compile(r"\*|[A-Z]{1,16}")


@register_value_kind("call_class")
def parse_call_class(text: str) -> CallClass:
    """Parse a call class."""
    try:
        return CallClass(text)
    except ValueError:
        choices = ", ".join(kind.value for kind in CallClass)
        raise ValueError(f"expected one of {choices}") from None


@register_value_kind("method_paths")
def parse_method_paths(text: str) -> tuple[MethodPath, ...]:
    """Parse patterns like ``GET /*, PUT /profiles/*``; an empty text has none."""
    parts = text.split(",")
    if len(parts) > PATTERNS_LIMIT:
        raise ValueError(f"more than {PATTERNS_LIMIT} patterns")
    patterns = []
    for part in parts:
        words = part.split()
        if not words:
            continue
        if len(words) != 2 or not METHOD_PATTERN.fullmatch(words[0]):
            raise ValueError("expected METHOD /PATH pairs separated by commas")
        if not words[1].startswith("/"):
            raise ValueError("expected a path that begins with /")
        patterns.append(MethodPath(words[0], words[1]))
    return tuple(patterns)


FLEET_FIELDS = (Field("max_entry_instances", "integer", minimum=1, maximum=10_000),)

FIRM_FIELDS = (Field("guaranteed_share_ratio", "number", minimum=0, maximum=1),)

SERVICE_FIELDS = (
    Field("owner", "name"),
    Field("class", "call_class"),
    Field("concurrency_limit", "integer", minimum=1, maximum=1_000_000),
    Field(
        "connection_limit_per_backend_server",
        "integer",
        default=300,
        minimum=1,
        maximum=100_000,
    ),
    Field("rate_limit_per_s", "number", minimum=0.001, maximum=10_000_000),
    Field("measuring_budget_ratio", "number", default=0.01, minimum=0, maximum=0.5),
    Field("probe_cost_ms", "number", default=6.0, minimum=0.01, maximum=10_000),
    Field("deadline_ms", "integer", minimum=1, maximum=DAY_MS),
    Field(
        "body_limit_bytes",
        "integer",
        default=1_000_000,
        minimum=0,
        maximum=TERABYTE_BYTES,
    ),
    Field("idempotent", "method_paths", default=()),
    Field("retry_budget_ratio", "number", default=0.1, minimum=0, maximum=1),
    Field("hedge_budget_ratio", "number", default=0.0, minimum=0, maximum=1),
    Field("routing_policy", "name", default="finish_time"),
)
