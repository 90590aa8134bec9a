"""One call from a deciding instance to a fake server and back."""

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
    """One call from an instance to a server and back.

    Parameters
    ----------
    fleet : Fleet
        The run.
    instance : SimulatedInstance
        Who sends it.
    service : FakeService
        What it calls.
    record : ServerLoad
        The chosen server's record.
    work_s : float
        How long the call holds a slot of an ordinary server.
    """

    __slots__ = (
        "_fleet",
        "_record",
        "_server",
        "_one_way_s",
        "_sent_at_s",
        "_is_over",
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
        self._record = record
        self._server = service.server(record.address)
        self._one_way_s = fleet.one_way_s(instance, record)
        self._sent_at_s = monotonic_s()
        self._is_over = False
        self._call = FakeCall(work_s, self._left_server)
        self._timer = None

    def send(self) -> None:
        """Send the call."""
        self._record.call_started()
        self._timer = call_later(self._fleet.firm.deadline_s, self._give_up)
        call_later(self._one_way_s, self._server.submit, self._call)

    def _left_server(self, end: str) -> None:
        if not self._is_over:
            report = self._server.report()
            call_later(self._one_way_s, self._came_back, end, report)

    def _came_back(self, end: str, report: LoadReport) -> None:
        if self._is_over:
            return
        self._finish()
        now_s = monotonic_s()
        # It is as old as its way back, which the receiver can't know.
        report = replace(report, received_at_s=now_s)
        if end == "answered":
            duration_s = now_s - self._sent_at_s
            self._record.call_answered(duration_s, report, now_s)
            self._fleet.figures.record_answered(self._sent_at_s, duration_s)
        elif end == "shed":
            self._record.call_shed(now_s, report)
            self._fleet.figures.record_lost(self._sent_at_s)
        else:
            self._record.call_failed(now_s, report)
            self._fleet.figures.record_lost(self._sent_at_s)

    def _give_up(self) -> None:
        if self._is_over:
            return
        self._finish()
        self._call.is_cancelled = True
        now_s = monotonic_s()
        self._record.call_timed_out(now_s - self._sent_at_s, now_s)
        self._fleet.figures.record_lost(self._sent_at_s)

    def _finish(self) -> None:
        self._is_over = True
        self._timer.cancel()
