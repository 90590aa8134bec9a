"""What is known of backend servers' load, with the age of each piece of news."""

from berylhaven.load._load_report import LoadReport
from berylhaven.load._load_table import LOAD_SECTION, LoadTable
from berylhaven.load._server_load import ServerLoad

__all__ = ["LOAD_SECTION", "LoadReport", "LoadTable", "ServerLoad"]
