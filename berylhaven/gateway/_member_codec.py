"""Gossip messages: rows of members and ages of heartbeats as compressed JSON."""

import math
import zlib
from typing import Any

import orjson

from berylhaven.gateway._member import Member, decode_row

# The fastest level; it suffices, since the rows of a data centre differ in few bytes.
COMPRESSION_LEVEL = 1
# The most rows of a message.
ROWS_LIMIT = 2_000
# The longest JSON text of a message after decompression.
TEXT_LIMIT_BYTES = 1_000_000
# The unit of the ages in a message.
AGE_UNIT_S = 0.1


def encode_members(members: list[Member], now_s: float) -> bytes:
    """Encode members as a message.

    Parameters
    ----------
    members : list of Member
        The sender first.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    bytes
        The rows and the ages of the heartbeats, each as compressed JSON. Instances of
        earlier releases ignore what follows the rows.
    """
    rows = [member.to_row() for member in members]
    # Rounded up, so that an age never falls on its way.
    ages = [
        math.ceil((now_s - member.heartbeat_at_s) / AGE_UNIT_S) for member in members
    ]
    return _compress(rows) + _compress(ages)


def decode_members(body: bytes) -> list[Member]:
    """Decode the members of a message.

    Parameters
    ----------
    body : bytes
        As returned by `encode_members`.

    Returns
    -------
    list of Member
        At least one.

    Raises
    ------
    ValueError
        If the message is malformed or too long.
    """
    rows, rest = _decompress(body)
    if not isinstance(rows, list) or not 0 < len(rows) <= ROWS_LIMIT:
        raise ValueError(
            f"gossip message is not a list of 1 to {ROWS_LIMIT} member rows"
        )
    members = [decode_row(row) for row in rows]
    # Instances of earlier releases send no ages.
    if rest:
        _set_ages(members, _decompress(rest)[0])
    return members


def _set_ages(members: list[Member], ages: Any) -> None:
    if not isinstance(ages, list) or len(ages) != len(members):
        raise ValueError(
            f"ages of a gossip message are not a list of {len(members)} values"
        )
    for member, age in zip(members, ages, strict=True):
        if type(age) is not int or age < 0:
            raise ValueError(
                f"age of {member.peers_address[:100]!r} is {age!r:.100}, not a "
                "non-negative integer"
            )
        member.age_s = age * AGE_UNIT_S


def _compress(values: list) -> bytes:
    return zlib.compress(orjson.dumps(values), COMPRESSION_LEVEL)


def _decompress(body: bytes) -> tuple[Any, bytes]:
    """Return the values at the beginning of a message, and the bytes after them."""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(body, TEXT_LIMIT_BYTES)
    except zlib.error as error:
        raise ValueError(f"gossip message cannot be decompressed: {error}") from None
    if not inflater.eof:
        raise ValueError(
            f"gossip message of {len(body)} compressed bytes is truncated or has over "
            f"{TEXT_LIMIT_BYTES} bytes after decompression"
        )
    return orjson.loads(text), inflater.unused_data
