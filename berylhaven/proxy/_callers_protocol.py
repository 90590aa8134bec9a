"""HTTP protocol of the callers' port."""

import contextlib
import socket
import struct

from berylhaven.http1._head_fields import HeadFields
from berylhaven.http1._request_body import RequestBody
from berylhaven.http1._strict_protocol import HTTP_1_1, StrictProtocol
from berylhaven.proxy._call_answer import refusal_answer
from berylhaven.results import BadRequestHead, CallRefused
from berylhaven.settings import ProxySettings

# SO_LINGER with these values resets the connection on close.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Environment key of the answer body; its `is_cut`, if any, marks a truncated answer.
ANSWER_BODY_KEY = "berylhaven.answer_body"
# Environment key of a function that closes the connection after this answer.
END_CONNECTION_KEY = "berylhaven.end_connection"
# Environment key of the caller's socket.
CALLER_SOCKET_KEY = "berylhaven.caller_socket"


class CallersProtocol(StrictProtocol):
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

    # An upload that was refused is read for as long as the answer is delivered.
    linger_limit_bytes = None

    def __init__(
        self, settings: ProxySettings, conn_state: list, server: object
    ) -> None:
        self._must_reset = False
        super().__init__(
            settings.header_limit_bytes, settings.sender_timeout_s, conn_state, server
        )

    def refusal_answer(
        self, refusal: CallRefused
    ) -> tuple[str, list[tuple[str, str]], list[bytes]]:
        """Return the JSON answer to a refused call."""
        answer = refusal_answer(refusal)
        return answer.status, answer.headers, answer.body

    def check_fields(self, fields: HeadFields) -> None:
        """Refuse a head without exactly one host."""
        super().check_fields(fields)
        hosts = sum(1 for name, _ in fields.pairs if name.lower() == "host")
        if hosts > 1 or (hosts == 0 and self.request_version == HTTP_1_1):
            raise BadRequestHead(
                f"the request has {hosts} Host headers instead of exactly one"
            )

    def get_environ(self) -> dict:
        """Return the WSGI environment, with a body that enforces its limits."""
        body = RequestBody(
            self.rfile,
            self._framing,
            self._sender_timeout_s,
            self._send_continue if self._is_continue_expected() else None,
        )
        return {
            **super().get_environ(),
            "wsgi.input": body,
            "eventlet.input": body,
            END_CONNECTION_KEY: self._end_connection,
            CALLER_SOCKET_KEY: self.connection,
        }

    def _end_connection(self) -> None:
        self.close_connection = True
        self._must_linger = True

    def handle_one_response(self) -> None:
        """Send the answer; plan a reset if it was cut and HTTP/1.0 cannot show that."""
        super().handle_one_response()
        body = self.environ.get(ANSWER_BODY_KEY)
        if self.request_version != HTTP_1_1 and getattr(body, "is_cut", False):
            self._must_reset = True

    def finish(self) -> None:
        """Close; by a reset after a cut answer, with lingering after the last one."""
        if self._must_reset:
            self._reset()
            return
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
