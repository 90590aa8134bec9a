"""Load records of backend servers, with the age of each load report."""

from berylhaven.load._estimate import (
    FinishEstimate,
    expected_finish_s,
    finish_estimate,
    minimum_finish_s,
)
from berylhaven.load._load_table import LOAD_SECTION, LoadTable
from berylhaven.load._load_topic import LoadTopic
from berylhaven.load._probe_budget import (
    ProbeBudget,
    budget_share_ms_per_s,
)
from berylhaven.load._probe_planner import Probe, ProbePlanner
from berylhaven.load._server_load import ServerLoad
from berylhaven.load._service_load import ServiceLoad
from berylhaven.load_report import LoadReport

__all__ = [
    "LOAD_SECTION",
    "FinishEstimate",
    "LoadReport",
    "LoadTable",
    "LoadTopic",
    "ProbeBudget",
    "Probe",
    "ProbePlanner",
    "ServerLoad",
    "ServiceLoad",
    "budget_share_ms_per_s",
    "expected_finish_s",
    "finish_estimate",
    "minimum_finish_s",
]
