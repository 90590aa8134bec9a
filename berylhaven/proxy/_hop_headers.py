"""Headers that concern one connection and are not passed on."""

from collections.abc import Iterable

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that this program writes itself.
OWN_PREFIX = "berylhaven-"


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers without those of one connection and without our own.

    Parameters
    ----------
    headers : iterable of tuple
        Names and values in their order.

    Returns
    -------
    list of tuple
        What may be passed on.
    """
    pairs = list(headers)
    named = {
        name.strip().lower()
        for key, value in pairs
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return [
        (key, value)
        for key, value in pairs
        if key.lower() not in dropped and not key.lower().startswith(OWN_PREFIX)
    ]
