"""A caller's request in typed form."""

import socket
from dataclasses import dataclass

from berylhaven.calls import CallId
from berylhaven.catalogue import ServiceEntry
from berylhaven.http1._request_body import RequestBody
from berylhaven.results import BadFraming

CALL_ID_HEADER = "HTTP_BERYLHAVEN_CALL_ID"
TIMEOUT_HEADER = "HTTP_BERYLHAVEN_TIMEOUT_MS"
# Set by the entry instance that passed a call on to its home: its nonce, and how long
# before that it had received the call.
FORWARDED_BY_HEADER = "Berylhaven-Forwarded-By"
RECEIVED_AGO_HEADER = "Berylhaven-Received-Ms-Ago"
FORWARDED_BY_KEY = "HTTP_BERYLHAVEN_FORWARDED_BY"
RECEIVED_AGO_KEY = "HTTP_BERYLHAVEN_RECEIVED_MS_AGO"
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
    # The same id in its parts; None only for idempotent calls.
    call_id_parts: CallId | None = None
    # When an entry instance first received the request, on the hub's clock.
    received_at_s: float = 0.0
    # Whether another entry instance passed the request on to this one.
    is_forwarded: bool = False

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

    @property
    def home_instance_nonce(self) -> str:
        """The nonce of the only run that may start the call, if not idempotent."""
        return self.call_id_parts.home_instance_nonce


def parse_deadline_s(environ: dict, service: ServiceEntry, now_s: float) -> float:
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


def parse_received_at_s(environ: dict, now_s: float) -> float:
    """Return when an entry instance first received a request, on the hub's clock.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    now_s : float
        When this entry instance received it.

    Returns
    -------
    float
        Earlier than now if another entry instance passed the request on.
    """
    text = environ.get(RECEIVED_AGO_KEY, "")
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        return now_s
    return now_s - int(text) / MILLISECONDS_PER_SECOND
