"""Gossip messages: rows of members as compressed JSON."""

import zlib

import orjson

from berylhaven.gateway._members import Member, decode_row

# The fastest level; it suffices, since the rows of a data centre differ in few bytes.
COMPRESSION_LEVEL = 1
# The most rows of a message.
ROWS_LIMIT = 2_000
# The longest JSON text of a message after decompression.
TEXT_LIMIT_BYTES = 1_000_000


def encode_rows(rows: list[list]) -> bytes:
    """Encode rows of members as a message.

    Parameters
    ----------
    rows : list of list
        One row for each member, the sender's first.

    Returns
    -------
    bytes
        Compressed JSON.
    """
    return zlib.compress(orjson.dumps(rows), COMPRESSION_LEVEL)


def decode_rows(body: bytes) -> list[Member]:
    """Decode the members of a message.

    Parameters
    ----------
    body : bytes
        As returned by `encode_rows`.

    Returns
    -------
    list of Member
        At least one.

    Raises
    ------
    ValueError
        If the message is malformed or too long.
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
    rows = orjson.loads(text)
    if not isinstance(rows, list) or not 0 < len(rows) <= ROWS_LIMIT:
        raise ValueError(
            f"gossip message is not a list of 1 to {ROWS_LIMIT} member rows"
        )
    return [decode_row(row) for row in rows]
