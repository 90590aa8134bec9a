"""Streaming the body of a backend server's answer to the caller."""

from collections.abc import Callable, Iterable, Iterator

import eventlet

from berylhaven.clock import monotonic_s
from berylhaven.http1._upstream_answer import (
    AnswerBodyError,
    BodyFault,
    UpstreamAnswer,
)
from berylhaven.results import DeadlineExceeded, Outcome, UpstreamBroken


class AnswerBody:
    """The pieces of an answer's body, which end complete or with an error.

    This is a class with `close` rather than a generator, since closing a generator
    that was never started does not run its clean-up.

    Parameters
    ----------
    upstream : UpstreamAnswer
        The answer, whose first piece is already read.
    chunk_bytes : int
        The largest part of the body held in memory at once, in bytes.
    deadline_s : float
        The call's deadline on the hub's clock; it also limits the streaming, and so
        how long a slow caller can hold the backend server's connection.
    on_end : callable
        Called once, with whether the connection can be reused.
    """

    __slots__ = (
        "_upstream",
        "_chunk_bytes",
        "_deadline_s",
        "_on_end",
        "_passed_bytes",
        "_timer",
        "_first_piece",
        "is_cut",
    )

    def __init__(
        self,
        upstream: UpstreamAnswer,
        chunk_bytes: int,
        deadline_s: float,
        on_end: Callable[[bool], None],
    ) -> None:
        self._upstream = upstream
        self._chunk_bytes = chunk_bytes
        self._deadline_s = deadline_s
        self._on_end: Callable[[bool], None] | None = on_end
        self._passed_bytes = len(upstream.first_piece)
        self._timer: eventlet.Timeout | None = None
        self._first_piece: bytes | None = upstream.first_piece
        # Whether the caller received a truncated body.
        self.is_cut = False

    def __iter__(self) -> Iterator[bytes]:
        """Return the iterator itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next piece as soon as it is received.

        Raises
        ------
        UpstreamBroken
            If the body was truncated; the WSGI server then closes the caller's
            connection.
        DeadlineExceeded
            If the deadline passed, also while a piece was being sent to the caller.
        """
        if self._timer is None:
            self._start_timer()
        if self._first_piece is not None:
            piece, self._first_piece = self._first_piece, None
            return piece
        try:
            piece = self._upstream.body_reader.read1(self._chunk_bytes)
        except AnswerBodyError as cut:
            self._upstream.fault = BodyFault(cut, self._passed_bytes)
            raise UpstreamBroken(f"the answer was truncated: {cut}") from cut
        if not piece:
            raise StopIteration
        self._passed_bytes += len(piece)
        return piece

    def _start_timer(self) -> None:
        remaining_s = self._deadline_s - monotonic_s()
        timeout_error = DeadlineExceeded(
            "the deadline passed before the whole answer was sent", outcome=Outcome.RUN
        )
        if remaining_s <= 0:
            raise timeout_error
        self._timer = eventlet.Timeout(remaining_s, timeout_error)

    def close(self) -> None:
        """Release what the call held; further calls do nothing."""
        if self._on_end is None:
            return
        on_end, self._on_end = self._on_end, None
        if self._timer is not None:
            self._timer.cancel()
        is_complete = self._upstream.is_complete
        self.is_cut = not is_complete
        on_end(is_complete and self._upstream.keeps_connection)


def stream_body(
    upstream: UpstreamAnswer,
    chunk_bytes: int,
    deadline_s: float,
    on_end: Callable[[bool], None],
) -> Iterable[bytes]:
    """Return the body for the WSGI server.

    Parameters
    ----------
    upstream : UpstreamAnswer
        The answer, whose first piece is already read.
    chunk_bytes : int
        The largest part of the body held in memory at once, in bytes.
    deadline_s : float
        The call's deadline on the hub's clock.
    on_end : callable
        Called once, with whether the connection can be reused; immediately if the
        whole body is already read, so that a slow caller holds no server connection.

    Returns
    -------
    iterable of bytes
        The pieces.
    """
    if upstream.is_complete:
        on_end(upstream.keeps_connection)
        return [upstream.first_piece] if upstream.first_piece else []
    return AnswerBody(upstream, chunk_bytes, deadline_s, on_end)
