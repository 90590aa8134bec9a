"""The fault switches of a stand-in backend server, and what some of them do."""

import collections
import contextlib
import socket
from collections.abc import Callable

import eventlet

from standins._program import Faults

# A held call ends after this time at the latest, by closing its connection.
HOLD_LIMIT_S = 20.0
HOLD_POLL_S = 0.02


class AnswerAborted(Exception):
    """Raised to make the WSGI server close the connection at once."""


def server_faults(service_time_s: float) -> Faults:
    """Return the switches, all off.

    Parameters
    ----------
    service_time_s : float
        How long one call takes in a slot.

    Returns
    -------
    Faults
        Set over HTTP while the program runs.
    """
    return Faults(
        service_time_s=service_time_s,
        # New calls are refused as not started, and the load report says so.
        is_leaving=False,
        # New calls are refused as not started.
        sheds=False,
        # Calls that find so many waiting are refused as not started; 0 for no limit.
        queue_limit=0,
        # The next so many calls take ten times as long.
        cold_calls=0,
        # Calls take so many times as long.
        straggle_ratio=1.0,
        # Calls are answered 500 at once.
        fails_fast=False,
        # What the load report says of running calls; -1 for the truth.
        reported_running=-1,
        # Calls are held and then their connection is closed.
        never_answers=False,
        # The connection is closed in the middle of an answer.
        cuts_answer=False,
        # Answers are held back so long after their call ran.
        late_s=0.0,
        # So many bytes follow each answer.
        surplus_bytes=0,
        # Connections that are open when this is raised go silent for good.
        silence_count=0,
        # Cheats, which a check of outcomes must find.
        runs_twice=False,
        echoes_foreign_id=False,
        runs_what_it_sheds=False,
    )


class UnresponsiveConnections:
    """Tells which connections have gone silent.

    Parameters
    ----------
    faults : Faults
        With the count that is raised to silence the open ones.
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._initial_counts: dict[str, int] = {}

    def is_unresponsive(self, environ: dict) -> bool:
        """Tell whether the connection of a request was open at the last silencing."""
        count = self._faults.silence_count
        initial_count = self._initial_counts.setdefault(environ["REMOTE_PORT"], count)
        return initial_count < count


class CancelledCalls:
    """Calls that wait for a slot, and those of them that were cancelled."""

    def __init__(self) -> None:
        self._waiting: collections.Counter[str] = collections.Counter()
        self._cancelled: set[str] = set()

    def add_waiting(self, call_id: str) -> None:
        """Note that a call waits for a slot."""
        self._waiting[call_id] += 1

    def try_start(self, call_id: str) -> bool:
        """Note that a call has a slot; tell whether it was not cancelled before."""
        self._waiting[call_id] -= 1
        if self._waiting[call_id] == 0:
            del self._waiting[call_id]
        was_cancelled = call_id in self._cancelled
        self._cancelled.discard(call_id)
        return not was_cancelled

    def cancel(self, call_id: str) -> bool:
        """Cancel a call that has not started; tell whether that was so."""
        if call_id not in self._waiting:
            return False
        self._cancelled.add(call_id)
        return True


def hold_and_disconnect(environ: dict, is_over: Callable[[], bool]) -> None:
    """Hold a call until a condition or the limit, then break its connection."""
    held_s = 0.0
    while held_s < HOLD_LIMIT_S and not is_over():
        eventlet.sleep(HOLD_POLL_S)
        held_s += HOLD_POLL_S
    # The WSGI server would answer 500 to an error that comes before the head.
    with contextlib.suppress(OSError):
        environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)
    raise AnswerAborted("held for long enough")
