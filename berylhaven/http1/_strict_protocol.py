"""Base of the protocols of ports, with strict checks of heads and framing."""

import contextlib
import re
import socket
import urllib.parse

import eventlet
import eventlet.wsgi

from berylhaven.http1._body_framing import BodyFraming, parse_framing
from berylhaven.http1._head_fields import END_OF_HEAD, HeadFields, read_fields
from berylhaven.http1._output_watch import OutputWatch
from berylhaven.http1._request_body import CONTINUE_LINE
from berylhaven.results import (
    BadRequestHead,
    CallRefused,
    HeadTooLarge,
    SenderTooSlow,
)

REQUEST_LINE = re.compile(
    rb"(?P<method>[A-Za-z0-9!#$%&'*+.^_`|~-]{1,32}) "
    rb"(?P<target>(?:/|http://)[!-~]*) (?P<version>HTTP/1\.[01])\r\n"
)
AUTHORITY = re.compile(r"http://[^/]*")
HEAD_END = b"\r\n\r\n"
HTTP_1_1 = "HTTP/1.1"
CONTINUE_EXPECTATION = "100-continue"
# What the caller still sends is read until it has received the last answer, and for
# this time more: closing a socket with unread bytes resets it and the answer is lost.
LINGER_TIMEOUT_S = 1.0
# A waiting read takes as much memory as it may return.
DISCARD_PIECE_BYTES = 8_192


