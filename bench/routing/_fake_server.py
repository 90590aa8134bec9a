"""A small fake backend server: slots, a bounded queue, and faults."""

import collections
from collections.abc import Callable

from bench.routing._virtual_time import call_later
from berylhaven.clock import monotonic_s
from berylhaven.load import LoadReport

QUEUE_PER_SLOT = 25
FAIL_FAST_S = 0.0002


class FakeCall:
    """One call at a fake server.

    Parameters
    ----------
    work_s : float
        How long it holds a slot of an ordinary server.
    on_end : callable
        Told once whether the call was ``answered``, ``failed`` or ``shed``.
    """

    __slots__ = ("work_s", "on_end", "is_cancelled")

    def __init__(self, work_s: float, on_end: Callable[[str], None]) -> None:
        self.work_s = work_s
        self.on_end = on_end
        # Whether the caller cancelled it while it waited for a slot.
        self.is_cancelled = False


class FakeServer:
    """Runs calls in slots on the hub's clock.

    Parameters
    ----------
    slot_count : int
        Calls that run at once.
    """

    __slots__ = (
        "slot_count",
        "slowness",
        "fails_fast",
        "is_leaving",
        "running",
        "probe_busy_s",
        "_queue",
    )

    def __init__(self, slot_count: int) -> None:
        self.slot_count = slot_count
        # Times slower than the others.
        self.slowness = 1.0
        # Whether it answers each call at once with a failure.
        self.fails_fast = False
        # Whether it refuses new calls and says so.
        self.is_leaving = False
        # Calls, neighbours' work and probes that hold a slot.
        self.running = 0
        # Slot time that probes took, in seconds.
        self.probe_busy_s = 0.0
        self._queue: collections.deque[FakeCall] = collections.deque()

    def report(self) -> LoadReport:
        """Return what the server says of itself now."""
        return LoadReport(
            running_count=self.running,
            queued_count=len(self._queue),
            slot_count=self.slot_count,
            service_time_s=None,
            is_leaving=self.is_leaving,
            received_at_s=monotonic_s(),
        )

    def submit(self, call: FakeCall) -> None:
        """Take a call."""
        if self.is_leaving:
            call.on_end("shed")
        elif self.fails_fast:
            call_later(FAIL_FAST_S, call.on_end, "failed")
        elif len(self._queue) >= QUEUE_PER_SLOT * self.slot_count:
            call.on_end("shed")
        else:
            self._enqueue(call)

    def occupy(self, duration_s: float) -> None:
        """Let a neighbour's work take a slot, in turn with the calls."""
        self._enqueue(FakeCall(duration_s / self.slowness, lambda end: None))

    def probe(self, cost_s: float, on_end: Callable[[str], None]) -> None:
        """Let a probe take a slot."""
        self.probe_busy_s += cost_s * self.slowness
        self._enqueue(FakeCall(cost_s, on_end))

    def _enqueue(self, call: FakeCall) -> None:
        self._queue.append(call)
        self._start()

    def _start(self) -> None:
        while self._queue and self.running < self.slot_count:
            call = self._queue.popleft()
            if not call.is_cancelled:
                self.running += 1
                call_later(call.work_s * self.slowness, self._end, call)

    def _end(self, call: FakeCall) -> None:
        self.running -= 1
        self._start()
        call.on_end("answered")
