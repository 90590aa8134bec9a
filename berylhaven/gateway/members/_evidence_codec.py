"""Messages with crash evidence, as compressed JSON."""

import math
import zlib
from collections.abc import Iterable
from typing import Any

import orjson

from berylhaven.clock import end_long_turn
from berylhaven.gateway.members._member_codec import COMPRESSION_LEVEL, decompress
from berylhaven.quarantine import FINGERPRINT_LENGTH, Answered, Observation, Strike

# The unit of the ages in a message.
AGE_UNIT_S = 0.001
# The most observations of a message.
ROWS_LIMIT = 4_000
# The longest text that identifies a server run or a request.
TEXT_LIMIT = 128
# Times and ages in milliseconds are lower.
TIME_LIMIT = 2**53
STRIKE_LENGTH = 5
ANSWERED_LENGTH = 2


def encode_observations(
    observations: Iterable[tuple[Observation, float]], now_s: float
) -> bytes:
    """Encode observations as a message.

    Parameters
    ----------
    observations : iterable of tuple of Observation and float
        What was observed, and when on the hub's clock.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    bytes
        Rows with the age last.
    """
    rows = []
    for observation, occurred_at_s in observations:
        # Rounded up, so that an age never falls on its way.
        age = math.ceil((now_s - occurred_at_s) / AGE_UNIT_S)
        if isinstance(observation, Strike):
            row = [observation.server_run, observation.request_id]
            rows.append([observation.fingerprint, *row, observation.ended_at_ms, age])
        else:
            rows.append([observation.fingerprint, age])
    return zlib.compress(orjson.dumps(rows[:ROWS_LIMIT]), COMPRESSION_LEVEL)


def decode_observations(
    body: bytes, now_s: float
) -> tuple[list[tuple[Observation, float]], list[str]]:
    """Decode the observations of a message.

    Parameters
    ----------
    body : bytes
        As returned by `encode_observations`.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    tuple of list of tuple of Observation and float, and list of str
        What was observed, and when on the hub's clock. Then why rows were skipped, one
        sentence each.

    Raises
    ------
    ValueError
        If the message is malformed beside its rows, or too long.
    """
    rows, _ = decompress(body)
    if not isinstance(rows, list) or len(rows) > ROWS_LIMIT:
        raise ValueError(f"crash evidence is not a list of at most {ROWS_LIMIT} rows")
    observations, skipped = [], []
    for row in rows:
        end_long_turn()
        try:
            observations.append(_decode_row(row, now_s))
        except ValueError as error:
            skipped.append(str(error))
    return observations, skipped


def _decode_row(row: Any, now_s: float) -> tuple[Observation, float]:
    if not isinstance(row, list) or len(row) not in (ANSWERED_LENGTH, STRIKE_LENGTH):
        raise ValueError(f"row of crash evidence is no such list: {row!r:.200}")
    *values, age = row
    texts, times = values[:3], values[3:]
    if not all(isinstance(text, str) and len(text) <= TEXT_LIMIT for text in texts):
        raise ValueError(f"row of crash evidence has no valid texts: {row!r:.200}")
    if len(texts[0]) != FINGERPRINT_LENGTH:
        raise ValueError(f"fingerprint of crash evidence is {texts[0]!r:.200}")
    if not all(
        type(value) is int and 0 <= value < TIME_LIMIT for value in (*times, age)
    ):
        raise ValueError(f"time or age in crash evidence is invalid: {row!r:.200}")
    observation = Strike(*values) if times else Answered(texts[0])
    return observation, now_s - age * AGE_UNIT_S
