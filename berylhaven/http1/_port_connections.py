"""The connections of a port that answers short requests."""

import socket

import eventlet
from eventlet.greenio import shutdown_safe
from eventlet.greenthread import GreenThread

from berylhaven.clock import monotonic_s, sleep_s

# A sound peer sends its request with the connection. One that has kept the port waiting
# for this long may be closed if its place is needed.
MIN_WAIT_S = 0.25
FREE_POLL_INTERVAL_S = 0.05
# How many bodies of the largest size may be held at once.
LARGEST_BODIES_LIMIT = 8


class PortConnections(eventlet.GreenPool):
    """The green threads of a port's connections, and the room for their bodies.

    Connections that are idle, that send slowly or that do not take their answers must
    not keep others out: when all places are taken, the one that has kept the port
    waiting for the longest time is closed.

    Parameters
    ----------
    limit : int
        The maximum number of connections.
    body_limit_bytes : int
        The size limit of a request body in bytes.
    """

    def __init__(self, limit: int, body_limit_bytes: int) -> None:
        super().__init__(limit)
        # The size limit of a request body in bytes.
        self.body_limit_bytes = body_limit_bytes
        # The size of the bodies that are held now, in bytes.
        self.held_bytes = 0
        # The connections that wait for their peers and since when, the earliest first.
        self._waiting: dict[GreenThread, tuple[socket.socket, float]] = {}

    @property
    def has_room(self) -> bool:
        """Whether the bodies that are held leave room for more."""
        return self.held_bytes <= LARGEST_BODIES_LIMIT * self.body_limit_bytes

    def spawn(self, function: object, *args: object, **kwargs: object) -> GreenThread:
        """Serve a connection, once there is a place for it."""
        while self.free() <= 0 and not self._close_longest_waiting():
            sleep_s(FREE_POLL_INTERVAL_S)
        return super().spawn(function, *args, **kwargs)

    def begin_wait(self, sock: socket.socket) -> None:
        """Record that the connection of this green thread waits for its peer."""
        self._waiting[eventlet.getcurrent()] = (sock, monotonic_s())

    def end_wait(self) -> None:
        """Record that the connection of this green thread waits no longer."""
        self._waiting.pop(eventlet.getcurrent(), None)

    def _close_longest_waiting(self) -> bool:
        if not self._waiting:
            return False
        thread, (sock, since_s) = next(iter(self._waiting.items()))
        if monotonic_s() - since_s < MIN_WAIT_S:
            return False
        del self._waiting[thread]
        # Output that the peer does not take would keep the thread from its end.
        shutdown_safe(sock)
        thread.kill()
        return True
