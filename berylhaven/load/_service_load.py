"""Means over the backend servers of one service."""

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylhaven.load._server_load import ServerLoad

# Weight of one new sample in the service's means.
MEAN_WEIGHT = 0.05
# A sample is limited to the mean times this ratio, and to the mean divided by it, so
# that a straggler or a wrong load report does not change the service's mean much.
SAMPLE_LIMIT_RATIO = 4.0
# The time constant of a load report's weight, in durations of the service's calls.
REPORT_DECAY_SERVICE_TIMES = 3.0
MIN_REPORT_DECAY_S = 0.005
INITIAL_SERVICE_TIME_S = 0.005
# The minimum duration rises by this part of its distance to each sample, so that it
# follows a service that has become slower.
MINIMUM_DURATION_RISE_RATIO = 0.002
# Step of the quantile estimates, as a ratio of the estimate; a sample above the
# estimate moves it by this times the quantile.
QUANTILE_STEP_RATIO = 0.1
QUANTILES = (0.95, 0.99)
# If more than this ratio of a service's servers is ejected, none is skipped.
EJECTED_LIMIT_RATIO = 0.5


class ServiceLoad:
    """Means over the backend servers of one service, and the ejected servers.

    Parameters
    ----------
    server_count : int
        The number of backend servers of the service.
    """

    __slots__ = (
        "server_count",
        "mean_others_in_flight",
        "mean_queued_per_slot",
        "mean_service_time_s",
        "report_decay_s",
        "call_count",
        "answered_at_s",
        "quantile_ratios",
        "_minimum_durations_s",
        "_ejected",
        "_next_return_at_s",
    )

    def __init__(self, server_count: int = 1) -> None:
        # The number of backend servers of the service.
        self.server_count = server_count
        # Mean over load reports of the calls of other entry instances at a server.
        self.mean_others_in_flight = 0.0
        # Mean over load reports of the queued calls of others for each slot.
        self.mean_queued_per_slot = 0.0
        # Mean time of one call in a slot; None before the first answer.
        self.mean_service_time_s: float | None = None
        # Time constant of a load report's weight, which is 1/e after this time.
        self.report_decay_s = REPORT_DECAY_SERVICE_TIMES * INITIAL_SERVICE_TIME_S
        # Calls sent since the start.
        self.call_count = 0
        # The time of the last answer; minus infinity before the first.
        self.answered_at_s = -math.inf
        # Durations at the quantiles of QUANTILES, as multiples of the expected one.
        self.quantile_ratios = [2.0, 3.0]
        self._minimum_durations_s: dict[str, float] = {}
        self._ejected: dict[str, ServerLoad] = {}
        self._next_return_at_s = math.inf

    @property
    def service_time_s(self) -> float:
        """The mean time of one call in a slot, or the initial value, in seconds."""
        return self.mean_service_time_s or INITIAL_SERVICE_TIME_S

    def record_others_in_flight(self, others_in_flight: float, slot_count: int) -> None:
        """Record the number of calls of other instances from one load report.

        Parameters
        ----------
        others_in_flight : float
            The number of calls of other instances.
        slot_count : int
            The number of calls that the server runs at once.
        """
        self.mean_others_in_flight += MEAN_WEIGHT * (
            others_in_flight - self.mean_others_in_flight
        )
        queued_per_slot = max(0.0, others_in_flight - slot_count) / slot_count
        self.mean_queued_per_slot += MEAN_WEIGHT * (
            queued_per_slot - self.mean_queued_per_slot
        )
        self._update_report_decay()

    def record_service_time(self, service_time_s: float) -> None:
        """Record the time in a slot that was computed for one answered call."""
        mean = self.mean_service_time_s
        if mean is None:
            self.mean_service_time_s = service_time_s
        else:
            sample = min(service_time_s, SAMPLE_LIMIT_RATIO * mean)
            sample = max(sample, mean / SAMPLE_LIMIT_RATIO)
            self.mean_service_time_s = mean + MEAN_WEIGHT * (sample - mean)
        self._update_report_decay()

    def _update_report_decay(self) -> None:
        # A long queue lasts longer than one call, and so does a report of it.
        wait_s = self.service_time_s * (1 + self.mean_queued_per_slot)
        self.report_decay_s = max(
            MIN_REPORT_DECAY_S, REPORT_DECAY_SERVICE_TIMES * wait_s
        )

    def record_duration(
        self, data_centre: str, duration_s: float, expected_s: float, now_s: float
    ) -> None:
        """Record the duration of one answered call.

        Parameters
        ----------
        data_centre : str
            The server's data centre.
        duration_s : float
            Seconds from sending the request to the head of the answer.
        expected_s : float
            The expected duration of the call in seconds.
        now_s : float
            The time of the answer on the hub's clock.
        """
        self.answered_at_s = now_s
        minimum = self._minimum_durations_s.get(data_centre)
        if minimum is None or duration_s < minimum:
            minimum = duration_s
        else:
            minimum += MINIMUM_DURATION_RISE_RATIO * (duration_s - minimum)
        self._minimum_durations_s[data_centre] = minimum
        ratio = duration_s / expected_s
        for index, quantile in enumerate(QUANTILES):
            estimate = self.quantile_ratios[index]
            step = QUANTILE_STEP_RATIO * estimate
            move = step * quantile if ratio > estimate else -step * (1 - quantile)
            self.quantile_ratios[index] = max(1.0, estimate + move)

    def minimum_duration_s(self) -> float:
        """Return the minimum duration of answered calls in seconds, or zero."""
        return min(self._minimum_durations_s.values(), default=0.0)

    def extra_round_trip_s(self, data_centre: str) -> float:
        """Return the extra round-trip time to a data centre over the nearest one's."""
        minimum = self._minimum_durations_s.get(data_centre)
        if minimum is None:
            return 0.0
        return minimum - min(self._minimum_durations_s.values())

    def eject(self, server: "ServerLoad") -> None:
        """Count a server as ejected until the end of its ejection."""
        self._ejected[server.address] = server
        self._next_return_at_s = min(self._next_return_at_s, server.ejected_until_s)

    def readmit(self, server: "ServerLoad") -> None:
        """Stop counting a server as ejected."""
        self._ejected.pop(server.address, None)

    def is_ejection_allowed(self, now_s: float) -> bool:
        """Return whether few enough servers are ejected for them to be skipped."""
        if now_s >= self._next_return_at_s:
            remaining = {
                a: s for a, s in self._ejected.items() if s.ejected_until_s > now_s
            }
            self._ejected = remaining
            times = [s.ejected_until_s for s in remaining.values()]
            self._next_return_at_s = min(times, default=math.inf)
        return len(self._ejected) <= EJECTED_LIMIT_RATIO * self.server_count
