"""The requests on the callers' port that are not answered yet."""

from dataclasses import dataclass

from berylhaven.clock import monotonic_s
from berylhaven.operations import ComponentLog

LOG = ComponentLog("drain")


@dataclass(slots=True)
class PendingCall:
    """A request whose answer is not written yet."""

    # The path of the request.
    path: str
    # When its head was read, on the hub's clock.
    received_at_s: float
    # HOST:PORT of the backend server it was sent to last; empty if to none.
    address: str = ""
    # When it was sent there, on the hub's clock.
    sent_at_s: float = 0.0
    # Whether the answer of a backend server has begun.
    has_answer: bool = False

    @property
    def is_at_work(self) -> bool:
        """Whether a backend server may be running the call."""
        return bool(self.address) and not self.has_answer

    def describe(self, now_s: float) -> str:
        """Return when the call was read, and when and where it was sent."""
        text = f"{self.path[:100]!r}, read {now_s - self.received_at_s:.2f} s ago, "
        if not self.address:
            return f"{text}not sent to a backend server"
        return f"{text}sent to {self.address} {now_s - self.sent_at_s:.2f} s ago"


class PendingCalls:
    """Counts the requests that are not answered yet, and logs those that are lost."""

    __slots__ = ("_calls",)

    def __init__(self) -> None:
        self._calls: dict[int, PendingCall] = {}

    @property
    def count(self) -> int:
        """The number of requests whose answers are not written yet."""
        return len(self._calls)

    def begin(self, environ: dict) -> PendingCall:
        """Add a request until the WSGI server has written its answer.

        Parameters
        ----------
        environ : dict
            The WSGI environment.

        Returns
        -------
        PendingCall
            The request.
        """
        call = PendingCall(environ["RAW_PATH_INFO"], monotonic_s())
        self._calls[id(call)] = call
        environ["eventlet.posthooks"].append((self._end, (call,), {}))
        return call

    def _end(self, environ: dict, call: PendingCall) -> None:
        del self._calls[id(call)]

    def log_cut(self) -> None:
        """Log a line for each call that ends while it waits for a backend server."""
        self._log(
            [call for call in self._calls.values() if call.is_at_work],
            "is ended: the drain reaches its limit",
        )

    def log_lost(self) -> None:
        """Log a line for each request that ends without a whole answer."""
        self._log(
            list(self._calls.values()), "ends without a whole answer: the drain is over"
        )

    def _log(self, calls: list[PendingCall], reason: str) -> None:
        now_s = monotonic_s()
        for call in calls:
            LOG.warning("Call %s, %s.", call.describe(now_s), reason)
