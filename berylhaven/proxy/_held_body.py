"""A request's body of which the beginning is held, so that it can be sent again."""

from collections.abc import Callable


class HeldBody:
    """Reads a body and holds what was read, up to a bound.

    Parameters
    ----------
    read_body : callable
        Reads at most so many bytes from the caller; empty at the end.
    limit_bytes : int
        A body of which more was read is no longer held.
    """

    __slots__ = ("_read_body", "_limit_bytes", "_held", "_position", "is_held")

    def __init__(self, read_body: Callable[[int], bytes], limit_bytes: int) -> None:
        self._read_body = read_body
        self._limit_bytes = limit_bytes
        self._held = bytearray()
        self._position = 0
        # Whether all that was read can be read again.
        self.is_held = True

    def read(self, size_bytes: int) -> bytes:
        """Read at most so many bytes; empty at the end of the body."""
        if self._position < len(self._held):
            piece = bytes(self._held[self._position : self._position + size_bytes])
            self._position += len(piece)
            return piece
        piece = self._read_body(size_bytes)
        if self.is_held:
            self._hold(piece)
        return piece

    def rewind(self) -> None:
        """Begin again at the first byte; allowed while the body is held."""
        self._position = 0

    def _hold(self, piece: bytes) -> None:
        if len(self._held) + len(piece) > self._limit_bytes:
            self.is_held = False
            self._held.clear()
            self._position = 0
            return
        self._held += piece
        self._position = len(self._held)
