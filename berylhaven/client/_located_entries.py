"""Locate requests, their answers and how long an answer may be cached."""

from dataclasses import dataclass

import orjson
import urllib3

from berylhaven.client._bounded_http import AnswerTooLarge, read_body

LOCATE_TIMEOUT_S = 1.0
# The addresses of a hundred instances take 20 kB.
LOCATE_LIMIT_BYTES = 1_000_000
# Raised for a request that fails, and for an answer that is invalid.
LOCATE_ERRORS = (
    urllib3.exceptions.HTTPError,
    AnswerTooLarge,
    OSError,
    ValueError,
    KeyError,
    TypeError,
)


class NoEntryInstance(Exception):
    """No entry instance gave a usable answer to a locate request."""


@dataclass(slots=True, frozen=True)
class EntryAddress:
    """One entry instance of a locate answer."""

    # HOST:PORT for callers.
    address: str
    # The data centre that it runs in.
    data_centre: str
    # The prefix of the call ids whose home instance this is; only it may run them.
    call_id_prefix: str


@dataclass(slots=True, frozen=True)
class LocatedEntries:
    """A locate answer."""

    # Those of the local data centre first, within a data centre the least loaded first.
    entries: tuple[EntryAddress, ...]
    # When the answer expires, on the caller's clock.
    valid_until_s: float


def fetch_entries(
    http: urllib3.PoolManager,
    address: str,
    service: str,
    data_centre: str | None,
    now_s: float,
) -> LocatedEntries:
    """Request the entry instances to use from one of them.

    Parameters
    ----------
    http : urllib3.PoolManager
        The HTTP client of `create_http`.
    address : str
        HOST:PORT of the entry instance.
    service : str
        The name of the service to be called.
    data_centre : str or None
        The data centre that the caller runs in; None if unspecified.
    now_s : float
        The time on the caller's clock, in seconds.

    Returns
    -------
    LocatedEntries
        With at least one entry instance.

    Raises
    ------
    NoEntryInstance
        If the request fails, or the answer is invalid or lists no entry instance.
    """
    fields = {"service": service}
    if data_centre is not None:
        fields["data_centre"] = data_centre
    url = f"http://{address}/v1/entries"
    try:
        answer = http.request(
            "GET", url, fields=fields, timeout=LOCATE_TIMEOUT_S, preload_content=False
        )
        document = orjson.loads(read_body(answer, LOCATE_LIMIT_BYTES))
        entries = tuple(EntryAddress(**row) for row in document["entry_instances"])
        valid_until_s = now_s + float(document["time_to_live_s"])
    except LOCATE_ERRORS as error:
        raise NoEntryInstance(f"locate request to {address} failed: {error}") from error
    if not entries:
        raise NoEntryInstance(
            f"locate answer of {address} lists no entry instance that is ready"
        )
    return LocatedEntries(entries, valid_until_s)
