"""Decides after which answer a caller's connection carries no further request."""

import enum


class CloseReason(enum.Enum):
    """Why a connection is closed after an answer."""

    # The caller asked for it, or uses HTTP/1.0 without keep-alive.
    CALLER = "caller"
    # The head of the request was rejected, so its end is not known.
    REJECTED_HEAD = "rejected-head"
    # The body of the request was not read to its end: the next byte belongs to it.
    UNREAD_BODY = "unread-body"
    # The instance is draining, and no other request is pending.
    DRAIN = "drain"


def close_reason(
    must_close: CloseReason | None,
    is_body_ended: bool,
    is_draining: bool,
    pending_count: int,
) -> CloseReason | None:
    """Return why the connection must be closed after the answer to a request.

    Parameters
    ----------
    must_close : CloseReason or None
        The reason that the request's head gives.
    is_body_ended : bool
        Whether the body of the request was read to its end.
    is_draining : bool
        Whether the instance is draining.
    pending_count : int
        The number of requests on the connection without an answer, this one included.

    Returns
    -------
    CloseReason or None
        None if the next byte from the caller begins another request.
    """
    if must_close is not None:
        return must_close
    if not is_body_ended:
        return CloseReason.UNREAD_BODY
    if is_draining and pending_count == 1:
        return CloseReason.DRAIN
    return None
