"""The headers of requests that an instance passes on, and of the answers to them."""

from collections.abc import Sequence

from berylhaven.gateway._dialect import Dialect
from berylhaven.http1 import HeadFields

# In a request of another instance: the number of servers that it may be sent to.
# Headers with this prefix are never forwarded to servers or callers.
PASSED_ON = "Berylhaven-Passed-On"
# In the answer to it: who answered, or whether the request may have run.
OUTCOME = "Berylhaven-Outcome"
# A server answered.
ANSWERED = "answered"
# The instance refused the request; it has not run and will not.
NOT_RUN = "not-run"
MAX_ATTEMPT_COUNT = 100


def passed_on_attempt_limit(fields: HeadFields) -> int | None:
    """Return the number of servers that a request may be sent to.

    Parameters
    ----------
    fields : HeadFields
        The headers of a request of another instance.

    Returns
    -------
    int or None
        None if the request was not passed on.
    """
    text = fields.get(PASSED_ON)
    if text is None or not text.isascii() or not text.isdecimal():
        return None
    return max(1, min(MAX_ATTEMPT_COUNT, int(text[:9])))


class PeerDialect:
    """The headers of requests to another instance instead of a server.

    Parameters
    ----------
    dialect : Dialect
        The header names of the deployment.
    attempt_limit : int
        The number of servers that the request may be sent to.
    """

    __slots__ = ("_dialect", "_attempt_limit", "replaced_request_headers")

    def __init__(self, dialect: Dialect, attempt_limit: int) -> None:
        self._dialect = dialect
        self._attempt_limit = attempt_limit
        # Request headers that are replaced, in lower case.
        self.replaced_request_headers = dialect.replaced_request_headers

    def request_id(self, fields: HeadFields) -> str | None:
        """Return the request id of an answer, or None."""
        return self._dialect.request_id(fields)

    def request_headers(
        self, remaining_s: float, server_id: str
    ) -> Sequence[tuple[str, str]]:
        """Return the headers that describe the request to the other instance."""
        deadline = self._dialect.deadline_headers(remaining_s)
        return [*deadline, (PASSED_ON, str(self._attempt_limit))]
