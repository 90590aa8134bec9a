"""A connection to a backend server, used for one call at a time."""

import collections
import contextlib
import http.client
import io
import math
import re
import socket
from dataclasses import dataclass

from eventlet.hubs import trampoline
from greenlet import GreenletExit
from urllib3.connection import HTTPConnection

from berylhaven.clock import monotonic_s, use_socket
from berylhaven.http1._head_fields import HeadFields, read_fields

STATUS_LINE_PATTERN = re.compile(
    rb"(HTTP/1\.[01]) ([1-9][0-9]{2})(?: ([^\x00-\x08\x0a-\x1f\x7f]*))?\r\n"
)
# At the end of a reason phrase or a field value: the head begins with a part of another
# answer, whose line ends with the status line of this one.
INNER_STATUS_LINE_PATTERN = re.compile(
    r"HTTP/1\.[01] [1-9][0-9]{2}(?: [A-Za-z][A-Za-z' -]*| ?)$"
)
# The timeout parameter of Keep-Alive: the idle time after which the server closes the
# connection, in seconds.
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"(?:^|[,\s])timeout=([0-9]{1,6})(?:$|[,\s])")
# The part of the server's Keep-Alive timeout for which a connection is reused. The rest
# is a margin for the transit time of the request and the rounding to whole seconds.
KEEP_ALIVE_RATIO = 0.8
HTTP_1_1 = "HTTP/1.1"
STATUS_LINE_LIMIT_BYTES = 4_096
HTTP_STATUS_SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
INTERIM_ANSWERS_LIMIT = 16
READ_BUFFER_BYTES = 16_384
# The number of requests on a connection whose ids are remembered: 32 bytes each, and a
# server that answers in 10 ms on average takes 0.6 s for them.
REMEMBERED_IDS_LIMIT = 64


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


def inner_status_line(head: AnswerHead) -> str | None:
    """Return the part of a head that contains the status line of a second one.

    A server that repeats a part of an earlier answer before an answer sends what looks
    like one head, with the status of the earlier answer and the id of this one. A part
    that ends elsewhere than in a reason phrase or in a value makes a malformed line.

    Parameters
    ----------
    head : AnswerHead
        The head of an answer.

    Returns
    -------
    str or None
        The reason phrase or the field value; None if there is no second status line.
    """
    for text in (head.reason, *(value for _, value in head.fields.pairs)):
        if "HTTP/1." in text and INNER_STATUS_LINE_PATTERN.search(text):
            return text
    return None


class _SocketReader(io.RawIOBase):
    """Reads raw bytes from a green socket; never blocks while probing.

    The read methods of the green socket report a connection reset as an ordinary end
    of stream, so that a truncated answer would look complete.
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
        """Read into a buffer; return None while probing if no bytes are available."""
        if not self.is_probing:
            use_socket(self._sock)
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
    """A connection with the times that decide whether it may be reused.

    Parameters
    ----------
    address : str
        HOST:PORT of the backend server.
    head_limit_bytes : int
        The size limit of an answer's header fields, in bytes.
    """

    __slots__ = (
        "address",
        "opened_at_s",
        "used_at_s",
        "was_open_attempted",
        "idle_limit_s",
        "answer_count",
        "_carried_ids",
        "_head_limit_bytes",
        "_http",
        "_socket_reader",
        "reader",
    )

    def __init__(self, address: str, head_limit_bytes: int) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        # When the connection was opened, on the hub's clock; None if it never was.
        self.opened_at_s: float | None = None
        # When its last answer ended, on the hub's clock.
        self.used_at_s = 0.0
        # Whether `open` was called and not cancelled.
        self.was_open_attempted = False
        # The idle limit derived from the server's Keep-Alive header; infinite without.
        self.idle_limit_s = math.inf
        # The number of final answers whose heads were read.
        self.answer_count = 0
        # Hashes of the ids of the last requests.
        self._carried_ids: collections.deque[int] = collections.deque(
            maxlen=REMEMBERED_IDS_LIMIT
        )
        self._head_limit_bytes = head_limit_bytes
        # urllib3 sets TCP_NODELAY on its connections.
        self._http = HTTPConnection(host, int(port))
        self._socket_reader: _SocketReader | None = None
        # Reads answers; None if the connection is not open.
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
            The time limit of the connection attempt, in seconds.
        """
        self.was_open_attempted = True
        self._http.timeout = timeout_s
        try:
            self._http.connect()
        except GreenletExit:
            # The caller left, or another attempt was faster: no sign of the server.
            self.was_open_attempted = False
            raise
        self._http.sock.settimeout(None)
        self._socket_reader = _SocketReader(self._http.sock)
        self.reader = io.BufferedReader(self._socket_reader, READ_BUFFER_BYTES)
        self.opened_at_s = self.used_at_s = monotonic_s()

    def close(self) -> None:
        """Close the connection, even if a call is in progress on it."""
        self._http.close()
        self.reader = None

    def shut_down(self) -> None:
        """Shut the connection down in both directions, which wakes blocked readers."""
        if self._http.sock is not None:
            with contextlib.suppress(OSError):
                self._http.sock.shutdown(socket.SHUT_RDWR)

    def is_input_empty(self) -> bool:
        """Return whether nothing was received since the last answer, not even a close.

        Surplus bytes would be parsed as part of the next answer.
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

    def note_request(self, request_id: str) -> None:
        """Remember the id of a request that is sent on this connection."""
        self._carried_ids.append(hash(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Return whether one of the last requests had this id.

        A copy of the answer to it could not be told from the answer to another request
        with the same id.
        """
        return hash(request_id) in self._carried_ids

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self._http.send(data)

    def wait_for_answer(self, timeout_s: float | None) -> bool:
        """Wait for the first byte of an answer or the end of the connection.

        Parameters
        ----------
        timeout_s : float or None
            The wait limit in seconds; None for no limit.

        Returns
        -------
        bool
            False if neither occurred within the limit.
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
        """Read the head of the final answer, skipping interim ones.

        Returns
        -------
        AnswerHead
            Status and headers; the body follows in `reader`.

        Raises
        ------
        http.client.HTTPException
            If the status line is missing or malformed, the protocol is switched, there
            are too many interim answers, or the head of an answer that is not the first
            on the connection contains a second status line.
        CallRefused
            If the header fields are malformed or exceed the size limit.
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
            second_line = inner_status_line(head) if self.answer_count else None
            if second_line is not None:
                raise http.client.BadStatusLine(
                    f"a second status line within a head: {second_line[:60]}"
                )
            if head.status >= FIRST_FINAL_STATUS:
                self.answer_count += 1
                self._update_idle_limit(head.fields)
                return head
            if head.status == HTTP_STATUS_SWITCHING_PROTOCOLS:
                break
        raise http.client.BadStatusLine("status 101, or too many interim answers")

    def _update_idle_limit(self, fields: HeadFields) -> None:
        match = KEEP_ALIVE_TIMEOUT_PATTERN.search(fields.get("keep-alive") or "")
        if match is not None:
            self.idle_limit_s = KEEP_ALIVE_RATIO * int(match[1])
