"""Which instances of a data centre hold the watch, by rendezvous hashing."""

import hashlib
from collections.abc import Iterable

# Two, so that one may die unnoticed without delay to the data centre.
HOLDERS_PER_DATA_CENTRE = 2


def watch_holders(addresses: Iterable[str]) -> set[str]:
    """Return the instances that hold the watch.

    Parameters
    ----------
    addresses : iterable of str
        The peers' addresses of the live instances of one data centre.

    Returns
    -------
    set of str
        A change of one instance changes at most one holder.
    """
    ranked = sorted(set(addresses), key=_rank, reverse=True)
    return set(ranked[:HOLDERS_PER_DATA_CENTRE])


def _rank(address: str) -> bytes:
    return hashlib.blake2b(address.encode(), digest_size=8).digest()
