"""The load record of one backend server."""

from berylhaven.load._load_report import LoadReport

SMOOTHING_RATIO = 0.2


class ServerLoad:
    """All that this entry instance knows of one backend server's load.

    Parameters
    ----------
    address : str
        HOST:PORT of the backend server.
    data_centre : str
        Where it stands.
    slot_count : int
        How many calls it runs at once, as the instance list says.
    """

    __slots__ = (
        "address",
        "data_centre",
        "slot_count",
        "own_in_flight",
        "report",
        "service_time_s",
        "consecutive_failures",
        "failed_at_s",
        "first_seen_at_s",
    )

    def __init__(self, address: str, data_centre: str, slot_count: int) -> None:
        self.address = address
        self.data_centre = data_centre
        self.slot_count = slot_count
        # Calls of this entry instance that the server has not answered yet.
        self.own_in_flight = 0
        # The last report; None before the first.
        self.report: LoadReport | None = None
        # The smoothed time of a call at this server; None before the first.
        self.service_time_s: float | None = None
        # Failures since the last success.
        self.consecutive_failures = 0
        # When the last call failed; None if none did.
        self.failed_at_s: float | None = None
        # When the server came into the list; None if it was there at start.
        self.first_seen_at_s: float | None = None

    def call_started(self) -> None:
        """Count a call that is about to be sent."""
        self.own_in_flight += 1

    def call_answered(self, duration_s: float, report: LoadReport | None) -> None:
        """Take in an answered call.

        Parameters
        ----------
        duration_s : float
            From sending the request to the head of the answer.
        report : LoadReport or None
            The report that the answer bore.
        """
        self.own_in_flight -= 1
        self.consecutive_failures = 0
        if report is not None:
            self.report = report
        if self.service_time_s is None:
            self.service_time_s = duration_s
        else:
            self.service_time_s += SMOOTHING_RATIO * (duration_s - self.service_time_s)

    def call_failed(self, now_s: float) -> None:
        """Take in a call that failed at this server."""
        self.own_in_flight -= 1
        self.consecutive_failures += 1
        self.failed_at_s = now_s

    def call_cancelled(self) -> None:
        """Take in a call that ended for a reason that tells nothing of the server."""
        self.own_in_flight -= 1

    def news_age_s(self, now_s: float) -> float | None:
        """Return the age of the last report in seconds, or None without one."""
        if self.report is None:
            return None
        return now_s - self.report.received_at_s
