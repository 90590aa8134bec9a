"""Call ids: they name the only entry instance that may run the call."""

import re
from dataclasses import dataclass

from berylhaven.results import BadCallId

# The form is NONCE-UPTIME-OWN: the home's nonce, its uptime at issue, the caller's.
CALL_ID_PATTERN = re.compile(
    r"(?P<nonce>[0-9a-f]{8})-(?P<issued>[0-9]{1,10})-(?P<own>[A-Za-z0-9_.]{8,64})"
)


@dataclass(slots=True, frozen=True)
class CallId:
    """A call id in its parts."""

    # The nonce of the home's run.
    home_instance_nonce: str
    # The home's uptime in seconds when it last announced itself to the issuer.
    issued_at_uptime_s: int
    # The caller's own part.
    own_part: str

    def __str__(self) -> str:
        """Return the id as callers send it."""
        return f"{self.home_instance_nonce}-{self.issued_at_uptime_s}-{self.own_part}"


def call_id_prefix(home_instance_nonce: str, uptime_s: int) -> str:
    """Return what a caller puts before its own part.

    Parameters
    ----------
    home_instance_nonce : str
        The nonce of the home's run.
    uptime_s : int
        The home's uptime in seconds, as last announced.

    Returns
    -------
    str
        The prefix, with the hyphen that ends it.
    """
    return f"{home_instance_nonce}-{uptime_s}-"


def parse_call_id(text: str) -> CallId:
    """Read a call id.

    Parameters
    ----------
    text : str
        As the caller sent it.

    Returns
    -------
    CallId
        Its parts.

    Raises
    ------
    BadCallId
        If it is malformed.
    """
    match = CALL_ID_PATTERN.fullmatch(text)
    if match is None:
        raise BadCallId("the call id is not call_id_prefix and 8 to 64 characters")
    return CallId(match["nonce"], int(match["issued"]), match["own"])
