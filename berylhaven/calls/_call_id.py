"""Call ids; each names its home instance, the only one that may run the call."""

import re
from dataclasses import dataclass

from berylhaven.results import BadCallId

# The format is NONCE-UPTIME-OWN: the nonce of the home instance, its uptime at the
# time of issue, and the part chosen by the caller.
CALL_ID_PATTERN = re.compile(
    r"(?P<nonce>[0-9a-f]{8})-(?P<issued>[0-9]{1,10})-(?P<own>[A-Za-z0-9_.]{8,64})"
)


@dataclass(slots=True, frozen=True)
class CallId:
    """A parsed call id."""

    # The nonce of the home instance's run.
    home_instance_nonce: str
    # The uptime in seconds that the home instance had last announced to the issuer.
    issued_at_uptime_s: int
    # The part chosen by the caller.
    own_part: str

    def __str__(self) -> str:
        """Return the id as callers send it."""
        return f"{self.home_instance_nonce}-{self.issued_at_uptime_s}-{self.own_part}"


def call_id_prefix(home_instance_nonce: str, uptime_s: int) -> str:
    """Return the prefix that a caller puts before its own part.

    Parameters
    ----------
    home_instance_nonce : str
        The nonce of the home instance's run.
    uptime_s : int
        The uptime of the home instance in seconds, as last announced.

    Returns
    -------
    str
        The prefix, including the hyphen at its end.
    """
    return f"{home_instance_nonce}-{uptime_s}-"


def parse_call_id(text: str) -> CallId:
    """Parse a call id.

    Parameters
    ----------
    text : str
        The id as the caller sent it.

    Returns
    -------
    CallId
        The parsed id.

    Raises
    ------
    BadCallId
        If the id is malformed.
    """
    match = CALL_ID_PATTERN.fullmatch(text)
    if match is None:
        raise BadCallId(
            "malformed call id: not a call_id_prefix followed by 8 to 64 characters"
        )
    return CallId(match["nonce"], int(match["issued"]), match["own"])
