"""A caller's request and the answer that it gets."""

from dataclasses import dataclass, field

from berylhaven.http1 import HeadFields, RequestBody


@dataclass(slots=True)
class GatewayRequest:
    """One request of a caller."""

    # The method.
    method: str
    # Path and query as the caller wrote them.
    target: str
    # The header fields.
    fields: HeadFields
    # The body, read as it is needed.
    body: RequestBody
    # The id that the caller gave, or an empty string.
    request_id: str
    # When its head was read, on the hub's clock.
    received_at_s: float
    # How long the caller waits, in seconds; None if it did not say.
    time_left_s: float | None

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """The host that the request names."""
        return self.fields.get("host", "")


@dataclass(slots=True)
class GatewayAnswer:
    """A whole answer, either a backend server's or one of the gateway's own."""

    # The HTTP status.
    status: int
    # The reason phrase.
    reason: str
    # Header names and values without those of framing and connection.
    headers: list[tuple[str, str]] = field(default_factory=list)
    # The body.
    body: bytes = b""
    # Whether the caller must be told to send nothing more on its connection.
    closes_connection: bool = False


REASON_PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def error_answer(
    status: int, message: str, retry_after_s: float | None = None
) -> GatewayAnswer:
    """Return an answer of the gateway's own.

    Parameters
    ----------
    status : int
        The HTTP status.
    message : str
        One sentence for the reader.
    retry_after_s : float or None
        When the caller may come back, in seconds.

    Returns
    -------
    GatewayAnswer
        A short text.
    """
    headers = [("Content-Type", "text/plain; charset=utf-8")]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    body = (message + "\n").encode()
    return GatewayAnswer(status, REASON_PHRASES[status], headers, body)
