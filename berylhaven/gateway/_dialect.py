"""What the gateway must know of the headers that callers and backend servers use."""

from typing import Protocol

from berylhaven.http1 import HeadFields
from berylhaven.load_report import LoadReport


class Dialect(Protocol):
    """Names and meanings of the headers of one deployment."""

    # Headers of a request that the gateway writes itself, in lower case.
    replaced_request_headers: frozenset[str]
    # Headers of an answer that are not passed on to callers, in lower case.
    dropped_answer_headers: frozenset[str]

    def request_id(self, fields: HeadFields) -> str | None:
        """Return the id that a request or an answer names, or None."""

    def time_left_s(self, fields: HeadFields) -> float | None:
        """Return how long the caller of a request waits in seconds, or None."""

    def request_headers(
        self, remaining_s: float, server_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers by which a backend server learns of the attempt."""

    def is_not_executed(self, status: int, fields: HeadFields) -> bool:
        """Tell whether an answer says that the request did not run and never will."""

    def server_id(self, fields: HeadFields) -> str | None:
        """Return the id of the backend server that gave an answer, or None."""

    def load_report(self, fields: HeadFields, now_s: float) -> LoadReport | None:
        """Return what an answer tells of its server's load, or None."""
