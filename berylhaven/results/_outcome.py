"""What is known of whether a call was run."""

import enum


class Outcome(enum.Enum):
    """Whether a backend server ran the call."""

    # A backend server's answer was received.
    RUN = "run"
    # It is proved that no backend server started the call.
    NOT_RUN = "not-run"
    # Neither of the two is proved.
    UNKNOWN = "unknown"
