"""The identity of one run of an entry instance."""

import secrets
from dataclasses import dataclass

from berylhaven.clock import wall_clock_ms

# Random bits that distinguish runs started in the same millisecond.
RANDOM_BITS = 20
NONCE_BYTES = 4


@dataclass(slots=True, frozen=True)
class Identity:
    """The identity of one run; a restart creates a new one."""

    # HOST:PORT for the other entry instances.
    peers_address: str
    # The incarnation, which increases with each run at the same address.
    incarnation: int
    # Hexadecimal digits, unique to this run; call ids contain them.
    nonce: str


def new_identity(peers_address: str) -> Identity:
    """Create the identity of a run that starts now.

    Parameters
    ----------
    peers_address : str
        HOST:PORT for the other entry instances.

    Returns
    -------
    Identity
        An identity whose incarnation orders runs by the wall clock.
    """
    incarnation = (wall_clock_ms() << RANDOM_BITS) | secrets.randbits(RANDOM_BITS)
    return Identity(peers_address, incarnation, secrets.token_hex(NONCE_BYTES))
