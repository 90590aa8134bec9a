"""The hub of the programs: input before overdue timers, and measured turns.

A turn is the time for which a green thread runs until it waits. Nothing else of the
process runs meanwhile: no timer, no deadline, and no other connection is read.
"""

import socket
from collections.abc import Callable

from eventlet import hubs
from eventlet.green import _socket_nodns as green_names
from eventlet.green import socket as green_socket
from eventlet.greenio import GreenSocket
from eventlet.hubs import epolls

# A hub that is less late than this has polled just before.
OVERDUE_LIMIT_S = 0.01
# Turns from this length on are reported.
REPORTED_TURN_S = 0.005


def _ignore_turn(turn_s: float, sock: socket.socket | None) -> None:
    """Report no turn."""


class TurnHub(epolls.Hub):
    """Polls once more before it fires timers that are overdue, and measures turns.

    A hub fires its timers before it polls. When a turn has taken long, the timeout of
    a wait would be over although its input was received in time.

    Parameters
    ----------
    clock : callable or None
        Returns the time in seconds; None for the monotonic clock.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        super().__init__(clock)
        # When the running turn began, on the hub's clock.
        self.turn_began_s = self.clock()
        # Called with the length of a turn in seconds, and the socket that was used last
        # in it, at the end of a turn from `REPORTED_TURN_S` on.
        self.report_turn: Callable[[float, socket.socket | None], None] = _ignore_turn
        self._used_socket: socket.socket | None = None

    def switch(self) -> object:
        """End the turn of the calling green thread, until it is resumed."""
        now_s = self.clock()
        turn_s = now_s - self.turn_began_s
        sock, self._used_socket = self._used_socket, None
        if turn_s >= REPORTED_TURN_S:
            self.report_turn(turn_s, sock)
        # A green thread that runs for the first time does not come through here.
        self.turn_began_s = now_s
        try:
            return super().switch()
        finally:
            self.turn_began_s = self.clock()

    def fire_timers(self, when: float) -> None:
        """Fire the timers that are due, after input if they are overdue.

        Parameters
        ----------
        when : float
            The time on the hub's clock.
        """
        if self.timers and when - self.timers[0][0] > OVERDUE_LIMIT_S:
            self.wait(0)
        self.turn_began_s = self.clock()
        super().fire_timers(when)

    def note_use(self, sock: socket.socket) -> None:
        """Remember the socket that the running turn uses.

        Parameters
        ----------
        sock : socket.socket
            The socket that is read, written or accepted from.
        """
        self._used_socket = sock


class TurnSocket(GreenSocket):
    """The socket class of the programs: tells the hub which one a turn uses."""

    def accept(self) -> tuple[socket.socket, object]:
        """Return the next connection and the address of its peer."""
        self._note_use()
        return super().accept()

    def _recv_loop(
        self, receive: Callable[..., object], empty: object, *arguments: object
    ) -> object:
        self._note_use()
        return super()._recv_loop(receive, empty, *arguments)

    def _send_loop(
        self, send: Callable[..., int], data: bytes, *arguments: object
    ) -> int:
        self._note_use()
        return super()._send_loop(send, data, *arguments)

    def _note_use(self) -> None:
        # A socket that must not wait may be used by the hub itself.
        if not self.act_non_blocking:
            note_socket_use(self)


def note_socket_use(sock: socket.socket) -> None:
    """Tell the hub that the running turn uses a socket.

    Parameters
    ----------
    sock : socket.socket
        The green socket.
    """
    hub = hubs.get_hub()
    if isinstance(hub, TurnHub):
        hub.note_use(sock)


def set_turn_report(report: Callable[[float, socket.socket | None], None]) -> None:
    """Have long turns reported; see `TurnHub.report_turn`.

    Parameters
    ----------
    report : callable
        Gets the length in seconds, and the socket that was used last or None.
    """
    hub = hubs.get_hub()
    if isinstance(hub, TurnHub):
        hub.report_turn = report


def use_turn_hub() -> None:
    """Make it the hub of this thread, before the library is patched and used."""
    hubs.use_hub(TurnHub)
    # `monkey_patch` copies the names of the second module into the standard one.
    for module in (green_names, green_socket):
        module.socket = TurnSocket
