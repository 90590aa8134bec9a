"""HTTP protocol of the callers' port, with strict checks of heads and framing."""

import contextlib
import re
import socket
import struct
import urllib.parse

import eventlet
import eventlet.wsgi

from berylhaven.http1._body_framing import BodyFraming, parse_framing
from berylhaven.http1._head_fields import END_OF_HEAD, HeadFields, read_fields
from berylhaven.http1._output_watch import OutputWatch
from berylhaven.http1._request_body import CONTINUE_LINE, RequestBody
from berylhaven.proxy._call_answer import refusal_answer
from berylhaven.results import (
    BadRequestHead,
    CallRefused,
    HeadTooLarge,
    SenderTooSlow,
)
from berylhaven.settings import ProxySettings

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
# SO_LINGER with these values resets the connection on close.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Environment key of the answer body; its `is_cut`, if any, marks a truncated answer.
ANSWER_BODY_KEY = "berylhaven.answer_body"
# Environment key of a function that closes the connection after this answer.
END_CONNECTION_KEY = "berylhaven.end_connection"
# Environment key of the caller's socket.
CALLER_SOCKET_KEY = "berylhaven.caller_socket"


class CallersProtocol(eventlet.wsgi.HttpProtocol):
    """Serves the connection of one caller.

    Parameters
    ----------
    settings : ProxySettings
        Gives the limits of heads and of slow senders.
    conn_state : list
        The WSGI server's record of the connection.
    server : eventlet.wsgi.Server
        The WSGI server.
    """

    def __init__(
        self, settings: ProxySettings, conn_state: list, server: object
    ) -> None:
        self._settings = settings
        self._framing = BodyFraming(0, False)
        self._head_timer: eventlet.Timeout | None = None
        self._must_linger = False
        self._must_reset = False
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Disable Nagle's algorithm, so that small answers are sent at once."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def handle_one_request(self) -> None:
        """Serve a request, or refuse a head that was not received in time."""
        try:
            super().handle_one_request()
        except SenderTooSlow as refusal:
            self._refuse(refusal)
        finally:
            self._stop_head_timer()

    def _start_head_timer(self) -> None:
        timeout_error = SenderTooSlow(
            "the request head was not received within "
            f"{self._settings.sender_timeout_s} s"
        )
        self._head_timer = eventlet.Timeout(
            self._settings.sender_timeout_s, timeout_error
        )

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
            limit_bytes = self._settings.header_limit_bytes
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
            remaining_bytes = self._settings.header_limit_bytes - len(
                self.raw_requestline
            )
            self.headers = read_fields(reader, remaining_bytes)
            self._check_fields(self.headers)
        except CallRefused as refusal:
            self._refuse(refusal)
            return False
        finally:
            self._stop_head_timer()
        return True

    def _parse_request_line(self) -> None:
        if len(self.raw_requestline) > self._settings.header_limit_bytes:
            raise HeadTooLarge(
                "the request line exceeds the size limit of request heads of "
                f"{self._settings.header_limit_bytes} bytes"
            )
        match = REQUEST_LINE.fullmatch(self.raw_requestline)
        if match is None:
            raise BadRequestHead("the request line is not METHOD TARGET HTTP/1.1")
        line = self.raw_requestline.decode("latin-1")
        self.requestline = line.rstrip("\r\n")
        self.command, self.path, self.request_version = self.requestline.split(" ")
        if not self.path.startswith("/"):
            self.path = AUTHORITY.sub("", self.path, count=1) or "/"

    def _check_fields(self, fields: HeadFields) -> None:
        self._framing = parse_framing(fields.pairs, self.request_version)
        hosts = sum(1 for name, _ in fields.pairs if name.lower() == "host")
        if hosts > 1 or (hosts == 0 and self.request_version == HTTP_1_1):
            raise BadRequestHead(
                f"the request has {hosts} Host headers instead of exactly one"
            )
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

    def _refuse(self, refusal: CallRefused) -> None:
        answer = refusal_answer(refusal)
        lines = [f"HTTP/1.1 {answer.status}"]
        lines += [f"{name}: {value}" for name, value in answer.headers]
        lines += ["Connection: close", "", ""]
        self.close_connection = True
        self._must_linger = True
        with contextlib.suppress(OSError):
            self.wfile.write("\r\n".join(lines).encode("latin-1"))
            self.wfile.writelines(answer.body)
            self.wfile.flush()

    def get_environ(self) -> dict:
        """Return the WSGI environment, with a body that enforces its limits."""
        path, _, query = self.path.partition("?")
        body = RequestBody(
            self.rfile,
            self._framing,
            self._settings.sender_timeout_s,
            self._send_continue if self._is_continue_expected() else None,
        )
        environ = {
            "REQUEST_METHOD": self.command,
            "SCRIPT_NAME": "",
            "RAW_PATH_INFO": path,
            "PATH_INFO": urllib.parse.unquote(path, encoding="latin-1"),
            "QUERY_STRING": query,
            "SERVER_PROTOCOL": self.request_version,
            "REMOTE_ADDR": self.client_address[0],
            "wsgi.input": body,
            "eventlet.input": body,
            "eventlet.posthooks": [],
            "headers_raw": self.headers.pairs,
            END_CONNECTION_KEY: self._end_connection,
            CALLER_SOCKET_KEY: self.connection,
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

    def _end_connection(self) -> None:
        self.close_connection = True
        self._must_linger = True

    def handle_one_response(self) -> None:
        """Send the answer; plan a reset if it was cut and HTTP/1.0 cannot show that."""
        super().handle_one_response()
        if self.close_connection:
            self._must_linger = True
        body = self.environ.get(ANSWER_BODY_KEY)
        if self.request_version != HTTP_1_1 and getattr(body, "is_cut", False):
            self._must_reset = True

    def finish(self) -> None:
        """Close; by a reset after a cut answer, with lingering after the last one."""
        if self._must_reset:
            self._reset()
            return
        if self._must_linger:
            self._linger()
        super().finish()

    def _reset(self) -> None:
        with contextlib.suppress(OSError):
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            # The socket closes with the last file object that uses it.
            self.rfile.close()
            self.wfile.close()
        self.connection.close()

    def _linger(self) -> None:
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_WR)
        discarding = eventlet.spawn(self._discard_input)
        OutputWatch(self.connection).await_delivery(self._settings.sender_timeout_s)
        with eventlet.Timeout(LINGER_TIMEOUT_S, False):
            discarding.wait()
        discarding.kill()

    def _discard_input(self) -> None:
        with contextlib.suppress(OSError):
            while self.connection.recv(65_536):
                pass
