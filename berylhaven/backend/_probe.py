"""Asking a backend server for its load, outside of calls."""

import eventlet
import urllib3

from berylhaven.backend._headers import DEADLINE_HEADER, LOAD_HEADER
from berylhaven.backend._load_header import parse_load_header
from berylhaven.clock import monotonic_s
from berylhaven.load import LoadReport

LOAD_PATH = "/load"
POOLS = 64


class ProbeFailed(Exception):
    """A backend server did not tell its load."""


class ProbeTimeout(ProbeFailed):
    """A probe was given up, which tells nothing but that the server is busy."""


class ProbeClient:
    """Reads load endpoints.

    The health endpoint is not asked: its good news can't be believed, and its bad
    news comes by calls and by the load endpoint, so it is not worth its price.
    """

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        self._pools = urllib3.PoolManager(num_pools=POOLS, maxsize=1, retries=False)

    def probe(self, address: str, timeout_s: float) -> LoadReport:
        """Ask one backend server for its load.

        Parameters
        ----------
        address : str
            HOST:PORT of the backend server.
        timeout_s : float
            The server is told to drop the probe after this time.

        Returns
        -------
        LoadReport
            As received now.

        Raises
        ------
        ProbeTimeout
            If there is no answer in time.
        ProbeFailed
            If there is no answer with a load report.
        """
        headers = {DEADLINE_HEADER: str(int(timeout_s * 1000))}
        url = f"http://{address}{LOAD_PATH}"
        try:
            with eventlet.Timeout(timeout_s, ProbeTimeout(f"{address}: no answer")):
                answer = self._pools.request("GET", url, headers=headers)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise ProbeFailed(f"{address}: {error}") from error
        report = parse_load_header(answer.headers.get(LOAD_HEADER), monotonic_s())
        if answer.status != 200 or report is None:
            raise ProbeFailed(f"{address}: status {answer.status} and no load")
        return report
