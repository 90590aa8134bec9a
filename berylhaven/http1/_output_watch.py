"""Tells whether a caller still receives what was written to its connection."""

import fcntl
import socket
import struct
import termios

from berylhaven.clock import monotonic_s, sleep_s

COUNT = struct.Struct("i")
# How often undelivered output is looked at while nothing else happens.
OUTPUT_POLL_INTERVAL_S = 0.1


class OutputWatch:
    """Watches the output of a socket that its peer's system has not confirmed.

    The kernel takes megabytes of an answer at once. If its socket is closed while the
    peer receives them, further input resets the connection and the rest is lost.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.
    """

    __slots__ = ("_socket", "_left_bytes", "_changed_at_s")

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._left_bytes = 0
        self._changed_at_s = 0.0

    @property
    def undelivered_bytes(self) -> int:
        """The output that the peer has not confirmed; 0 if the socket was closed."""
        try:
            descriptor = self._socket.fileno()
            data = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(COUNT.size))
        except (OSError, ValueError):
            return 0
        return COUNT.unpack(data)[0]

    def is_stalled(self, now_s: float, timeout_s: float) -> bool:
        """Return whether output is undelivered and nothing of it was delivered lately.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        timeout_s : float
            The longest time between two changes, in seconds.

        Returns
        -------
        bool
            False if all is delivered, or something was within the timeout.
        """
        left_bytes = self.undelivered_bytes
        if left_bytes != self._left_bytes:
            self._left_bytes, self._changed_at_s = left_bytes, now_s
        return left_bytes > 0 and now_s - self._changed_at_s >= timeout_s

    def is_receiving(self, now_s: float, timeout_s: float) -> bool:
        """Return whether the peer still receives output.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        timeout_s : float
            The longest time between two changes, in seconds.

        Returns
        -------
        bool
            False if all is delivered, or nothing was for the timeout.
        """
        return not self.is_stalled(now_s, timeout_s) and self._left_bytes > 0

    def await_delivery(self, timeout_s: float) -> None:
        """Wait until the peer has received all output, or nothing for a time.

        Parameters
        ----------
        timeout_s : float
            The longest time between two changes, in seconds.
        """
        while self.is_receiving(monotonic_s(), timeout_s):
            sleep_s(OUTPUT_POLL_INTERVAL_S)
