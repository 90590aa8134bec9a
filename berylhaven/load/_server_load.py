"""The load record of one backend server."""

import math

from berylhaven.load._service_load import ServiceLoad
from berylhaven.load_report import LoadReport

SMOOTHING_RATIO = 0.2
# A sample above this multiple of the mean is not chance, and gets more weight.
OUTLIER_RATIO = 4.0
OUTLIER_SMOOTHING_RATIO = 0.4
# Below this multiple of the service's mean, slowness may be chance.
SLOW_THRESHOLD_RATIO = 1.5
# Between the two thresholds the slow ratio rises from 1 to the measured multiple.
SLOW_CERTAIN_RATIO = 2.0
EJECTION_FAILURES = 3
EJECTION_FIRST_S = 1.0
MAX_EJECTION_S = 30.0
FAILURE_WEIGHT = 0.2
# A failure ratio below this counts as zero.
MIN_FAILURE_RATIO = 0.01
SHED_PENALTY_S = 0.05
COLD_START_S = 5.0
# The cold start ends after this many answers that are not slow.
COLD_START_ANSWERS = 3


class ServerLoad:
    """The load of one backend server, as this entry instance has recorded it.

    Parameters
    ----------
    address : str
        HOST:PORT of the backend server.
    data_centre : str
        The server's data centre.
    slot_count : int
        The number of calls that it runs at once, according to the instance list.
    service : ServiceLoad or None
        The means over the servers of its service.
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
        # The means over the servers of its service.
        self.service = service or ServiceLoad()
        # Calls of this entry instance that the server has not answered yet.
        self.own_in_flight = 0
        # The last report; None before the first.
        self.report: LoadReport | None = None
        # Calls of other entry instances according to the last report.
        self.others_in_flight = 0.0
        # The time at which the last report counts as received: a peer's report counts
        # from its own age, not from its arrival. Minus infinity before the first.
        self.report_received_at_s = -math.inf
        # Whether the last report was received by a peer and shared by it.
        self.is_report_from_peer = False
        # The smoothed time of a call in a slot; None before the first.
        self.service_time_s: float | None = None
        # How many times slower than its service it is, beyond chance; 1 if it is not.
        self.slow_ratio = 1.0
        # The time at which the slow ratio was last computed.
        self.slow_ratio_at_s = -math.inf
        # Failures since the last success.
        self.consecutive_failures = 0
        # The smoothed ratio of calls that failed.
        self.failure_ratio = 0.0
        # The time of the last failure; None without one.
        self.failed_at_s: float | None = None
        # The end of its ejection; minus infinity if it is not ejected.
        self.ejected_until_s = -math.inf
        # The time at which it last shed a call.
        self.shed_at_s = -math.inf
        # The end of its cold start; minus infinity if it was in the first list.
        self.cold_until_s = -math.inf
        # Calls that it answered since it was added to the list.
        self.answered_count = 0
        # Whether it reported that it is leaving, which is final.
        self.is_leaving = False
        # Whether anything but load raises its estimate: slowness, failures, a cold
        # start or a shed call.
        self.has_penalty = False

    def call_started(self) -> None:
        """Count a call that is about to be sent."""
        self.own_in_flight += 1
        self.service.call_count += 1

    def call_answered(
        self, duration_s: float, report: LoadReport | None, now_s: float
    ) -> None:
        """Record an answered call.

        Parameters
        ----------
        duration_s : float
            Seconds from sending the request to the head of the answer.
        report : LoadReport or None
            The load report in the answer.
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
        self._record_duration(duration_s, now_s)
        self.answered_count += 1
        if self.slow_ratio == 1 and self.answered_count >= COLD_START_ANSWERS:
            self.cold_until_s = -math.inf
        if self.has_penalty:
            self._update_penalty(now_s)

    def call_failed(self, now_s: float, report: LoadReport | None = None) -> None:
        """Record a call that failed at this server, regardless of its duration.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        report : LoadReport or None
            The load report in the failed answer.
        """
        self.own_in_flight -= 1
        self.consecutive_failures += 1
        if report is not None:
            self.record_report(report)
        if self.consecutive_failures >= EJECTION_FAILURES:
            doublings = min(self.consecutive_failures - EJECTION_FAILURES, 10)
            ejection_s = min(MAX_EJECTION_S, EJECTION_FIRST_S * 2**doublings)
            self.ejected_until_s = now_s + ejection_s
            self.service.eject(self)
        self._add_failure(now_s)

    def answer_broken(self, now_s: float) -> None:
        """Record that the body of an answered call was cut or malformed."""
        self._add_failure(now_s)

    def call_shed(self, now_s: float, report: LoadReport | None = None) -> None:
        """Record a call that the server shed because it is full.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        report : LoadReport or None
            The load report in the answer.
        """
        self.own_in_flight -= 1
        if report is not None:
            self.record_report(report)
        self.shed_at_s = now_s
        self.has_penalty = True

    def call_timed_out(self, waited_s: float, now_s: float) -> None:
        """Record a call that was not answered before its caller's deadline.

        It counts as failed only if the deadline was longer than usual answers take;
        a short deadline says nothing about the server.

        Parameters
        ----------
        waited_s : float
            Seconds from sending the request to the deadline.
        now_s : float
            The time on the hub's clock.
        """
        usual_s = self.service.service_time_s * self.service.quantile_ratios[-1]
        if waited_s > usual_s * self._service_times_to_answer():
            self.call_failed(now_s)
        else:
            self.call_cancelled()

    def call_cancelled(self) -> None:
        """Record a call that ended for a reason unrelated to the server."""
        self.own_in_flight -= 1

    def record_report(self, report: LoadReport) -> bool:
        """Record a load report from any source if it is newer than the last.

        Parameters
        ----------
        report : LoadReport
            The report, with the time at which it counts as received.

        Returns
        -------
        bool
            Whether it was newer, and was recorded.
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
        """Record a report that a peer received, if it is newer than the last."""
        if self.record_report(report):
            self.is_report_from_peer = True

    def probe_failed(self, now_s: float) -> None:
        """Record a probe without an answer, with the weight of a failed call."""
        self._add_failure(now_s)

    def record_slow_ratio(self, slow_ratio: float, at_s: float) -> None:
        """Record a slow ratio that a peer computed, if it is newer."""
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
        """Return whether the server is to be skipped while ejection is allowed."""
        return self.ejected_until_s > now_s

    def _add_failure(self, now_s: float) -> None:
        self.failed_at_s = now_s
        self.failure_ratio += FAILURE_WEIGHT * (1 - self.failure_ratio)
        self.has_penalty = True

    def _service_times_to_answer(self) -> float:
        load = self.others_in_flight + self.own_in_flight
        return 1 + max(0.0, load + 1 - self.slot_count) / self.slot_count

    def _record_duration(self, duration_s: float, now_s: float) -> None:
        service = self.service
        load = self.own_in_flight
        report = self.report
        if report is not None and report.received_at_s == now_s:
            load = max(load, report.running_count + report.queued_count)
        service_times = 1 + max(0.0, load + 1 - self.slot_count) / self.slot_count
        extra_round_trip_s = service.extra_round_trip_s(self.data_centre)
        sample_s = max(duration_s - extra_round_trip_s, 0.0) / service_times
        expected_s = service.service_time_s * service_times + extra_round_trip_s
        service.record_duration(self.data_centre, duration_s, expected_s, now_s)
        service.record_service_time(sample_s)
        self._smooth_service_time(sample_s)
        self.slow_ratio_at_s = now_s
        ratio = self.service_time_s / service.service_time_s
        if ratio <= SLOW_THRESHOLD_RATIO:
            self.slow_ratio = 1.0
            return
        slope = SLOW_CERTAIN_RATIO - 1
        slope /= SLOW_CERTAIN_RATIO - SLOW_THRESHOLD_RATIO
        self.slow_ratio = min(ratio, 1 + slope * (ratio - SLOW_THRESHOLD_RATIO))
        self.has_penalty = True

    def _smooth_service_time(self, sample_s: float) -> None:
        previous_s = self.service_time_s
        if previous_s is None:
            previous_s = self.service.service_time_s
        weight = SMOOTHING_RATIO
        if sample_s > OUTLIER_RATIO * self.service.service_time_s:
            weight = OUTLIER_SMOOTHING_RATIO
        self.service_time_s = previous_s + weight * (sample_s - previous_s)

    def _update_penalty(self, now_s: float) -> None:
        self.has_penalty = (
            self.slow_ratio > 1
            or self.failure_ratio > MIN_FAILURE_RATIO
            or self.cold_until_s > now_s
            or now_s - self.shed_at_s < SHED_PENALTY_S
        )
