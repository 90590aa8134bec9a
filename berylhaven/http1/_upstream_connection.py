"""One connection to a backend server, which carries one call at a time."""

import contextlib
import http.client
import io
import math
import re
import socket
from dataclasses import dataclass

from eventlet.hubs import trampoline
from urllib3.connection import HTTPConnection

from berylhaven.clock import monotonic_s
from berylhaven.http1._head_fields import HeadFields, read_fields

STATUS_LINE_PATTERN = re.compile(
    rb"(HTTP/1\.[01]) ([1-9][0-9]{2})(?: ([^\x00-\x08\x0a-\x1f\x7f]*))?\r\n"
)
# The seconds after which a server closes an idle connection.
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"(?:^|[,\s])timeout=([0-9]{1,6})(?:$|[,\s])")
# A request needs its time on the way, and servers name whole seconds only.
KEEP_ALIVE_RATIO = 0.8
HTTP_1_1 = "HTTP/1.1"
STATUS_LINE_LIMIT_BYTES = 4_096
HTTP_STATUS_SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
INTERIM_ANSWERS_LIMIT = 16
READ_BUFFER_BYTES = 16_384


@dataclass(slots=True)
class AnswerHead:
    """The head of an answer."""

    # HTTP/1.1 or HTTP/1.0.
    version: str
    # The HTTP status.
    status: int
    # The reason phrase.
    reason: str
    # The header fields.
    fields: HeadFields

    @property
    def keeps_connection(self) -> bool:
        """Whether the server keeps its connection open after this answer."""
        if self.version == HTTP_1_1:
            return not self.fields.has_token("connection", "close")
        return self.fields.has_token("connection", "keep-alive")


class _SocketReader(io.RawIOBase):
    """Raw reads of a green socket; while probing it never waits.

    The green socket's own reads tell a reset as an ordinary end, by which an answer
    that was cut would look complete.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._sock = sock
        self.is_probing = False
        self.is_ended = False

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: memoryview) -> int | None:
        """Read into a buffer; None if nothing is there while probing."""
        while True:
            try:
                count = self._sock.fd.recv_into(buffer)
            except BlockingIOError:
                if self.is_probing:
                    return None
                trampoline(
                    self._sock,
                    read=True,
                    timeout=self._sock.gettimeout(),
                    timeout_exc=TimeoutError("timed out"),
                )
            else:
                self.is_ended = count == 0
                return count


class UpstreamConnection:
    """A connection with the times that tell whether it may be used again.

    Parameters
    ----------
    address : str
        HOST:PORT of the backend server.
    head_limit_bytes : int
        The longest head of an answer.
    """

    __slots__ = (
        "address",
        "opened_at_s",
        "used_at_s",
        "was_open_attempted",
        "idle_limit_s",
        "_head_limit_bytes",
        "_http",
        "_socket_reader",
        "reader",
    )

    def __init__(self, address: str, head_limit_bytes: int) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        # When the connection was opened, on the hub's clock; None before.
        self.opened_at_s: float | None = None
        # When its last answer ended, on the hub's clock.
        self.used_at_s = 0.0
        # Whether opening it was tried.
        self.was_open_attempted = False
        # How long it may be idle, by what its server said; infinite if it said nothing.
        self.idle_limit_s = math.inf
        self._head_limit_bytes = head_limit_bytes
        # urllib3 sets TCP_NODELAY on its connections.
        self._http = HTTPConnection(host, int(port))
        self._socket_reader: _SocketReader | None = None
        # Reads of the answers' bodies.
        self.reader: io.BufferedReader | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection was opened and not closed since."""
        return self.reader is not None

    def open(self, timeout_s: float) -> None:
        """Open the connection.

        Parameters
        ----------
        timeout_s : float
            How long to wait for the backend server.
        """
        self.was_open_attempted = True
        self._http.timeout = timeout_s
        self._http.connect()
        self._http.sock.settimeout(None)
        self._socket_reader = _SocketReader(self._http.sock)
        self.reader = io.BufferedReader(self._socket_reader, READ_BUFFER_BYTES)
        self.opened_at_s = self.used_at_s = monotonic_s()

    def close(self) -> None:
        """Close the connection, whatever is under way on it."""
        self._http.close()
        self.reader = None

    def shut_down(self) -> None:
        """End the connection both ways, so that whoever reads from it is woken."""
        if self._http.sock is not None:
            with contextlib.suppress(OSError):
                self._http.sock.shutdown(socket.SHUT_RDWR)

    def is_input_empty(self) -> bool:
        """Tell whether nothing came since the last answer, not even an end.

        A byte that nobody asked for would be read as part of the next answer.
        """
        if self.reader is None or self._socket_reader is None:
            return False
        self._socket_reader.is_probing = True
        try:
            unread = self.reader.peek(1)
        except OSError:
            return False
        finally:
            self._socket_reader.is_probing = False
        return not unread and not self._socket_reader.is_ended

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self._http.send(data)

    def wait_for_answer(self, timeout_s: float | None) -> bool:
        """Wait for the first byte of an answer or the connection's end.

        Parameters
        ----------
        timeout_s : float or None
            How long to wait; None for as long as it takes.

        Returns
        -------
        bool
            False if neither came in time.
        """
        self._http.sock.settimeout(timeout_s)
        try:
            self.reader.peek(1)
        except TimeoutError:
            return False
        finally:
            if self._http.sock is not None:
                self._http.sock.settimeout(None)
        return True

    def read_head(self) -> AnswerHead:
        """Read the head of the final answer, past interim ones.

        Returns
        -------
        AnswerHead
            Status and headers; the body is read from `reader`.

        Raises
        ------
        http.client.HTTPException
            If there is no answer, or none of HTTP/1.1.
        CallRefused
            If a line of the head is malformed.
        """
        for _ in range(INTERIM_ANSWERS_LIMIT):
            line = self.reader.readline(STATUS_LINE_LIMIT_BYTES)
            match = STATUS_LINE_PATTERN.fullmatch(line)
            if match is None:
                raise http.client.BadStatusLine(line[:60].decode("latin-1"))
            version, status, reason = match.groups(b"")
            fields = read_fields(self.reader, self._head_limit_bytes)
            head = AnswerHead(
                version.decode(), int(status), reason.decode("latin-1"), fields
            )
            if head.status >= FIRST_FINAL_STATUS:
                self._update_idle_limit(head.fields)
                return head
            if head.status == HTTP_STATUS_SWITCHING_PROTOCOLS:
                break
        raise http.client.BadStatusLine("101, or too many interim answers")

    def _update_idle_limit(self, fields: HeadFields) -> None:
        match = KEEP_ALIVE_TIMEOUT_PATTERN.search(fields.get("keep-alive") or "")
        if match is not None:
            self.idle_limit_s = KEEP_ALIVE_RATIO * int(match[1])
