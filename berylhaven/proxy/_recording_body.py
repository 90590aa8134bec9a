"""Recording of a small answer body while it is streamed."""

from collections.abc import Callable, Iterable


class RecordingBody:
    """Passes the pieces of a body on and records them up to a size limit.

    Parameters
    ----------
    pieces : iterable of bytes
        The pieces of the body.
    limit_bytes : int
        The largest body that is recorded, in bytes.
    on_recorded : callable
        Called once: with the whole body, or with None as soon as the body proves too
        long or ends early.
    """

    __slots__ = ("_source", "_pieces", "_limit_bytes", "_on_recorded", "_recorded")

    def __init__(
        self,
        pieces: Iterable[bytes],
        limit_bytes: int,
        on_recorded: Callable[[bytes | None], None],
    ) -> None:
        self._source = pieces
        self._pieces = iter(pieces)
        self._limit_bytes = limit_bytes
        self._on_recorded = on_recorded
        self._recorded: bytearray | None = bytearray()

    def __iter__(self) -> "RecordingBody":
        """Return the iterator itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next piece."""
        try:
            piece = next(self._pieces)
        except StopIteration:
            self._report(bytes(self._recorded) if self._recorded is not None else None)
            raise
        except BaseException:
            self._report(None)
            raise
        if self._recorded is not None:
            self._recorded += piece
            if len(self._recorded) > self._limit_bytes:
                self._report(None)
        return piece

    @property
    def is_cut(self) -> bool:
        """Whether the caller received a truncated body."""
        return getattr(self._source, "is_cut", False)

    def close(self) -> None:
        """Close the body; one that has not ended is not recorded."""
        if hasattr(self._source, "close"):
            self._source.close()
        self._report(None)

    def _report(self, body: bytes | None) -> None:
        if self._recorded is not None:
            self._recorded = None
            self._on_recorded(body)
