"""The place of a request among the answers of its connection, and its answer's head."""

from dataclasses import dataclass, field

import eventlet
import eventlet.event

from berylhaven.gateway.callers._held_bytes import Reservation
from berylhaven.gateway.callers._request import GatewayAnswer
from berylhaven.gateway.callers._request_progress import RequestProgress
from berylhaven.http1 import RequestBody

BODYLESS_STATUSES = frozenset({204, 304})


@dataclass(slots=True)
class PendingAnswer:
    """A request that has been read and not yet answered."""

    # Whether the request's method is HEAD, so that the answer has no body.
    is_head_request: bool
    # How far the request has come.
    progress: RequestProgress
    # Its body, until it is answered; None if the head was rejected.
    body: RequestBody | None = None
    # Carries the answer once it is available.
    answered: eventlet.event.Event = field(default_factory=eventlet.event.Event)
    # The green thread that processes the request.
    thread: eventlet.greenthread.GreenThread | None = None
    # Whether another instance passed the request on.
    is_passed_on: bool = False
    # The id header of a request that another instance passed on: it can't use an answer
    # that does not name the request. None for callers' requests.
    naming_header: tuple[str, str] | None = None
    # The memory of the request's head; None if the head was rejected.
    reservation: Reservation | None = None


def answer_bytes(
    pending: PendingAnswer, answer: GatewayAnswer, is_last: bool
) -> tuple[bytes, bytes | bytearray]:
    """Return the head of an answer and the body that follows it.

    Parameters
    ----------
    pending : PendingAnswer
        The request.
    answer : GatewayAnswer
        Its answer.
    is_last : bool
        Whether the connection is closed after it.

    Returns
    -------
    tuple
        The body is empty for HEAD and for statuses without one.
    """
    has_no_body = answer.status in BODYLESS_STATUSES or pending.is_head_request
    lines = [f"HTTP/1.1 {answer.status} {answer.reason}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    naming_header = pending.naming_header
    if naming_header is not None and not _has_header(answer, naming_header[0]):
        lines.append(f"{naming_header[0]}: {naming_header[1]}")
    if not has_no_body:
        lines.append(f"Content-Length: {len(answer.body)}")
    if is_last:
        lines.append("Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head, b"" if has_no_body else answer.body


def _has_header(answer: GatewayAnswer, sought: str) -> bool:
    return any(name.lower() == sought.lower() for name, _ in answer.headers)
