"""Runs one cell of the report."""

from dataclasses import dataclass

import eventlet

from bench.routing._firms import MEASURING_BUDGET_RATIO, Firm
from bench.routing._fleet import Fleet
from bench.routing._measure import CellResult, RunFigures, percentiles_ms
from bench.routing._scenarios import SCENARIOS
from bench.routing._virtual_time import VirtualTime


@dataclass(slots=True, frozen=True)
class Cell:
    """The parameters of one run."""

    # The firm whose services are called.
    firm: Firm
    # The scenario's name.
    scenario: str
    # The rate of calls as a ratio of capacity.
    load_ratio: float
    # The policy's registry name.
    policy: str
    # The time before calls are counted, in virtual seconds.
    warm_up_s: float
    # The time in which calls are counted, in virtual seconds.
    counted_s: float
    # The seed of all random numbers.
    seed: int


def run_cell(cell: Cell) -> CellResult:
    """Run one cell in virtual time.

    Parameters
    ----------
    cell : Cell
        The parameters of the run.

    Returns
    -------
    CellResult
        The measured results; they depend on the cell alone.
    """
    figures = RunFigures(cell.warm_up_s, cell.firm.deadline_s)
    duration_s = cell.warm_up_s + cell.counted_s
    with VirtualTime():
        fleet = Fleet(cell.firm, cell.policy, cell.load_ratio, figures, cell.seed)
        SCENARIOS[cell.scenario](fleet)
        fleet.start()
        eventlet.sleep(duration_s)
        # Remaining timers would run in the next cell.
        _clear_timers()
    return _result(cell, fleet, figures, duration_s)


def _clear_timers() -> None:
    hub = eventlet.hubs.get_hub()
    hub.timers.clear()
    hub.next_timers.clear()


def _result(
    cell: Cell, fleet: Fleet, figures: RunFigures, duration_s: float
) -> CellResult:
    calls = len(figures.durations_s)
    p50_ms, p99_ms, p999_ms = percentiles_ms(figures.durations_s)
    servers = [server for service in fleet.services for server in service.servers]
    slot_s = duration_s * sum(server.slot_count for server in servers)
    probe_s = sum(server.probe_busy_s for server in servers)
    not_answered_count = figures.lost_count + figures.refused_count
    return CellResult(
        firm=cell.firm.name,
        scenario=cell.scenario,
        load_ratio=cell.load_ratio,
        policy=cell.policy,
        call_count=calls,
        p50_ms=p50_ms,
        p99_ms=p99_ms,
        p999_ms=p999_ms,
        in_time_ratio=1 - not_answered_count / calls,
        refused_ratio=figures.refused_count / calls,
        budget_used_ratio=probe_s / (slot_s * MEASURING_BUDGET_RATIO),
        probe_ratio=probe_s / slot_s,
        load_update_bytes_per_call=figures.load_update_bytes
        / calls
        * cell.counted_s
        / duration_s,
    )
