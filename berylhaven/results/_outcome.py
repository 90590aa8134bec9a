"""The outcome of a call: whether a backend server ran it."""

import enum


class Outcome(enum.Enum):
    """Whether a backend server ran the call."""

    # A backend server's answer was received.
    RUN = "run"
    # It is certain that no backend server started the call.
    NOT_RUN = "not-run"
    # It is not certain whether a backend server ran the call.
    UNKNOWN = "unknown"
