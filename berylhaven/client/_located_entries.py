"""The locate answer and how long it may be kept."""

from dataclasses import dataclass

import orjson
import urllib3

LOCATE_TIMEOUT_S = 1.0


class NoEntryInstanceAvailable(Exception):
    """No entry instance answered a locate request."""


@dataclass(slots=True, frozen=True)
class EntryAddress:
    """One entry instance of a locate answer."""

    # HOST:PORT for callers.
    address: str
    # Where it stands.
    data_centre: str
    # What the ids of calls begin with that only this instance may run.
    call_id_prefix: str


@dataclass(slots=True, frozen=True)
class LocatedEntries:
    """A locate answer."""

    # Near and least loaded ones first.
    entries: tuple[EntryAddress, ...]
    # When the answer must be asked for again, on the caller's clock.
    valid_until_s: float


def fetch_entries(
    http: urllib3.PoolManager,
    address: str,
    service: str,
    data_centre: str | None,
    now_s: float,
) -> LocatedEntries:
    """Ask one entry instance which ones to use.

    Parameters
    ----------
    http : urllib3.PoolManager
        The HTTP client.
    address : str
        HOST:PORT of the entry instance.
    service : str
        The service to be called.
    data_centre : str or None
        Where the caller stands.
    now_s : float
        The time on the caller's clock.

    Returns
    -------
    LocatedEntries
        With at least one entry instance.

    Raises
    ------
    NoEntryInstanceAvailable
        If there is no such answer.
    """
    fields = {"service": service}
    if data_centre is not None:
        fields["data_centre"] = data_centre
    url = f"http://{address}/v1/entries"
    try:
        answer = http.request("GET", url, fields=fields, timeout=LOCATE_TIMEOUT_S)
        document = orjson.loads(answer.data)
        entries = tuple(EntryAddress(**row) for row in document["entry_instances"])
        valid_until_s = now_s + float(document["time_to_live_s"])
    except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
        raise NoEntryInstanceAvailable(f"{address}: {error}") from error
    if not entries:
        raise NoEntryInstanceAvailable(
            f"{address} knows no entry instance that is ready"
        )
    return LocatedEntries(entries, valid_until_s)
