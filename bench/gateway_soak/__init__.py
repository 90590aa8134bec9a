"""Soak tests of gateway processes: injected faults, and planned stops in calm."""

from bench.gateway_soak._endless_senders import (
    SenderOptions,
    SenderReport,
    draw_options,
    run_endless_senders,
)
from bench.gateway_soak._faults import FAULTS
from bench.gateway_soak._planned_stops import (
    run_planned_stops,
)
from bench.gateway_soak._soak import SoakReport, run_soak
from bench.gateway_soak._sound_callers import describe_answers
from bench.gateway_soak._stop_options import StopOptions
from bench.gateway_soak._stop_report import StopReport

__all__ = [
    "FAULTS",
    "SenderOptions",
    "SenderReport",
    "SoakReport",
    "StopOptions",
    "StopReport",
    "describe_answers",
    "draw_options",
    "run_endless_senders",
    "run_planned_stops",
    "run_soak",
]
