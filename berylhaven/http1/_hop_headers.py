"""Hop-by-hop headers, which are not forwarded."""

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
# Request headers of the framing, which is written anew for each connection.
REQUEST_FRAMING = frozenset({"content-length", "expect"})
# Prefix of the headers that only this program may add.
BERYLHAVEN_PREFIX = "berylhaven-"
# Names that have no effect in a Connection header: options of the connection itself,
# and fields that are end-to-end or part of the framing.
NEVER_HOP_BY_HOP = frozenset({"host", "content-length", "close", "keep-alive"})


def end_to_end_headers(
    headers: Iterable[tuple[str, str]], further_dropped: frozenset[str]
) -> list[tuple[str, str]]:
    """Return the headers without hop-by-hop ones and those of this program.

    Parameters
    ----------
    headers : iterable of tuple
        Names and values in message order.
    further_dropped : frozenset of str
        Lower-case names of further headers that are not forwarded.

    Returns
    -------
    list of tuple
        The headers to forward.
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
