"""The WSGI server's protocol on the callers' port, strict about heads and framing."""

import contextlib
import re
import socket
import struct
import urllib.parse

import eventlet
import eventlet.wsgi

from berylhaven.http1._body_framing import BodyFraming, read_framing
from berylhaven.http1._head_fields import END_OF_HEAD, HeadFields, read_fields
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
# After a refusal the rest that the caller sends is read for so long, and so much,
# since a close with unread bytes would destroy the refusal on its way.
LINGER_TIMEOUT_S = 1.0
LINGER_LIMIT_BYTES = 1_000_000
# SO_LINGER with these values makes a close a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# The environment's key of an answer body that tells whether it was cut.
ANSWER_BODY_KEY = "berylhaven.answer_body"
# The environment's key of a function by which this is the connection's last answer.
END_CONNECTION_KEY = "berylhaven.end_connection"
# The environment's key of the caller's socket.
CALLER_SOCKET_KEY = "berylhaven.caller_socket"


class CallersProtocol(eventlet.wsgi.HttpProtocol):
    """Serves one caller's connection.

    Parameters
    ----------
    settings : ProxySettings
        With the limits of heads and senders.
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
        """Send small answers at once."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def handle_one_request(self) -> None:
        """Serve a request, or refuse a head that did not come in time."""
        try:
            super().handle_one_request()
        except SenderTooSlow as refusal:
            self._refuse(refusal)
        finally:
            self._stop_head_timer()

    def _start_head_timer(self) -> None:
        timeout_error = SenderTooSlow("the request's head came too slowly")
        self._head_timer = eventlet.Timeout(
            self._settings.sender_timeout_s, timeout_error
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _read_request_line(self) -> bytes:
        """Read the first line; from its first byte on the sender's time runs."""
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
            # The caller closed, or was idle for too long.
            return b""

    def parse_request(self) -> bool:
        """Check the head strictly and parse it; False if it was refused."""
        # The WSGI server has put a wrapper of its own round the reader.
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
            raise HeadTooLarge("the request line is over the limit")
        match = REQUEST_LINE.fullmatch(self.raw_requestline)
        if match is None:
            raise BadRequestHead("the request line is not METHOD TARGET HTTP/1.1")
        line = self.raw_requestline.decode("latin-1")
        self.requestline = line.rstrip("\r\n")
        self.command, self.path, self.request_version = self.requestline.split(" ")
        if not self.path.startswith("/"):
            self.path = AUTHORITY.sub("", self.path, count=1) or "/"

    def _check_fields(self, fields: HeadFields) -> None:
        self._framing = read_framing(fields.pairs, self.request_version)
        hosts = sum(1 for name, _ in fields.pairs if name.lower() == "host")
        if hosts > 1 or (hosts == 0 and self.request_version == HTTP_1_1):
            raise BadRequestHead("send one Host header")
        expected = fields.get("expect")
        if expected is not None and expected.lower() != CONTINUE_EXPECTATION:
            raise BadRequestHead("the only expectation taken is 100-continue")
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
        """Return the environment, with a body that counts what it reads."""
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
            # An underscore could pass for the hyphen of another header.
            if "_" not in name:
                environ["HTTP_" + name.upper().replace("-", "_")] = value
        return environ

    def _is_continue_expected(self) -> bool:
        # Expectations other than this one were refused.
        return self.request_version == HTTP_1_1 and bool(self.headers.get("expect"))

    def _send_continue(self) -> None:
        self.wfile.write(CONTINUE_LINE)
        self.wfile.flush()

    def _end_connection(self) -> None:
        self.close_connection = True
        self._must_linger = True

    def handle_one_response(self) -> None:
        """Answer, and mark a cut that an HTTP/1.0 caller could not see."""
        super().handle_one_response()
        body = self.environ.get(ANSWER_BODY_KEY)
        if self.request_version != HTTP_1_1 and getattr(body, "is_cut", False):
            self._must_reset = True

    def finish(self) -> None:
        """Close; after a cut by a reset, after a refusal when the caller has read."""
        if self._must_reset:
            self._reset()
            return
        if self._must_linger:
            self._discard_rest()
        super().finish()

    def _reset(self) -> None:
        with contextlib.suppress(OSError):
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            # The socket closes when the last file object over it does.
            self.rfile.close()
            self.wfile.close()
        self.connection.close()

    def _discard_rest(self) -> None:
        remaining_bytes = LINGER_LIMIT_BYTES
        with contextlib.suppress(OSError), eventlet.Timeout(LINGER_TIMEOUT_S, False):
            self.connection.shutdown(socket.SHUT_WR)
            while remaining_bytes > 0:
                piece = self.connection.recv(65_536)
                if not piece:
                    return
                remaining_bytes -= len(piece)
