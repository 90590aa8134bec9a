"""What the backend servers of one service have in common."""

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylhaven.load._server_load import ServerLoad

# Weight of one new sample in the service's means.
MEAN_WEIGHT = 0.05
# One sample counts for at most this many means, and at least for one of so many
# parts of it: a straggler or a liar is not the service.
SAMPLE_LIMIT_RATIO = 4.0
# News of a server's load is half forgotten after some of the service's calls.
TRUST_SERVICE_TIMES = 3.0
TRUST_MINIMUM_S = 0.005
FIRST_SERVICE_TIME_S = 0.005
# The least duration forgets itself slowly, so that it follows a slower service.
LEAST_RISE_RATIO = 0.002
# Quantiles move by this part of themselves for one sample beyond them.
QUANTILE_STEP_RATIO = 0.1
QUANTILES = (0.95, 0.99)
# At most this share of a service's servers is left out; with more, all are used.
EJECTED_LIMIT_RATIO = 0.5


class ServiceLoad:
    """Means over the backend servers of one service, and which are ejected.

    Parameters
    ----------
    server_count : int
        How many backend servers the service has.
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
        "_least_duration_s",
        "_ejected",
        "_next_return_at_s",
    )

    def __init__(self, server_count: int = 1) -> None:
        # How many backend servers the service has.
        self.server_count = server_count
        # Calls of other entry instances at one server, on the average of reports.
        self.mean_others_in_flight = 0.0
        # Calls of others that wait, for each slot, on the average of reports.
        self.mean_queued_per_slot = 0.0
        # The time of one call in a slot; None before the first answer.
        self.mean_service_time_s: float | None = None
        # After this time news of a server's load counts for 1/e.
        self.report_decay_s = TRUST_SERVICE_TIMES * FIRST_SERVICE_TIME_S
        # Calls sent since the start.
        self.call_count = 0
        # When the last answer came; minus infinity before the first.
        self.answered_at_s = -math.inf
        # Durations at the quantiles of QUANTILES, as multiples of the expected one.
        self.quantile_ratios = [2.0, 3.0]
        self._least_duration_s: dict[str, float] = {}
        self._ejected: dict[str, ServerLoad] = {}
        self._next_return_at_s = math.inf

    @property
    def service_time_s(self) -> float:
        """The mean time of one call in a slot, or a first guess, in seconds."""
        return self.mean_service_time_s or FIRST_SERVICE_TIME_S

    def record_others_in_flight(self, others_in_flight: float, slot_count: int) -> None:
        """Take in how many calls of other instances one report told of.

        Parameters
        ----------
        others_in_flight : float
            Calls of other instances.
        slot_count : int
            The server's slots.
        """
        self.mean_others_in_flight += MEAN_WEIGHT * (
            others_in_flight - self.mean_others_in_flight
        )
        queued_per_slot = max(0.0, others_in_flight - slot_count) / slot_count
        self.mean_queued_per_slot += MEAN_WEIGHT * (
            queued_per_slot - self.mean_queued_per_slot
        )
        self._set_trust_time()

    def record_service_time(self, service_time_s: float) -> None:
        """Take in the time in a slot that was worked out for one answered call."""
        mean = self.mean_service_time_s
        if mean is None:
            self.mean_service_time_s = service_time_s
        else:
            sample = min(service_time_s, SAMPLE_LIMIT_RATIO * mean)
            sample = max(sample, mean / SAMPLE_LIMIT_RATIO)
            self.mean_service_time_s = mean + MEAN_WEIGHT * (sample - mean)
        self._set_trust_time()

    def _set_trust_time(self) -> None:
        # A long queue outlasts the calls ahead of it, and so does news of it.
        wait_s = self.service_time_s * (1 + self.mean_queued_per_slot)
        self.report_decay_s = max(TRUST_MINIMUM_S, TRUST_SERVICE_TIMES * wait_s)

    def record_duration(
        self, data_centre: str, duration_s: float, expected_s: float, now_s: float
    ) -> None:
        """Take in one answered call.

        Parameters
        ----------
        data_centre : str
            Where the server stands.
        duration_s : float
            From sending the request to the head of the answer.
        expected_s : float
            What such a call was expected to take.
        now_s : float
            The time of the answer on the hub's clock.
        """
        self.answered_at_s = now_s
        least = self._least_duration_s.get(data_centre)
        if least is None or duration_s < least:
            least = duration_s
        else:
            least += LEAST_RISE_RATIO * (duration_s - least)
        self._least_duration_s[data_centre] = least
        ratio = duration_s / expected_s
        for index, quantile in enumerate(QUANTILES):
            known = self.quantile_ratios[index]
            step = QUANTILE_STEP_RATIO * known
            move = step * quantile if ratio > known else -step * (1 - quantile)
            self.quantile_ratios[index] = max(1.0, known + move)

    def minimum_duration_s(self) -> float:
        """Return the shortest time in which a call was answered, or zero."""
        return min(self._least_duration_s.values(), default=0.0)

    def extra_round_trip_s(self, data_centre: str) -> float:
        """Return how much farther than the nearest a data centre is, in seconds."""
        least = self._least_duration_s.get(data_centre)
        if least is None:
            return 0.0
        return least - min(self._least_duration_s.values())

    def eject(self, server: "ServerLoad") -> None:
        """Count a server as ejected until its time to return."""
        self._ejected[server.address] = server
        self._next_return_at_s = min(self._next_return_at_s, server.ejected_until_s)

    def readmit(self, server: "ServerLoad") -> None:
        """Count a server as ejected no longer."""
        self._ejected.pop(server.address, None)

    def is_ejection_allowed(self, now_s: float) -> bool:
        """Tell whether ejected servers are left out, or too many of them are."""
        if now_s >= self._next_return_at_s:
            still = {
                a: s for a, s in self._ejected.items() if s.ejected_until_s > now_s
            }
            self._ejected = still
            times = [s.ejected_until_s for s in still.values()]
            self._next_return_at_s = min(times, default=math.inf)
        return len(self._ejected) <= EJECTED_LIMIT_RATIO * self.server_count
