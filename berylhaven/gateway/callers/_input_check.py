"""Tells whether a socket has input that was not read."""

import socket

import eventlet.patcher

# Eventlet's patched module would wait in the hub; the original doesn't.
select = eventlet.patcher.original("select")


def has_input(sock: socket.socket) -> bool:
    """Return whether bytes or the end of the input can be read without a wait.

    Parameters
    ----------
    sock : socket.socket
        An open socket.

    Returns
    -------
    bool
        True also after an error, which the next read reports.
    """
    poll = select.poll()
    try:
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        # The socket was closed meanwhile.
        return False
