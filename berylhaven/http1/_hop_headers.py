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
OWN_PREFIX = "berylhaven-"
# These belong to the whole path or to the framing, whatever Connection says.
NEVER_NAMED = frozenset({"host", "content-length", "close", "keep-alive"})


def end_to_end_headers(
    headers: Iterable[tuple[str, str]], also_dropped: frozenset[str]
) -> list[tuple[str, str]]:
    """Return the headers without those of one connection and without our own.

    Parameters
    ----------
    headers : iterable of tuple
        Names and values in their order.
    also_dropped : frozenset of str
        Further names that are not passed on, in lower case.

    Returns
    -------
    list of tuple
        What may be passed on.
    """
    kept = []
    named: set[str] = set()
    dropped = HOP_BY_HOP | also_dropped
    for pair in headers:
        lowered = pair[0].lower()
        if lowered == "connection":
            named.update(name.strip().lower() for name in pair[1].split(","))
        elif lowered not in dropped and not lowered.startswith(OWN_PREFIX):
            kept.append(pair)
    named -= NEVER_NAMED
    if not named:
        return kept
    return [(key, value) for key, value in kept if key.lower() not in named]
