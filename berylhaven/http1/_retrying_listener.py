"""A listening socket that outlives the errors of accepting a connection."""

import errno
import socket
from collections.abc import Callable

from berylhaven.clock import sleep_s

# The listening socket itself was closed.
CLOSED_ERRORS = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK})
# The connection ended before it was accepted; the next one is not affected.
CONNECTION_ERRORS = frozenset({errno.ECONNABORTED, errno.ECONNRESET, errno.EPROTO})
# A process without a free descriptor finds one once a connection has ended.
RETRY_DELAY_S = 0.1


class RetryingListener:
    """Accepts connections for a server that ends at the first error.

    Parameters
    ----------
    sock : socket.socket
        The listening green socket.
    on_failure : callable
        Called with the error when connections can't be accepted, and with None once
        they can be again.
    """

    __slots__ = ("_socket", "_on_failure", "_has_failed")

    def __init__(
        self, sock: socket.socket, on_failure: Callable[[OSError | None], None]
    ) -> None:
        self._socket = sock
        self._on_failure = on_failure
        self._has_failed = False

    def __getattr__(self, name: str) -> object:
        """Return an attribute of the socket."""
        return getattr(self._socket, name)

    def accept(self) -> tuple[socket.socket, object]:
        """Return the next connection and the address of its peer.

        Returns
        -------
        tuple
            The socket and the address.

        Raises
        ------
        OSError
            If the listening socket was closed.
        """
        while True:
            try:
                accepted = self._socket.accept()
            except OSError as error:
                if error.errno in CLOSED_ERRORS:
                    raise
                if error.errno not in CONNECTION_ERRORS:
                    self._report(error)
                sleep_s(RETRY_DELAY_S if self._has_failed else 0.0)
                continue
            if self._has_failed:
                self._report(None)
            return accepted

    def _report(self, error: OSError | None) -> None:
        has_failed = error is not None
        if has_failed != self._has_failed:
            self._has_failed = has_failed
            self._on_failure(error)
