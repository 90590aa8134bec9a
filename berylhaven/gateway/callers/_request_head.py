"""Reads the head of a caller's request."""

import io
import re
from dataclasses import dataclass

from berylhaven.http1 import END_OF_HEAD, HeadFields, read_fields
from berylhaven.results import BadRequestHead, HeadTooLarge

REQUEST_LINE = re.compile(
    rb"(?P<method>[A-Za-z0-9!#$%&'*+.^_`|~-]{1,32}) "
    rb"(?P<target>(?:/|http://)[!-~]*) (?P<version>HTTP/1\.[01])\r\n"
)
SCHEME_AND_AUTHORITY = re.compile(r"http://[^/]*")
HTTP_1_1 = "HTTP/1.1"
EXPECT_CONTINUE = "100-continue"


@dataclass(slots=True)
class RequestHead:
    """The head of a request."""

    # The HTTP method.
    method: str
    # Path and query, without a scheme and an authority.
    target: str
    # HTTP/1.1 or HTTP/1.0.
    version: str
    # The header fields.
    fields: HeadFields
    # The size of the request line, the names and the values in bytes.
    text_bytes: int

    @property
    def expects_continue(self) -> bool:
        """Whether the caller sends the body after 100 Continue only."""
        return self.version == HTTP_1_1 and self.fields.get("expect") is not None

    @property
    def asks_for_close(self) -> bool:
        """Whether the caller takes this request for the last one."""
        if self.fields.has_token("connection", "close"):
            return True
        keeps_alive = self.fields.has_token("connection", "keep-alive")
        return self.version != HTTP_1_1 and not keeps_alive


def read_head(reader: io.BufferedReader, limit_bytes: int) -> RequestHead:
    """Read the head of the next request.

    Parameters
    ----------
    reader : io.BufferedReader
        Positioned at the request line, or at an empty line before it.
    limit_bytes : int
        The size limit of the head in bytes.

    Returns
    -------
    RequestHead
        The head; the body follows in the reader.

    Raises
    ------
    BadRequestHead
        If the head is malformed.
    HeadTooLarge
        If it exceeds the size limit.
    ConnectionAbortedError
        If the connection was closed within the request line.
    """
    line = reader.readline(limit_bytes + 1)
    if line == END_OF_HEAD:
        # An empty line before a request is skipped.
        line = reader.readline(limit_bytes + 1)
    if len(line) > limit_bytes:
        raise HeadTooLarge(
            f"the request line exceeds the header limit of {limit_bytes} bytes"
        )
    match = REQUEST_LINE.fullmatch(line)
    if match is None:
        if not line.endswith(b"\n"):
            raise ConnectionAbortedError(
                "the connection was closed within a request head"
            )
        raise BadRequestHead("the request line is not METHOD TARGET HTTP/1.1")
    fields = read_fields(reader, limit_bytes - len(line))
    version = match["version"].decode()
    _check_fields(fields, version)
    target = match["target"].decode("latin-1")
    if not target.startswith("/"):
        target = SCHEME_AND_AUTHORITY.sub("", target, count=1) or "/"
    return RequestHead(
        match["method"].decode(),
        target,
        version,
        fields,
        len(line) + sum(len(name) + len(value) for name, value in fields.pairs),
    )


def _check_fields(fields: HeadFields, version: str) -> None:
    hosts = sum(1 for name, _ in fields.pairs if name.lower() == "host")
    if hosts > 1 or (hosts == 0 and version == HTTP_1_1):
        raise BadRequestHead(
            f"the request has {hosts} Host headers instead of exactly one"
        )
    expected = fields.get("expect")
    if expected is not None and expected.lower() != EXPECT_CONTINUE:
        raise BadRequestHead("the Expect header is not 100-continue")
