"""The locate answer: which entry instances a caller should use."""

from berylhaven.calls import call_id_prefix
from berylhaven.membership import Announcement


def locate_document(
    service_name: str,
    revision: int,
    time_to_live_s: float,
    announcements: list[Announcement],
    data_centre: str | None,
) -> dict:
    """Return the locate answer.

    Parameters
    ----------
    service_name : str
        The service asked for.
    revision : int
        The revision of the catalogue in force.
    time_to_live_s : float
        How long the caller may keep the answer.
    announcements : list of Announcement
        The entry instances that are ready, this one too.
    data_centre : str or None
        Where the caller stands, if it said so.

    Returns
    -------
    dict
        The JSON object, near and least loaded instances first.
    """
    ready = [a for a in announcements if a.is_ready and not a.is_leaving]
    ready.sort(key=lambda a: (a.data_centre != data_centre, a.load_ratio))
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
            for a in ready
        ],
    }
