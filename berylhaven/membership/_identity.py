"""The identity of one run of an entry instance."""

import secrets
from dataclasses import dataclass

from berylhaven.clock import wall_clock_ms

# Two runs that start in the same millisecond are told apart by these bits.
RANDOM_BITS = 20
NONCE_BYTES = 4


@dataclass(slots=True, frozen=True)
class Identity:
    """One run of one entry instance; a restart gets another."""

    # HOST:PORT for the other entry instances.
    peers_address: str
    # Rises with each run on the same address.
    incarnation: int
    # Hexadecimal digits that no other run has; call ids bear it.
    nonce: str


def new_identity(peers_address: str) -> Identity:
    """Return the identity of a run that starts now.

    Parameters
    ----------
    peers_address : str
        HOST:PORT for the other entry instances.

    Returns
    -------
    Identity
        Its incarnation orders runs by the wall clock.
    """
    incarnation = (wall_clock_ms() << RANDOM_BITS) | secrets.randbits(RANDOM_BITS)
    return Identity(peers_address, incarnation, secrets.token_hex(NONCE_BYTES))
