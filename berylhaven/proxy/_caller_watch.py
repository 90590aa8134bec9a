"""Detection of callers that close their connection while their call runs."""

import socket
from dataclasses import dataclass

import eventlet
import greenlet
from eventlet import hubs

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.results import CallerDisconnected

# Interval between checks. Only calls sent at least this long ago are checked, since
# shorter ones end before a check would save anything.
CHECK_INTERVAL_S = 0.1


@dataclass(slots=True)
class CallerWait:
    """One green thread that waits for a backend server."""

    # The green thread.
    thread: greenlet.greenlet
    # The socket of the caller whose call it runs.
    caller_socket: socket.socket
    # When the wait began, on the hub's clock.
    began_at_s: float
    # Whether the thread is still waiting.
    is_waiting: bool = True


class CallerWatch:
    """Cancels waits on behalf of callers that have disconnected.

    One green thread checks all waits in turn, which costs a short call only an entry
    in a table; watching each socket would cost two system calls.
    """

    __slots__ = ("_waits", "_check_thread")

    def __init__(self) -> None:
        self._waits: dict[int, CallerWait] = {}
        self._check_thread: eventlet.greenthread.GreenThread | None = None

    def begin(self, caller_socket: socket.socket) -> CallerWait:
        """Raise CallerDisconnected in this green thread when the caller disconnects.

        Parameters
        ----------
        caller_socket : socket.socket
            The caller's connection.

        Returns
        -------
        CallerWait
            The wait; pass it to `end` when the thread stops waiting.
        """
        wait = CallerWait(greenlet.getcurrent(), caller_socket, monotonic_s())
        self._waits[id(wait)] = wait
        if self._check_thread is None:
            self._check_thread = eventlet.spawn(self._check_callers)
        return wait

    def end(self, wait: CallerWait) -> None:
        """Stop watching a wait."""
        wait.is_waiting = False
        del self._waits[id(wait)]

    def _check_callers(self) -> None:
        while self._waits:
            sleep_s(CHECK_INTERVAL_S)
            began_before_s = monotonic_s() - CHECK_INTERVAL_S
            for wait in list(self._waits.values()):
                if wait.began_at_s <= began_before_s and is_disconnected(
                    wait.caller_socket
                ):
                    hubs.get_hub().schedule_call_global(0, _cancel_wait, wait)
        self._check_thread = None


def is_disconnected(caller_socket: socket.socket) -> bool:
    """Return whether the caller closed its side; pipelined requests do not count."""
    try:
        return not caller_socket.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _cancel_wait(wait: CallerWait) -> None:
    # The wait may have ended between the check and this call.
    if wait.is_waiting:
        wait.thread.throw(CallerDisconnected("the caller closed its connection"))
