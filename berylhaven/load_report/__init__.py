"""What a backend server says of its load, as a value."""

from berylhaven.load_report._load_report import LoadReport

__all__ = ["LoadReport"]
