"""Keeping a small answer while it is relayed."""

from collections.abc import Callable, Iterable


class RecordingBody:
    """Passes the pieces of a body on and keeps them while they are few.

    Parameters
    ----------
    pieces : iterable of bytes
        The body.
    limit_bytes : int
        A longer body is not kept.
    on_known : callable
        Told once: with the whole body, or with None as soon as it is known that it
        is not kept.
    """

    __slots__ = ("_source", "_pieces", "_limit_bytes", "_on_known", "_kept")

    def __init__(
        self,
        pieces: Iterable[bytes],
        limit_bytes: int,
        on_known: Callable[[bytes | None], None],
    ) -> None:
        self._source = pieces
        self._pieces = iter(pieces)
        self._limit_bytes = limit_bytes
        self._on_known = on_known
        self._kept: bytearray | None = bytearray()

    def __iter__(self) -> "RecordingBody":
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next piece."""
        try:
            piece = next(self._pieces)
        except StopIteration:
            self._tell(bytes(self._kept) if self._kept is not None else None)
            raise
        except BaseException:
            self._tell(None)
            raise
        if self._kept is not None:
            self._kept += piece
            if len(self._kept) > self._limit_bytes:
                self._tell(None)
        return piece

    @property
    def is_cut(self) -> bool:
        """Whether the caller got less than the whole body."""
        return getattr(self._source, "is_cut", False)

    def close(self) -> None:
        """End early, if the body has not ended."""
        if hasattr(self._source, "close"):
            self._source.close()
        self._tell(None)

    def _tell(self, body: bytes | None) -> None:
        if self._kept is not None:
            self._kept = None
            self._on_known(body)
