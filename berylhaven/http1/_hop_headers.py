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
# A request's headers of the framing, which each connection writes for itself.
REQUEST_FRAMING = frozenset({"content-length", "expect"})
# Headers that this program writes itself.
BERYLHAVEN_PREFIX = "berylhaven-"
# These belong to the whole path or to the framing, whatever Connection says.
NEVER_HOP_BY_HOP = frozenset({"host", "content-length", "close", "keep-alive"})


def end_to_end_headers(
    headers: Iterable[tuple[str, str]], further_dropped: frozenset[str]
) -> list[tuple[str, str]]:
    """Return the headers without those of one connection and without our own.

    Parameters
    ----------
    headers : iterable of tuple
        Names and values in their order.
    further_dropped : frozenset of str
        Further names that are not passed on, in lower case.

    Returns
    -------
    list of tuple
        What may be passed on.
    """
    kept = []
    named_by_connection: set[str] = set()
    dropped = HOP_BY_HOP | further_dropped
    for pair in headers:
        lowered = pair[0].lower()
        if lowered == "connection":
            named_by_connection.update(
                name.strip().lower() for name in pair[1].split(",")
            )
        elif lowered not in dropped and not lowered.startswith(BERYLHAVEN_PREFIX):
            kept.append(pair)
    named_by_connection -= NEVER_HOP_BY_HOP
    if not named_by_connection:
        return kept
    return [
        (key, value) for key, value in kept if key.lower() not in named_by_connection
    ]
