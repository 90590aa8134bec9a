"""The estimates of a request when it was sent, and what its answer teaches."""

from berylhaven.clock import monotonic_s
from berylhaven.gateway.servers._finish_estimate import (
    MEAN_SLOWNESS_RATIO,
    RouteWork,
    expected_finish_s,
    slowness_ratio,
    uncrowded_run_s,
)
from berylhaven.gateway.servers._server_record import ServerRecord


class SentRequest:
    """What was estimated of a request when it was sent.

    Parameters
    ----------
    server : ServerRecord
        The server that it is sent to.
    work : RouteWork
        The averages of the request's route.
    """

    __slots__ = (
        "_server",
        "_work",
        "sent_at_s",
        "expected_s",
        "slowness",
        "_uncrowded_s",
        "_request_count",
    )

    def __init__(self, server: ServerRecord, work: RouteWork) -> None:
        self._server = server
        self._work = work
        # On the hub's clock.
        self.sent_at_s = monotonic_s()
        # The expected time to the answer, in seconds.
        self.expected_s = expected_finish_s(server, work, self.sent_at_s)
        # How many times longer work takes on the server than at normal speed.
        self.slowness = slowness_ratio(server, self.sent_at_s)
        self._uncrowded_s = uncrowded_run_s(server, work, self.sent_at_s)
        # The requests at the server, this one included.
        self._request_count = server.occupied_count + 1

    def record_duration(self, duration_s: float, size_bytes: int) -> None:
        """Correct the estimates for the route and service by an answer.

        Parameters
        ----------
        duration_s : float
            The time to the answer, in seconds.
        size_bytes : int
            The size of request and answer together, in bytes.
        """
        self._work.record(self._work.work_s * duration_s / self.expected_s, size_bytes)
        # A slow spell of the machine would hide the effect of its requests.
        if self.slowness < MEAN_SLOWNESS_RATIO and self._server.report is not None:
            self._work.crowding.record(
                self._request_count,
                self._server.reported_count + 1,
                self._server.slot_count,
                duration_s / self._uncrowded_s,
            )
