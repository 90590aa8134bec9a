"""The messages of gossip: rows of members as compressed JSON."""

import zlib

import orjson

from berylhaven.gateway._members import Member, decode_row

# The fastest one; the rows of a data centre differ in few bytes.
COMPRESSION_LEVEL = 1
# The most that a message may tell of.
ROWS_LIMIT = 2_000
# The longest JSON text of so many rows.
TEXT_LIMIT_BYTES = 1_000_000


def encode_rows(rows: list[list]) -> bytes:
    """Return the message that tells of members.

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
    """Return the members that a message tells of.

    Parameters
    ----------
    body : bytes
        As `encode_rows` makes it.

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
        raise ValueError(f"a message must be compressed: {error}") from None
    if not inflater.eof:
        raise ValueError(f"a message must be whole and under {TEXT_LIMIT_BYTES} bytes")
    rows = orjson.loads(text)
    if not isinstance(rows, list) or not 0 < len(rows) <= ROWS_LIMIT:
        raise ValueError("a message must be a list of members")
    return [decode_row(row) for row in rows]
