"""The locate answer: which entry instances a caller should use."""

from random import Random

from berylhaven.calls import call_id_prefix
from berylhaven.membership import Announcement

# Longer answers cost bytes, and no caller tries more instances than this.
ENTRIES_LIMIT = 8
# Entries reserved for remote data centres, as failover if the local one is lost.
REMOTE_ENTRIES = 2
# Instances whose load ratio is above this are listed after the others.
BUSY_LOAD_RATIO = 0.9
# Even a full instance gets some callers, since its announced load may be stale.
MIN_WEIGHT = 0.05


def locate_document(
    service_name: str,
    owner: str,
    revision: int,
    time_to_live_s: float,
    announcements: list[Announcement],
    data_centre: str | None,
    random: Random,
) -> dict:
    """Return the locate answer.

    Parameters
    ----------
    service_name : str
        The requested service.
    owner : str
        The firm that owns the service; its instances come first.
    revision : int
        The revision of the active catalogue.
    time_to_live_s : float
        How long the caller may cache the answer, in seconds.
    announcements : list of Announcement
        Announcements of the live entry instances, including this one.
    data_centre : str or None
        The caller's data centre, if the request names one.
    random : Random
        Spreads callers whose answers rest on the same announcements.

    Returns
    -------
    dict
        The JSON object, local and least loaded instances first.
    """
    ready = [a for a in announcements if a.is_ready and not a.is_leaving]
    ordered = _ordered(ready, owner, data_centre, random)
    return {
        "service": service_name,
        "revision": revision,
        "time_to_live_s": time_to_live_s,
        "entry_instances": [
            {
                "address": a.callers_address,
                "data_centre": a.data_centre,
                "call_id_prefix": call_id_prefix(a.nonce, a.uptime_s),
            }
            for a in _bounded(ordered, data_centre)
        ],
    }


def _ordered(
    ready: list[Announcement], owner: str, data_centre: str | None, random: Random
) -> list[Announcement]:
    def rank(announcement: Announcement) -> tuple[bool, bool, bool, float]:
        """Return the sort key of one instance, drawn anew for each answer."""
        # Sorting by this power of a random number is weighted random sampling without
        # replacement.
        weight = max(MIN_WEIGHT, 1.0 - announcement.load_ratio)
        return (
            announcement.firm != owner,
            announcement.load_ratio > BUSY_LOAD_RATIO,
            announcement.data_centre != data_centre,
            -(random.random() ** (1.0 / weight)),
        )

    return sorted(ready, key=rank)


def _bounded(
    ordered: list[Announcement], data_centre: str | None
) -> list[Announcement]:
    if len(ordered) <= ENTRIES_LIMIT:
        return ordered
    head = ordered[: ENTRIES_LIMIT - REMOTE_ENTRIES]
    rest = ordered[ENTRIES_LIMIT - REMOTE_ENTRIES :]
    remote = [a for a in rest if a.data_centre != data_centre]
    return (
        head + (remote + rest)[:REMOTE_ENTRIES]
        if len(remote) >= REMOTE_ENTRIES
        else (ordered[:ENTRIES_LIMIT])
    )
