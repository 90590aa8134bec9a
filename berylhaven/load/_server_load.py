"""The load record of one backend server."""

import math

from berylhaven.load._service_load import ServiceLoad
from berylhaven.load_report import LoadReport

SMOOTHING_RATIO = 0.2
# A sample this many times the mean is no chance, and weighs more.
OUTLIER_RATIO = 4.0
OUTLIER_SMOOTHING_RATIO = 0.4
# Below this multiple of the service's mean, slowness may be chance.
SLOW_FROM_RATIO = 1.5
# Between the two the multiple rises from 1 to itself.
SLOW_SURELY_RATIO = 2.0
EJECTION_FAILURES = 3
EJECTION_FIRST_S = 1.0
EJECTION_LONGEST_S = 30.0
FAILURE_WEIGHT = 0.2
# A failure ratio below this is as good as none.
FAILURE_RATIO_LEAST = 0.01
SHED_REST_S = 0.05
COLD_START_S = 5.0
# So many answers that are not slow end the cold start.
COLD_ANSWERS = 3


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
    service : ServiceLoad or None
        What it has in common with its service's other servers.
    """

    __slots__ = (
        "address",
        "data_centre",
        "slot_count",
        "service",
        "own_in_flight",
        "report",
        "others_in_flight",
        "report_received_at_s",
        "is_report_from_peer",
        "service_time_s",
        "slow_ratio",
        "slow_ratio_at_s",
        "consecutive_failures",
        "failure_ratio",
        "failed_at_s",
        "ejected_until_s",
        "shed_at_s",
        "cold_until_s",
        "answered_count",
        "is_leaving",
        "has_penalty",
    )

    def __init__(
        self,
        address: str,
        data_centre: str,
        slot_count: int,
        service: ServiceLoad | None = None,
    ) -> None:
        self.address = address
        self.data_centre = data_centre
        self.slot_count = slot_count
        # What it has in common with its service's other servers.
        self.service = service or ServiceLoad()
        # Calls of this entry instance that the server has not answered yet.
        self.own_in_flight = 0
        # The last report; None before the first.
        self.report: LoadReport | None = None
        # Calls of other entry instances, as the last report tells.
        self.others_in_flight = 0.0
        # When the last report counts as received; minus infinity before the first.
        self.report_received_at_s = -math.inf
        # Whether a peer heard the last report, and not this instance.
        self.is_report_from_peer = False
        # The smoothed time of a call in a slot; None before the first.
        self.service_time_s: float | None = None
        # How many times slower than its service it surely is; 1 if it is not.
        self.slow_ratio = 1.0
        # When the slow ratio was last worked out.
        self.slow_ratio_at_s = -math.inf
        # Failures since the last success.
        self.consecutive_failures = 0
        # The smoothed share of calls that failed.
        self.failure_ratio = 0.0
        # When the last call failed; None if none did.
        self.failed_at_s: float | None = None
        # Until when it is left out; minus infinity if it is not.
        self.ejected_until_s = -math.inf
        # When it last refused a call because it was full.
        self.shed_at_s = -math.inf
        # Until when it counts as cold; minus infinity if it was there at start.
        self.cold_until_s = -math.inf
        # Calls that it answered since it came into the list.
        self.answered_count = 0
        # Whether it said that it is leaving; it never comes back from that.
        self.is_leaving = False
        # Whether anything but load weighs against it.
        self.has_penalty = False

    def call_started(self) -> None:
        """Count a call that is about to be sent."""
        self.own_in_flight += 1
        self.service.call_count += 1

    def call_answered(
        self, duration_s: float, report: LoadReport | None, now_s: float
    ) -> None:
        """Take in an answered call.

        Parameters
        ----------
        duration_s : float
            From sending the request to the head of the answer.
        report : LoadReport or None
            The report that the answer bore.
        now_s : float
            The time of the answer on the hub's clock.
        """
        self.own_in_flight -= 1
        self.consecutive_failures = 0
        self.failure_ratio *= 1 - FAILURE_WEIGHT
        if self.ejected_until_s > -math.inf:
            self.ejected_until_s = -math.inf
            self.service.readmit(self)
        if report is not None:
            self.record_report(report)
        self._take_duration(duration_s, now_s)
        self.answered_count += 1
        if self.slow_ratio == 1 and self.answered_count >= COLD_ANSWERS:
            self.cold_until_s = -math.inf
        if self.has_penalty:
            self._mark(now_s)

    def call_failed(self, now_s: float, report: LoadReport | None = None) -> None:
        """Take in a call that failed at this server, however fast.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        report : LoadReport or None
            The report that the failure bore.
        """
        self.own_in_flight -= 1
        self.consecutive_failures += 1
        self.failure_ratio += FAILURE_WEIGHT * (1 - self.failure_ratio)
        self.failed_at_s = now_s
        if report is not None:
            self.record_report(report)
        if self.consecutive_failures >= EJECTION_FAILURES:
            doublings = min(self.consecutive_failures - EJECTION_FAILURES, 10)
            rest_s = min(EJECTION_LONGEST_S, EJECTION_FIRST_S * 2**doublings)
            self.ejected_until_s = now_s + rest_s
            self.service.eject(self)
        self.has_penalty = True

    def call_shed(self, now_s: float, report: LoadReport | None = None) -> None:
        """Take in a call that the server refused because it is full.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        report : LoadReport or None
            The report that the refusal bore.
        """
        self.own_in_flight -= 1
        if report is not None:
            self.record_report(report)
        self.shed_at_s = now_s
        self.has_penalty = True

    def call_timed_out(self, waited_s: float, now_s: float) -> None:
        """Take in a call that got no answer before its caller's deadline.

        A short deadline tells nothing of the server; a long one that passed does.

        Parameters
        ----------
        waited_s : float
            From sending the request to the deadline.
        now_s : float
            The time on the hub's clock.
        """
        usual_s = self.service.service_time_s * self.service.quantile_ratios[-1]
        if waited_s > usual_s * self._waves():
            self.call_failed(now_s)
        else:
            self.call_cancelled()

    def call_cancelled(self) -> None:
        """Take in a call that ended for a reason that tells nothing of the server."""
        self.own_in_flight -= 1

    def record_report(self, report: LoadReport) -> bool:
        """Take in a report from any source if it is newer than the last.

        Parameters
        ----------
        report : LoadReport
            With the time at which it counts as received.

        Returns
        -------
        bool
            Whether it was newer.
        """
        if report.is_leaving:
            self.is_leaving = True
        if report.received_at_s <= self.report_received_at_s:
            return False
        self.report = report
        self.is_report_from_peer = False
        self.report_received_at_s = report.received_at_s
        load = report.running_count + report.queued_count
        self.others_in_flight = float(max(0, load - self.own_in_flight))
        self.service.record_others_in_flight(self.others_in_flight, self.slot_count)
        return True

    def record_peer_report(self, report: LoadReport) -> None:
        """Take in a report that a peer heard, if it is newer than the last."""
        if self.record_report(report):
            self.is_report_from_peer = True

    def probe_failed(self, now_s: float) -> None:
        """Take in a probe without an answer; it weighs like a failed call."""
        self.failed_at_s = now_s
        self.failure_ratio += FAILURE_WEIGHT * (1 - self.failure_ratio)
        self.has_penalty = True

    def record_slow_ratio(self, slow_ratio: float, at_s: float) -> None:
        """Take in how slow a peer found the server, if that is newer news."""
        if at_s <= self.slow_ratio_at_s:
            return
        self.slow_ratio_at_s = at_s
        self.slow_ratio = slow_ratio
        self.service_time_s = slow_ratio * self.service.service_time_s
        if slow_ratio > 1:
            self.has_penalty = True

    def report_age_s(self, now_s: float) -> float | None:
        """Return the age of the last report in seconds, or None without one."""
        if self.report is None:
            return None
        return now_s - self.report_received_at_s

    def is_ejected(self, now_s: float) -> bool:
        """Tell whether the server is to be left out if that may be."""
        return self.ejected_until_s > now_s

    def _waves(self) -> float:
        load = self.others_in_flight + self.own_in_flight
        return 1 + max(0.0, load + 1 - self.slot_count) / self.slot_count

    def _take_duration(self, duration_s: float, now_s: float) -> None:
        service = self.service
        load = self.own_in_flight
        report = self.report
        if report is not None and report.received_at_s == now_s:
            load = max(load, report.running_count + report.queued_count)
        ahead = 1 + max(0.0, load + 1 - self.slot_count) / self.slot_count
        far_s = service.extra_round_trip_s(self.data_centre)
        sample_s = max(duration_s - far_s, 0.0) / ahead
        expected_s = service.service_time_s * ahead + far_s
        service.record_duration(self.data_centre, duration_s, expected_s, now_s)
        service.record_service_time(sample_s)
        self._smooth_service_time(sample_s)
        self.slow_ratio_at_s = now_s
        ratio = self.service_time_s / service.service_time_s
        if ratio <= SLOW_FROM_RATIO:
            self.slow_ratio = 1.0
            return
        steep = SLOW_SURELY_RATIO - 1
        steep /= SLOW_SURELY_RATIO - SLOW_FROM_RATIO
        self.slow_ratio = min(ratio, 1 + steep * (ratio - SLOW_FROM_RATIO))
        self.has_penalty = True

    def _smooth_service_time(self, sample_s: float) -> None:
        known_s = self.service_time_s
        if known_s is None:
            known_s = self.service.service_time_s
        weight = SMOOTHING_RATIO
        if sample_s > OUTLIER_RATIO * self.service.service_time_s:
            weight = OUTLIER_SMOOTHING_RATIO
        self.service_time_s = known_s + weight * (sample_s - known_s)

    def _mark(self, now_s: float) -> None:
        self.has_penalty = (
            self.slow_ratio > 1
            or self.failure_ratio > FAILURE_RATIO_LEAST
            or self.cold_until_s > now_s
            or now_s - self.shed_at_s < SHED_REST_S
        )
