"""Structured log lines about decisions and beliefs, on standard output."""

from berylhaven.event_log._event_log import EventLog, format_line

__all__ = ["EventLog", "format_line"]
