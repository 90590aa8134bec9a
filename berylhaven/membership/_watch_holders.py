"""Selection by rendezvous hashing of the instances that watch the catalogue."""

import hashlib
from collections.abc import Iterable

# Two, so that an undetected failure of one does not delay updates in the data centre.
HOLDERS_PER_DATA_CENTRE = 2


def watch_holders(addresses: Iterable[str]) -> set[str]:
    """Return the instances of a data centre that watch the configuration service.

    Parameters
    ----------
    addresses : iterable of str
        HOST:PORT for peers of each live instance of one data centre.

    Returns
    -------
    set of str
        Addresses; when one instance joins or leaves, at most one of them changes.
    """
    ranked = sorted(set(addresses), key=_rank, reverse=True)
    return set(ranked[:HOLDERS_PER_DATA_CENTRE])


def _rank(address: str) -> bytes:
    return hashlib.blake2b(address.encode(), digest_size=8).digest()
