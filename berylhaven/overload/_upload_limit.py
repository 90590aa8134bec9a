"""How many bytes of uploads a server gets at a time from this instance.

Load pattern: large uploads to servers with little memory, some of which read slowly. A
server ends if the requests that it holds exceed its memory; the same uploads would then
end the next one.
"""

from dataclasses import dataclass

# The limit before any server has ended. It exceeds what one instance sends to a server
# in ordinary operation.
INITIAL_LIMIT_BYTES = 16_000_000
# The limit is not decreased further; a single upload may always exceed it.
MIN_LIMIT_BYTES = 131_072
# The part of each answered upload by which the limit increases again.
INCREASE_RATIO = 1 / 16


@dataclass(slots=True, frozen=True)
class UploadLimit:
    """What the servers of one service are known to bear, each of them."""

    # The largest number of bytes in flight to one server.
    limit_bytes: int = INITIAL_LIMIT_BYTES

    def admits(self, size_bytes: int, in_flight_bytes: int) -> bool:
        """Return whether an upload may be sent to a server now.

        Parameters
        ----------
        size_bytes : int
            The size of the upload.
        in_flight_bytes : int
            The uploads that the server holds from this instance.

        Returns
        -------
        bool
            A single upload is admitted at any size.
        """
        return not in_flight_bytes or in_flight_bytes + size_bytes <= self.limit_bytes

    def after_crash(self, held_bytes: int) -> "UploadLimit":
        """Return the limit after a server ended while it held uploads.

        Parameters
        ----------
        held_bytes : int
            The uploads that it held from this instance.

        Returns
        -------
        UploadLimit
            Half of what it held, or of the former limit if that is less.
        """
        if not held_bytes:
            return self
        halved_bytes = min(self.limit_bytes, held_bytes) // 2
        return UploadLimit(max(MIN_LIMIT_BYTES, halved_bytes))

    def after_answer(self, size_bytes: int) -> "UploadLimit":
        """Return the limit after an upload was answered.

        Parameters
        ----------
        size_bytes : int
            The size of the upload.

        Returns
        -------
        UploadLimit
            A larger limit, up to the initial one.
        """
        if self.limit_bytes >= INITIAL_LIMIT_BYTES:
            return self
        increased_bytes = self.limit_bytes + int(size_bytes * INCREASE_RATIO)
        return UploadLimit(min(INITIAL_LIMIT_BYTES, increased_bytes))
