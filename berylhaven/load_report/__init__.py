"""The load report of a backend server, as a value."""

from berylhaven.load_report._load_report import LoadReport

__all__ = ["LoadReport"]
