"""A randomized soak test of gateway processes with externally injected faults."""

from bench.gateway_soak._faults import FAULTS
from bench.gateway_soak._soak import SoakReport, run_soak

__all__ = ["FAULTS", "SoakReport", "run_soak"]
