"""The fault switches of a stand-in backend server, and the effects of some of them."""

import collections
import contextlib
import socket
from collections.abc import Callable

import eventlet

from standins._program import Faults

# The connection of a held call is closed after this time at the latest.
HOLD_LIMIT_S = 20.0
HOLD_POLL_S = 0.02


class AnswerAborted(Exception):
    """Raised to make the WSGI server close the connection at once."""


def server_faults(service_time_s: float) -> Faults:
    """Return the switches, with all faults off.

    Parameters
    ----------
    service_time_s : float
        The time that one call takes in a slot, in seconds.

    Returns
    -------
    Faults
        The switches, which are set over HTTP while the program runs.
    """
    return Faults(
        service_time_s=service_time_s,
        # New calls are refused as not started, and load reports are marked as leaving.
        is_leaving=False,
        # New calls are refused as not started.
        sheds=False,
        # Calls are refused as not started if this many are queued; 0 for no limit.
        queue_limit=0,
        # This many further calls take ten times as long.
        cold_calls=0,
        # The duration of calls is multiplied by this factor.
        straggle_ratio=1.0,
        # Calls are answered 500 immediately.
        fails_fast=False,
        # The number of running calls in load reports; -1 for the real number.
        reported_running=-1,
        # Calls are held without an answer, then their connections are closed.
        never_answers=False,
        # The connection is closed in the middle of an answer.
        cuts_answer=False,
        # The delay of the answer after the call has run, in seconds.
        late_s=0.0,
        # The number of surplus bytes after each answer.
        surplus_bytes=0,
        # Connections that are open when this is increased get no answers any more.
        silence_count=0,
        # Violations of the protocol that a check of outcomes must detect.
        runs_twice=False,
        echoes_foreign_id=False,
        runs_what_it_sheds=False,
    )


class UnresponsiveConnections:
    """Determines which connections have become unresponsive.

    Parameters
    ----------
    faults : Faults
        The switches; an increase of silence_count affects the open connections.
    """

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._initial_counts: dict[str, int] = {}

    def is_unresponsive(self, environ: dict) -> bool:
        """Return whether silence_count has risen since the connection's first use."""
        count = self._faults.silence_count
        initial_count = self._initial_counts.setdefault(environ["REMOTE_PORT"], count)
        return initial_count < count


class CancelledCalls:
    """Keeps the calls that wait for a slot and the cancelled ones among them."""

    def __init__(self) -> None:
        self._waiting: collections.Counter[str] = collections.Counter()
        self._cancelled: set[str] = set()

    def add_waiting(self, call_id: str) -> None:
        """Record that a call waits for a slot."""
        self._waiting[call_id] += 1

    def try_start(self, call_id: str) -> bool:
        """Record that a call got a slot; return False if it was cancelled before."""
        self._waiting[call_id] -= 1
        if self._waiting[call_id] == 0:
            del self._waiting[call_id]
        was_cancelled = call_id in self._cancelled
        self._cancelled.discard(call_id)
        return not was_cancelled

    def cancel(self, call_id: str) -> bool:
        """Cancel a call that waits for a slot; return False if none does."""
        if call_id not in self._waiting:
            return False
        self._cancelled.add(call_id)
        return True


def hold_and_disconnect(environ: dict, is_over: Callable[[], bool]) -> None:
    """Hold a call until a condition or the limit, then close its connection."""
    held_s = 0.0
    while held_s < HOLD_LIMIT_S and not is_over():
        eventlet.sleep(HOLD_POLL_S)
        held_s += HOLD_POLL_S
    # The WSGI server answers 500 to an error that is raised before the head is sent;
    # shutting the socket down first prevents that answer.
    with contextlib.suppress(OSError):
        environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)
    raise AnswerAborted("held call ended without an answer")
