"""Gossip messages: members, ages of heartbeats and a digest as compressed JSON."""

import math
import zlib
from dataclasses import dataclass
from typing import Any

import orjson

from berylhaven.gateway.members._member import Member, decode_row

# The fastest level; it suffices, since the rows of a data centre differ in few bytes.
COMPRESSION_LEVEL = 1
# The most rows of a message.
ROWS_LIMIT = 2_000
# The longest message between instances, as received.
MESSAGE_LIMIT_BYTES = 1_000_000
# The longest JSON text of a message after decompression.
TEXT_LIMIT_BYTES = 1_000_000
# The unit of the ages in a message.
AGE_UNIT_S = 0.1
# A higher age, in these units, is none that an instance has.
AGE_LIMIT = 2**31


@dataclass(slots=True, frozen=True)
class MemberMessage:
    """What a message says, without the rows that cannot be decoded."""

    # The sender first.
    members: list[Member]
    # Why parts were skipped, one sentence each.
    skipped: tuple[str, ...]


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
        The rows, the ages of the heartbeats and the digest of the sender's crash
        evidence, each as compressed JSON. Instances of earlier releases ignore what
        follows the parts that they know.
    """
    rows = [member.to_row() for member in members]
    # Rounded up, so that an age never falls on its way.
    ages = [
        math.ceil((now_s - member.heartbeat_at_s) / AGE_UNIT_S) for member in members
    ]
    return _compress(rows) + _compress(ages) + _compress([members[0].evidence_digest])


def decode_members(body: bytes) -> MemberMessage:
    """Decode the members of a message.

    Parameters
    ----------
    body : bytes
        As returned by `encode_members`.

    Returns
    -------
    MemberMessage
        With at least the sender.

    Raises
    ------
    ValueError
        If the message or the sender's row is malformed, or the message is too long.
    """
    rows, rest = decompress(body)
    if not isinstance(rows, list) or not 0 < len(rows) <= ROWS_LIMIT:
        raise ValueError(
            f"gossip message is not a list of 1 to {ROWS_LIMIT} member rows"
        )
    # Instances of earlier releases send no ages.
    ages, rest = decompress(rest) if rest else ([0] * len(rows), rest)
    if not isinstance(ages, list) or len(ages) != len(rows):
        raise ValueError(
            f"ages of a gossip message are not a list of {len(rows)} values"
        )
    sender, *others = zip(rows, ages, strict=True)
    members = [_decode_member(*sender)]
    skipped = []
    for row, age in others:
        try:
            members.append(_decode_member(row, age))
        except ValueError as error:
            skipped.append(str(error))
    if rest:
        try:
            members[0].evidence_digest = _evidence_digest(decompress(rest)[0])
        except ValueError as error:
            skipped.append(str(error))
    return MemberMessage(members, tuple(skipped))


def _decode_member(row: Any, age: Any) -> Member:
    member = decode_row(row)
    if type(age) is not int or not 0 <= age < AGE_LIMIT:
        raise ValueError(
            f"age of {member.peers_address[:100]!r} is {age!r:.100}, not an integer "
            f"from 0 to {AGE_LIMIT}"
        )
    member.age_s = age * AGE_UNIT_S
    return member


def _evidence_digest(values: Any) -> int | None:
    if not isinstance(values, list) or len(values) != 1:
        raise ValueError(f"digest of crash evidence is no list of one: {values!r:.100}")
    if type(values[0]) not in (int, type(None)):
        raise ValueError(f"digest of crash evidence is {values[0]!r:.100}")
    return values[0]


def _compress(values: list) -> bytes:
    return zlib.compress(orjson.dumps(values), COMPRESSION_LEVEL)


def decompress(body: bytes) -> tuple[Any, bytes]:
    """Decode the first part of a message.

    Parameters
    ----------
    body : bytes
        Compressed JSON, and what follows it.

    Returns
    -------
    tuple of object and bytes
        The decoded values, and the bytes after them.

    Raises
    ------
    ValueError
        If the first part is malformed or too long.
    """
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
