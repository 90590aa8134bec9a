"""Headers exchanged between entry instances and backend servers."""

from collections.abc import Mapping

# The call's id, the same for each attempt of one call.
CALL_ID_HEADER = "Berylhaven-Call-Id"
# Milliseconds until the call's deadline at the time the request is sent.
DEADLINE_HEADER = "Berylhaven-Timeout-Ms"
# The load report of each answer (Open Request Cost Aggregation).
LOAD_HEADER = "endpoint-load-metrics"
# Present on a 503 answer if the server shed the call and did not start it.
SHED_HEADER = "Berylhaven-Not-Started"


def request_headers(call_id: str, remaining_s: float) -> dict[str, str]:
    """Return the headers of a call for a backend server.

    Parameters
    ----------
    call_id : str
        The call's id.
    remaining_s : float
        Seconds until the deadline.

    Returns
    -------
    dict
        Header values by name.
    """
    remaining_ms = max(0, int(remaining_s * 1000))
    return {CALL_ID_HEADER: call_id, DEADLINE_HEADER: str(remaining_ms)}


def is_shed(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether an answer states that the call was shed and not started."""
    return status == 503 and headers.get(SHED_HEADER) == "1"


def is_failure(status: int) -> bool:
    """Return whether an answer counts as a failure of the backend server."""
    return status >= 500 and status != 501