class StrictProtocol(eventlet.wsgi.HttpProtocol):
    """Serves one connection, and refuses heads that are malformed, large or slow.

    Parameters
    ----------
    header_limit_bytes : int
        The size limit of a request head in bytes.
    sender_timeout_s : float
        The time limit of a request head, in seconds.
    conn_state : list
        The WSGI server's record of the connection.
    server : eventlet.wsgi.Server
        The WSGI server.
    """

    # How much of what the sender still sends is discarded at the end of a connection.
    # None for no limit beside that of the time.
    linger_limit_bytes: int | None = 65_536

    def __init__(
        self,
        header_limit_bytes: int,
        sender_timeout_s: float,
        conn_state: list,
        server: object,
    ) -> None:
        self._header_limit_bytes = header_limit_bytes
        self._sender_timeout_s = sender_timeout_s
        self._framing = BodyFraming(0, False)
        self._head_timer: eventlet.Timeout | None = None
        self._must_linger = False
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Disable Nagle's algorithm, so that small answers are sent at once."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def handle_one_request(self) -> None:
        """Serve a request, or refuse it."""
        try:
            super().handle_one_request()
        except CallRefused as refusal:
            self._refuse(refusal)
        finally:
            self._stop_head_timer()

    def _start_head_timer(self) -> None:
        timeout_error = SenderTooSlow(
            f"the request head was not received within {self._sender_timeout_s} s"
        )
        self._head_timer = eventlet.Timeout(self._sender_timeout_s, timeout_error)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _read_request_line(self) -> bytes:
        """Read the first line; the time limit of the head starts at its first byte."""
        if self.rfile.closed:
            return b""
        self.connection.settimeout(self.server.keepalive)
        try:
            buffered = self.rfile.peek(1)
            if not buffered:
                return b""
            self.connection.settimeout(self.server.socket_timeout)
            if HEAD_END not in buffered:
                self._start_head_timer()
            if buffered.startswith(END_OF_HEAD):
                self.rfile.readline(len(END_OF_HEAD))
            limit_bytes = self._header_limit_bytes
            return self.rfile.readline(limit_bytes + 1)
        except OSError:
            # The caller closed the connection or exceeded the idle timeout.
            return b""

    def parse_request(self) -> bool:
        """Validate and parse the head; return False if it was refused."""
        # The WSGI server wraps the reader.
        reader = self.rfile.fp
        try:
            self._parse_request_line()
            remaining_bytes = self._header_limit_bytes - len(self.raw_requestline)
            self.headers = read_fields(reader, remaining_bytes)
            self.check_fields(self.headers)
        except CallRefused as refusal:
            self._refuse(refusal)
            return False
        finally:
            self._stop_head_timer()
        return True

    def _parse_request_line(self) -> None:
        if len(self.raw_requestline) > self._header_limit_bytes:
            raise HeadTooLarge(
                "the request line exceeds the size limit of request heads of "
                f"{self._header_limit_bytes} bytes"
            )
        match = REQUEST_LINE.fullmatch(self.raw_requestline)
        if match is None:
            raise BadRequestHead("the request line is not METHOD TARGET HTTP/1.1")
        line = self.raw_requestline.decode("latin-1")
        self.requestline = line.rstrip("\r\n")
        self.command, self.path, self.request_version = self.requestline.split(" ")
        if not self.path.startswith("/"):
            self.path = AUTHORITY.sub("", self.path, count=1) or "/"

    def check_fields(self, fields: HeadFields) -> None:
        """Take framing and fate of the connection from a head, or raise CallRefused."""
        self._framing = parse_framing(fields.pairs, self.request_version)
        expected = fields.get("expect")
        if expected is not None and expected.lower() != CONTINUE_EXPECTATION:
            raise BadRequestHead(
                f"the expectation {expected[:100]!r} is not supported, only "
                "100-continue is"
            )
        if self.request_version == HTTP_1_1:
            self.close_connection = fields.has_token("connection", "close")
        else:
            self.close_connection = not fields.has_token("connection", "keep-alive")

    def refusal_answer(
        self, refusal: CallRefused
    ) -> tuple[str, list[tuple[str, str]], list[bytes]]:
        """Return status, headers and body of the answer to a refused request.

        Parameters
        ----------
        refusal : CallRefused
            The reason.

        Returns
        -------
        tuple
            The status code and reason phrase, the headers with a Content-Length, and
            the pieces of the body.
        """
        raise NotImplementedError

    def _refuse(self, refusal: CallRefused) -> None:
        status, headers, body = self.refusal_answer(refusal)
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Connection: close", "", ""]
        self.close_connection = True
        self._must_linger = True
        with contextlib.suppress(OSError):
            self.wfile.write("\r\n".join(lines).encode("latin-1"))
            self.wfile.writelines(body)
            self.wfile.flush()

    def get_environ(self) -> dict:
        """Return the WSGI environment without the body."""
        path, _, query = self.path.partition("?")
        environ = {
            "REQUEST_METHOD": self.command,
            "SCRIPT_NAME": "",
            "RAW_PATH_INFO": path,
            "PATH_INFO": urllib.parse.unquote(path, encoding="latin-1"),
            "QUERY_STRING": query,
            "SERVER_PROTOCOL": self.request_version,
            "REMOTE_ADDR": self.client_address[0],
            "eventlet.posthooks": [],
            "headers_raw": self.headers.pairs,
        }
        for name, value in self.headers.pairs:
            # An underscore would be mistaken for the hyphen of another header.
            if "_" not in name:
                environ["HTTP_" + name.upper().replace("-", "_")] = value
        return environ

    def _is_continue_expected(self) -> bool:
        # Other expectations were refused before.
        return self.request_version == HTTP_1_1 and bool(self.headers.get("expect"))

    def _send_continue(self) -> None:
        self.wfile.write(CONTINUE_LINE)
        self.wfile.flush()

    def handle_one_response(self) -> None:
        """Send the answer."""
        super().handle_one_response()
        if self.close_connection:
            self._must_linger = True

    def finish(self) -> None:
        """Close; with lingering after the last answer."""
        if self._must_linger:
            self._linger()
        super().finish()

    def _linger(self) -> None:
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_WR)
        discarding = eventlet.spawn(self._discard_input)
        try:
            OutputWatch(self.connection).await_delivery(self._sender_timeout_s)
            with eventlet.Timeout(LINGER_TIMEOUT_S, False):
                discarding.wait()
        finally:
            # Also if a full port ends the connection meanwhile.
            discarding.kill()

    def _discard_input(self) -> None:
        left_bytes = self.linger_limit_bytes
        # A green socket raises EOFError if its descriptor was closed during a wait.
        with contextlib.suppress(OSError, EOFError):
            while piece := self.connection.recv(DISCARD_PIECE_BYTES):
                if left_bytes is not None:
                    left_bytes -= len(piece)
                    if left_bytes <= 0:
                        return
