"""A caller's request in typed form."""

import socket
from dataclasses import dataclass

from berylhaven.catalogue import ServiceEntry
from berylhaven.proxy._request_body import RequestBody
from berylhaven.results import BadFraming

CALL_ID_HEADER = "HTTP_BERYLHAVEN_CALL_ID"
TIMEOUT_HEADER = "HTTP_BERYLHAVEN_TIMEOUT_MS"
MILLISECONDS_PER_SECOND = 1000.0


@dataclass(slots=True)
class CallRequest:
    """One call as it came from its caller."""

    # The catalogue's entry of the service.
    service: ServiceEntry
    # The HTTP method.
    method: str
    # Path and query at the backend server, not decoded.
    target: str
    # End-to-end headers as they came, in their order.
    headers: list[tuple[str, str]]
    # The body, its first part read already unless the caller awaits a sign to send.
    body: RequestBody
    # The latest time at which an answer is of use, on the hub's clock.
    deadline_s: float
    # The id by which the call is known.
    call_id: str
    # The caller's socket, watched for its close; None if there is none to watch.
    caller_socket: socket.socket | None = None

    @property
    def has_body(self) -> bool:
        """Whether a body follows the request's head."""
        return self.body.has_body

    @property
    def is_replayable(self) -> bool:
        """Whether the whole request is held, so that it can be sent again."""
        return self.body.is_replayable

    @property
    def is_idempotent(self) -> bool:
        """Whether the call may safely run more than once."""
        path = self.target.partition("?")[0]
        return self.service.is_idempotent(self.method, path)


def read_deadline_s(environ: dict, service: ServiceEntry, now_s: float) -> float:
    """Return when a call's answer is due, on the hub's clock.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    service : ServiceEntry
        With the longest time for its calls.
    now_s : float
        When the call came in.

    Returns
    -------
    float
        The caller's deadline, or the service's if it is sooner.

    Raises
    ------
    BadFraming
        If the header is not a whole number above zero.
    """
    text = environ.get(TIMEOUT_HEADER)
    timeout_ms = service.deadline_ms
    if text is not None:
        if not text.isascii() or not text.isdigit() or len(text) > 12 or int(text) == 0:
            raise BadFraming("Berylhaven-Timeout-Ms is not a whole number above zero")
        timeout_ms = min(timeout_ms, int(text))
    return now_s + timeout_ms / MILLISECONDS_PER_SECOND
