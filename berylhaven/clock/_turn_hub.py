"""The hub of the programs: input before overdue timers, and turns that are bounded.

A turn is the time for which a green thread runs until it waits. Nothing else of the
process runs meanwhile: no timer, no deadline, and no other connection is read. A read
that finds input does not wait, so a peer that sends faster than its bytes are parsed
would hold the hub for as long as it likes.
"""

import heapq
import socket
import sys
from collections import deque
from collections.abc import Callable

from eventlet import hubs
from eventlet.green import _socket_nodns as green_names
from eventlet.green import socket as green_socket
from eventlet.greenio import GreenSocket
from eventlet.hubs import epolls
from eventlet.hubs.timer import Timer
from greenlet import getcurrent

# A hub that is less late than this has polled just before.
OVERDUE_LIMIT_S = 0.01
# A turn that has taken longer ends before the next use of a socket. It is several times
# what a request takes between two waits, and all others wait for one such turn a pass.
TURN_LIMIT_S = 0.002
# Turns from this length on are reported.
REPORTED_TURN_S = 0.005


def _ignore_turn(turn_s: float, sock: socket.socket | None) -> None:
    """Report no turn."""


class TurnHub(epolls.Hub):
    """Polls once more before it fires timers that are overdue, and bounds turns.

    A hub fires its timers before it polls. When a turn has taken long, the timeout of
    a wait would be over although its input was received in time.

    The threads whose turns were ended wait in a queue, from which each pass of the hub
    resumes one, after the timers and the input of all others. The others wait for one
    turn a pass, however many peers send without end.

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
        # They resume the threads whose turns were ended, in order.
        self._ended_turns: deque[Timer] = deque()
        # The one of them that was taken from the queue last.
        self._resumed: Timer | None = None

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
        # As in the library, but each timer may start a thread and so a turn.
        while self.timers and self.timers[0][0] <= when:
            timer = heapq.heappop(self.timers)[1]
            self.turn_began_s = self.clock()
            try:
                if timer.called:
                    self.timers_canceled -= 1
                else:
                    timer()
            except self.SYSTEM_EXCEPTIONS:
                raise
            except BaseException:
                self.squelch_timer_exception(timer, sys.exc_info())

    def wait(self, seconds: float | None = None) -> None:
        """Handle input, and resume one of the threads whose turns were ended.

        Parameters
        ----------
        seconds : float or None
            The longest wait for input if there is no such thread.
        """
        while self._ended_turns and self._ended_turns[0].called:
            # Its thread was killed, or its timeout was raised.
            self._ended_turns.popleft()
        super().wait(0 if self._ended_turns else seconds)
        is_resumed = self._resumed is None or self._resumed.called
        if self._ended_turns and is_resumed:
            self._resumed = self._ended_turns.popleft()
            self.add_timer(self._resumed)

    def close_one(self) -> None:
        """Tell a thread that its descriptor was closed; its error ends it alone.

        The library lets the error end the hub, and so the process.
        """
        try:
            super().close_one()
        except self.SYSTEM_EXCEPTIONS:
            raise
        except BaseException:
            self.squelch_generic_exception(sys.exc_info())

    def use(self, sock: socket.socket) -> None:
        """Note that the running turn uses a socket; end the turn first if it is long.

        Parameters
        ----------
        sock : socket.socket
            The socket that is to be read or accepted from, or was written.
        """
        self._used_socket = sock
        self.end_long_turn()

    def end_long_turn(self) -> None:
        """Let others run if the turn of the calling green thread has taken long."""
        if self.clock() - self.turn_began_s <= TURN_LIMIT_S:
            return
        current = getcurrent()
        if current is self.greenlet:
            # A callback of the hub itself must not wait.
            return
        timer = Timer(0, current.switch)
        self._ended_turns.append(timer)
        try:
            self.switch()
        finally:
            timer.cancel()


class TurnSocket(GreenSocket):
    """The socket class of the programs: each use may end a turn that has taken long."""

    def accept(self) -> tuple[socket.socket, object]:
        """Return the next connection and the address of its peer."""
        self._use()
        return super().accept()

    def _recv_loop(
        self, receive: Callable[..., object], empty: object, *arguments: object
    ) -> object:
        self._use()
        return super()._recv_loop(receive, empty, *arguments)

    def _send_loop(
        self, send: Callable[..., int], data: bytes, *arguments: object
    ) -> int:
        # The turn ends after a send, not before it: what was checked last still holds
        # when the first byte is sent.
        sent_bytes = super()._send_loop(send, data, *arguments)
        self._use()
        return sent_bytes

    def _use(self) -> None:
        # A socket that must not wait may be used by the hub itself.
        if not self.act_non_blocking:
            use_socket(self)


def end_long_turn() -> None:
    """Let others run if the turn of the calling green thread has taken long.

    Called by parsers at steps that take much time for few bytes.
    """
    hub = hubs.get_hub()
    if isinstance(hub, TurnHub):
        hub.end_long_turn()


def use_socket(sock: socket.socket) -> None:
    """Tell the hub that the running turn uses a socket; this may end the turn.

    Parameters
    ----------
    sock : socket.socket
        The green socket.
    """
    hub = hubs.get_hub()
    if isinstance(hub, TurnHub):
        hub.use(sock)


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
