"""Structured log lines about decisions and observed states, on standard output."""

from berylhaven.event_log._event_log import EventLog, format_line
from berylhaven.event_log._summary import OutcomeCause, OutcomeCounts, summarize
from berylhaven.event_log._trace import TracedLine, trace

__all__ = [
    "EventLog",
    "OutcomeCause",
    "OutcomeCounts",
    "TracedLine",
    "format_line",
    "summarize",
    "trace",
]
