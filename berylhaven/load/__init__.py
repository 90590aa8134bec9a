"""What is known of backend servers' load, with the age of each piece of news."""

from berylhaven.load._estimate import (
    FinishEstimate,
    expected_finish_s,
    finish_estimate,
    least_finish_s,
)
from berylhaven.load._load_report import LoadReport
from berylhaven.load._load_table import LOAD_SECTION, LoadTable
from berylhaven.load._server_load import ServerLoad
from berylhaven.load._service_load import ServiceLoad

__all__ = [
    "LOAD_SECTION",
    "FinishEstimate",
    "LoadReport",
    "LoadTable",
    "ServerLoad",
    "ServiceLoad",
    "expected_finish_s",
    "finish_estimate",
    "least_finish_s",
]
