"""Decoding of JSON texts of others, in turns of bounded length."""

from berylhaven.bounded_json._bounded_json import (
    PARTS_LIMIT,
    TooManyParts,
    count_parts,
    json_fields,
    json_members,
    load_by_members,
    load_json,
)

__all__ = [
    "PARTS_LIMIT",
    "TooManyParts",
    "count_parts",
    "json_fields",
    "json_members",
    "load_by_members",
    "load_json",
]
