"""The interface to the headers that callers and backend servers use."""

from typing import Protocol

from berylhaven.http1 import HeadFields
from berylhaven.load_report import LoadReport


class Dialect(Protocol):
    """Header names and their interpretation in one deployment."""

    # The header that names a request, in requests and in the answers to them.
    request_id_header: str
    # Request headers that the gateway replaces by its own, in lower case.
    replaced_request_headers: frozenset[str]
    # Answer headers that are not forwarded to callers, in lower case.
    dropped_answer_headers: frozenset[str]

    def request_id(self, fields: HeadFields) -> str | None:
        """Return the request id of a request or an answer, or None."""

    def remaining_s(self, fields: HeadFields) -> float | None:
        """Return how long the caller waits for the answer, in seconds, or None."""

    def request_headers(
        self, remaining_s: float, server_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers that describe the attempt to a backend server."""

    def deadline_headers(self, remaining_s: float) -> list[tuple[str, str]]:
        """Return the headers that state how long the answer is waited for."""

    def is_not_executed(self, status: int, fields: HeadFields) -> bool:
        """Return whether an answer states that the request has not run and will not."""

    def server_id(self, fields: HeadFields) -> str | None:
        """Return the id of the backend server that sent an answer, or None."""

    def is_server_leaving(self, fields: HeadFields) -> bool:
        """Return whether an answer says that its server is leaving."""

    def request_limit(self, fields: HeadFields) -> str | None:
        """Return the limit that an answer's server names for all instances, or None."""

    def warmup_left_s(self, fields: HeadFields) -> float | None:
        """Return for how long an answer's server stays cold in seconds, or None."""

    def load_report(self, fields: HeadFields, now_s: float) -> LoadReport | None:
        """Return the load report of an answer, or None."""
