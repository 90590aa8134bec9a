"""Operators' interface: metrics, status, decision lines and logs."""

from berylhaven.operations._application import OperatorsApplication
from berylhaven.operations._decision_log import DecisionLog, PlacementDecision
from berylhaven.operations._log_setup import ComponentLog, set_up_logging
from berylhaven.operations._metrics import CallMetrics, MetricsRegistry
from berylhaven.operations._process_usage import ProcessUsage, process_usage

__all__ = [
    "CallMetrics",
    "DecisionLog",
    "MetricsRegistry",
    "OperatorsApplication",
    "ComponentLog",
    "PlacementDecision",
    "ProcessUsage",
    "process_usage",
    "set_up_logging",
]
