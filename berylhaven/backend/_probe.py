"""Asking a backend server for its load, outside of calls."""

import urllib3

from berylhaven.backend._headers import LOAD_HEADER
from berylhaven.backend._load_header import read_load_header
from berylhaven.clock import monotonic_s
from berylhaven.load import LoadReport

LOAD_PATH = "/load"
POOLS = 64


class ProbeFailed(Exception):
    """A backend server did not tell its load in time."""


class ProbeClient:
    """Reads load endpoints.

    The health endpoint is not asked: its good news can't be believed, and its bad
    news comes by calls and by the load endpoint, so it is not worth its price.

    Parameters
    ----------
    timeout_s : float
        After this time a probe is given up.
    """

    __slots__ = ("_pools", "_timeout_s")

    def __init__(self, timeout_s: float = 0.25) -> None:
        self._pools = urllib3.PoolManager(num_pools=POOLS, maxsize=1, retries=False)
        self._timeout_s = timeout_s

    def probe(self, address: str) -> LoadReport:
        """Ask one backend server for its load.

        Parameters
        ----------
        address : str
            HOST:PORT of the backend server.

        Returns
        -------
        LoadReport
            As received now.

        Raises
        ------
        ProbeFailed
            If there is no answer with a load report in time.
        """
        url = f"http://{address}{LOAD_PATH}"
        try:
            answer = self._pools.request("GET", url, timeout=self._timeout_s)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise ProbeFailed(f"{address}: {error}") from error
        report = read_load_header(answer.headers.get(LOAD_HEADER), monotonic_s())
        if answer.status != 200 or report is None:
            raise ProbeFailed(f"{address}: status {answer.status} and no load")
        return report
