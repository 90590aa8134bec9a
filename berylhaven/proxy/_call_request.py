"""The typed form of a caller's request."""

import socket
from dataclasses import dataclass

from berylhaven.calls import CallId
from berylhaven.catalogue import ServiceEntry
from berylhaven.http1._request_body import RequestBody
from berylhaven.proxy._pending_calls import PendingCall
from berylhaven.results import BadFraming

CALL_ID_HEADER = "HTTP_BERYLHAVEN_CALL_ID"
TIMEOUT_HEADER = "HTTP_BERYLHAVEN_TIMEOUT_MS"
# Set by the entry instance that forwarded a call to its home instance: its nonce, and
# how long before that it had received the call, in milliseconds.
FORWARDED_BY_HEADER = "Berylhaven-Forwarded-By"
RECEIVED_AGO_HEADER = "Berylhaven-Received-Ms-Ago"
FORWARDED_BY_KEY = "HTTP_BERYLHAVEN_FORWARDED_BY"
RECEIVED_AGO_KEY = "HTTP_BERYLHAVEN_RECEIVED_MS_AGO"
MILLISECONDS_PER_SECOND = 1000.0


@dataclass(slots=True)
class CallRequest:
    """One call as received from its caller."""

    # The catalogue entry of the service.
    service: ServiceEntry
    # The HTTP method.
    method: str
    # Path and query to request from the backend server, still percent-encoded.
    target: str
    # End-to-end headers, unchanged and in their original order.
    headers: list[tuple[str, str]]
    # The body; its first part is already read unless the caller awaits 100 Continue.
    body: RequestBody
    # The time after which an answer is useless to the caller, on the hub's clock.
    deadline_s: float
    # The call id.
    call_id: str
    # The caller's socket, monitored for disconnection; None to monitor none.
    caller_socket: socket.socket | None = None
    # The call id split into its parts; None only for idempotent calls.
    call_id_parts: CallId | None = None
    # When an entry instance first received the request, on the hub's clock.
    received_at_s: float = 0.0
    # Whether another entry instance forwarded the request to this one.
    is_forwarded: bool = False
    # Where the call was sent, for the log; None if that is not kept.
    pending: PendingCall | None = None

    @property
    def has_body(self) -> bool:
        """Whether the request has a body."""
        return self.body.has_body

    @property
    def is_replayable(self) -> bool:
        """Whether the whole request is in memory, so that it can be sent again."""
        return self.body.is_replayable

    @property
    def is_idempotent(self) -> bool:
        """Whether the call may safely run more than once."""
        path = self.target.partition("?")[0]
        return self.service.is_idempotent(self.method, path)

    @property
    def home_instance_nonce(self) -> str:
        """Nonce of the home instance, which alone may start a non-idempotent call."""
        return self.call_id_parts.home_instance_nonce


def parse_deadline_s(environ: dict, service: ServiceEntry, now_s: float) -> float:
    """Parse the deadline of a call, on the hub's clock.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    service : ServiceEntry
        Gives the longest time that its calls may take.
    now_s : float
        When the call was received.

    Returns
    -------
    float
        The caller's deadline, or the service's if it is sooner.

    Raises
    ------
    BadFraming
        If the header is not a positive integer of at most 12 digits.
    """
    text = environ.get(TIMEOUT_HEADER)
    timeout_ms = service.deadline_ms
    if text is not None:
        if not text.isascii() or not text.isdigit() or len(text) > 12 or int(text) == 0:
            raise BadFraming(
                f"Berylhaven-Timeout-Ms is {text[:100]!r}, not a positive integer of "
                "at most 12 digits"
            )
        timeout_ms = min(timeout_ms, int(text))
    return now_s + timeout_ms / MILLISECONDS_PER_SECOND


def parse_received_at_s(environ: dict, now_s: float) -> float:
    """Parse when an entry instance first received a request, on the hub's clock.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    now_s : float
        When this entry instance received it.

    Returns
    -------
    float
        `now_s`, or an earlier time if another entry instance forwarded the request.
    """
    text = environ.get(RECEIVED_AGO_KEY, "")
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        return now_s
    return now_s - int(text) / MILLISECONDS_PER_SECOND
