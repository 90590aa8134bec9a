"""A randomized soak of gateways as processes, with faults injected from outside."""

from bench.gateway_soak._faults import FAULTS
from bench.gateway_soak._soak import SoakReport, run_soak

__all__ = ["FAULTS", "SoakReport", "run_soak"]
