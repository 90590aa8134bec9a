"""Soak tests of gateway processes: injected faults, and planned stops in calm."""

from bench.gateway_soak._faults import FAULTS
from bench.gateway_soak._planned_stops import (
    run_planned_stops,
)
from bench.gateway_soak._soak import SoakReport, run_soak
from bench.gateway_soak._stop_options import StopOptions
from bench.gateway_soak._stop_report import StopReport

__all__ = [
    "FAULTS",
    "SoakReport",
    "StopOptions",
    "StopReport",
    "run_planned_stops",
    "run_soak",
]
