"""Why a caller's connection carries no further request, and after which answer."""

import enum


class CloseReason(enum.Enum):
    """Why no further request is taken from a connection, which is closed."""

    # The caller asked for it, or uses HTTP/1.0 without keep-alive.
    CALLER = "caller"
    # The head of the request was rejected, so its end is not known.
    REJECTED_HEAD = "rejected-head"
    # The body of the request was not read to its end: the next byte belongs to it.
    UNREAD_BODY = "unread-body"
    # The instance is draining, and no other request is pending.
    DRAIN = "drain"
    # No request came within the idle timeout.
    IDLE = "idle"


def last_answer_reason(
    known_reason: CloseReason | None, is_draining: bool, pending_count: int
) -> CloseReason | None:
    """Return why the connection is closed after the answer that is written next.

    Parameters
    ----------
    known_reason : CloseReason or None
        Why no request is taken behind the pending ones; None if others are.
    is_draining : bool
        Whether the instance is draining.
    pending_count : int
        The number of requests on the connection without an answer, this one included.

    Returns
    -------
    CloseReason or None
        None while other requests are pending: a connection is never closed before the
        answers to what was taken from it.
    """
    if pending_count > 1:
        return None
    if known_reason is None and is_draining:
        return CloseReason.DRAIN
    return known_reason
