"""One call from a simulated instance to a simulated server and its answer."""

from dataclasses import replace
from typing import TYPE_CHECKING

from bench.routing._fake_server import FakeCall
from bench.routing._fake_service import FakeService
from bench.routing._virtual_time import call_later
from berylhaven.clock import monotonic_s
from berylhaven.load import LoadReport, ServerLoad

if TYPE_CHECKING:
    from bench.routing._fleet import Fleet, SimulatedInstance


class SimulatedCall:
    """One call from an instance to a server, and its answer.

    Parameters
    ----------
    fleet : Fleet
        The fleet of the run.
    instance : SimulatedInstance
        The instance that sends the call.
    service : FakeService
        The service that is called.
    record : ServerLoad
        The load record of the chosen server.
    work_s : float
        The time that the call occupies a slot of a server of normal speed, in seconds.
    """

    __slots__ = (
        "_fleet",
        "_server_load",
        "_server",
        "_one_way_s",
        "_sent_at_s",
        "_has_ended",
        "_call",
        "_timer",
    )

    def __init__(
        self,
        fleet: "Fleet",
        instance: "SimulatedInstance",
        service: FakeService,
        record: ServerLoad,
        work_s: float,
    ) -> None:
        self._fleet = fleet
        self._server_load = record
        self._server = service.server(record.address)
        self._one_way_s = fleet.one_way_s(instance, record)
        self._sent_at_s = monotonic_s()
        self._has_ended = False
        self._call = FakeCall(work_s, self._send_answer)
        self._timer = None

    def send(self) -> None:
        """Send the call."""
        self._server_load.call_started()
        self._timer = call_later(self._fleet.firm.deadline_s, self._time_out)
        call_later(self._one_way_s, self._server.submit, self._call)

    def _send_answer(self, end: str) -> None:
        if not self._has_ended:
            report = self._server.report()
            call_later(self._one_way_s, self._receive_answer, end, report)

    def _receive_answer(self, end: str, report: LoadReport) -> None:
        if self._has_ended:
            return
        self._finish()
        now_s = monotonic_s()
        # The receiver cannot measure the latency of the answer, so the report's age
        # counts from its arrival.
        report = replace(report, received_at_s=now_s)
        if end == "answered":
            duration_s = now_s - self._sent_at_s
            self._server_load.call_answered(duration_s, report, now_s)
            self._fleet.figures.record_answered(self._sent_at_s, duration_s)
        elif end == "shed":
            self._server_load.call_shed(now_s, report)
            self._fleet.figures.record_lost(self._sent_at_s)
        else:
            self._server_load.call_failed(now_s, report)
            self._fleet.figures.record_lost(self._sent_at_s)

    def _time_out(self) -> None:
        if self._has_ended:
            return
        self._finish()
        self._call.is_cancelled = True
        now_s = monotonic_s()
        self._server_load.call_timed_out(now_s - self._sent_at_s, now_s)
        self._fleet.figures.record_lost(self._sent_at_s)

    def _finish(self) -> None:
        self._has_ended = True
        self._timer.cancel()
