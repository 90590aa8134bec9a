"""Tells whether a socket has output that its peer has not received."""

import fcntl
import socket
import struct
import termios

COUNT = struct.Struct("i")


def has_undelivered_output(sock: socket.socket) -> bool:
    """Return whether bytes were written that the peer's system has not confirmed.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.

    Returns
    -------
    bool
        False if the socket was closed meanwhile.
    """
    try:
        data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(COUNT.size))
    except (OSError, ValueError):
        return False
    return COUNT.unpack(data)[0] > 0
