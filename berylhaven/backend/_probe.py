"""Probes that query the load of a backend server, apart from calls."""

from berylhaven.backend._headers import DEADLINE_HEADER, LOAD_HEADER
from berylhaven.backend._load_header import parse_load_header
from berylhaven.clock import monotonic_s
from berylhaven.http1 import REQUEST_ERRORS, BoundedClient
from berylhaven.load import LoadReport

LOAD_PATH = "/load"
# The report is in a header; the body is not used.
ANSWER_LIMIT_BYTES = 65_536


class ProbeFailed(Exception):
    """A probe received no load report."""


class ProbeTimeout(ProbeFailed):
    """A probe timed out, which shows only that the server is busy."""


class ProbeClient:
    """Queries the load endpoints of backend servers.

    The health endpoint is not queried: a positive answer is not reliable, and a
    failure also shows in calls and at the load endpoint, so the additional request
    is not worth its cost.
    """

    __slots__ = ("_client",)

    def __init__(self) -> None:
        self._client = BoundedClient(ANSWER_LIMIT_BYTES)

    def probe(self, address: str, timeout_s: float) -> LoadReport:
        """Query the load of one backend server.

        Parameters
        ----------
        address : str
            HOST:PORT of the backend server.
        timeout_s : float
            Wait limit in seconds, which is also sent to the server as the deadline.

        Returns
        -------
        LoadReport
            The load report, with the time of receipt.

        Raises
        ------
        ProbeTimeout
            If there is no whole answer within the wait limit.
        ProbeFailed
            If the request fails, or the answer holds no valid load report.
        """
        headers = {DEADLINE_HEADER: str(int(timeout_s * 1000))}
        url = f"http://{address}{LOAD_PATH}"
        try:
            answer = self._client.request("GET", url, timeout_s, headers=headers)
        except TimeoutError as error:
            raise ProbeTimeout(f"{address}: {error}") from None
        except REQUEST_ERRORS as error:
            raise ProbeFailed(f"load request to {address} failed: {error}") from error
        report = parse_load_header(answer.headers.get(LOAD_HEADER), monotonic_s())
        if answer.status != 200 or report is None:
            raise ProbeFailed(
                f"{address}: no valid load report: status {answer.status}, header "
                f"{answer.headers.get(LOAD_HEADER)!r:.200}"
            )
        return report
