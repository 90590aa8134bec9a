"""Why a new connection to a backend server is opened."""

import enum


class OpenCause(enum.Enum):
    """Why a call could not reuse a connection to its server."""

    # This instance has had no connection to the server, as far as it remembers.
    FIRST = "first"
    # All open connections were in use.
    BUSY = "busy"
    # The idle ones were idle for too long for a call that must not run twice.
    TOO_IDLE = "too-idle"
    # The last one had expired.
    EXPIRED = "expired"
    # The server had closed the last one.
    CLOSED_BY_SERVER = "closed-by-server"
    # The idle ones carried a request with the same id.
    SAME_ID = "same-id"
    # The last one was closed after a call that failed or was cancelled.
    NOT_REUSABLE = "not-reusable"
