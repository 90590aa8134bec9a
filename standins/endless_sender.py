"""A stand-in that sends bytes without end, as fast as the other side takes them.

It is a process of its own, with plain sockets and threads: a sender that shares the
event loop of what it sends to stops whenever the loop is busy.
"""

import http.client
import http.server
import os
import secrets
import socket
import threading
import time
from collections.abc import Callable

import fire
import urllib3

from standins._endless_bytes import (
    KINDS,
    PROBE,
    SERVER,
    UNREAD_REQUESTS,
    EndlessKind,
    send_piece,
)
from standins.fleet_configuration import ROUTES_HOST, server_value

DURATION_LIMIT_S = 60.0
POLL_S = 0.1
HEALTH_PATH = "/health"
SWITCH_ON_PATH, SWITCH_OFF_PATH = "/switch-on", "/switch-off"
# With many free slots the server gets many requests at once.
SLOT_COUNT = 64
LOAD = f"0,0,{SLOT_COUNT},100"
# Printed once a server is registered, or when a caller begins.
READY_LINE = "ready"
STORE_TIMEOUT_S = 30.0
# A refused connection costs the instance nothing.
REFUSED_PAUSE_S = 0.01
# The status of a message whose connection ended without an answer.
NO_ANSWER = 0


class _Handler(http.server.BaseHTTPRequestHandler):
    """Reads requests and answers each one as its server decides."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answer a request."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        try:
            self.server.answer(self, body)
        except OSError:
            # The other side has closed the connection.
            self.close_connection = True

    do_POST = do_GET

    def send_pieces(self, kind: EndlessKind, headers: dict[str, str]) -> None:
        """Send an answer of a kind, until the server is switched off."""
        lines = ["HTTP/1.1 200 OK", *map(": ".join, headers.items()), ""]
        for piece in kind.pieces("\r\n".join(lines).encode()):
            if not self.server.is_sending:
                self.close_connection = True
                return
            send_piece(self.connection, piece)

    def send_body(
        self, body: bytes, headers: dict[str, str], status: int = 200
    ) -> None:
        """Send an ordinary answer."""
        self.send_response_only(status)
        for name, value in {**headers, "Content-Length": str(len(body))}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)


class _Server(http.server.ThreadingHTTPServer):
    """A listener with one thread for each connection."""

    daemon_threads = True
    request_queue_size = 512

    def __init__(self, address: tuple[str, int], answer: Callable) -> None:
        super().__init__(address, _Handler)
        # Called with the handler and the body of each request.
        self.answer = answer
        # Whether it sends without end.
        self.is_sending = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore a connection that broke while its request was read."""


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _serve(server: _Server) -> None:
    threading.Thread(target=server.serve_forever, daemon=True).start()


def _wait_for_end(duration_s: float) -> None:
    """Return when the parent process has ended, or after a time."""
    parent_pid = os.getppid()
    end_s = time.monotonic() + min(duration_s, DURATION_LIMIT_S)
    while os.getppid() == parent_pid and time.monotonic() < end_s:
        time.sleep(POLL_S)


def serve_requests(
    role: str,
    kind: str,
    store: str,
    service: str,
    host: str = "127.0.0.1",
    duration_s: float = DURATION_LIMIT_S,
) -> None:
    """Serve as one more backend server of a service, which sends without end.

    Parameters
    ----------
    role : str
        What is answered without end: requests ("server") or probes ("probe").
    kind : str
        The kind of the bytes.
    store : str
        HOST:PORT of the store in which the server is registered.
    service : str
        The service.
    host : str
        The address to listen on.
    duration_s : float
        The process ends after this time.
    """
    endless = KINDS[kind]
    server_id = f"endless-{secrets.token_hex(4)}"

    def answer(handler: _Handler, body: bytes) -> None:
        """Answer a probe or a request."""
        request_id = handler.headers.get("X-Request-Id")
        is_probe = handler.path == HEALTH_PATH
        headers = {"X-Instance-Id": server_id, "X-Server-Load": LOAD}
        if is_probe and role == PROBE:
            # The answer to another request is discarded until it ends.
            request_id = "another"
        if request_id is not None:
            headers["X-Request-Id"] = request_id
            headers["X-Server-Seal"] = f"{server_id}.{request_id}"
        if is_probe is (role == PROBE):
            handler.send_pieces(endless, headers)
        else:
            handler.send_body(b"{}", headers)

    if role not in (SERVER, PROBE):
        raise ValueError(f'role "{role}" is neither "{SERVER}" nor "{PROBE}"')
    listener = _Server((host, 0), answer)
    _serve(listener)
    address = f"{host}:{listener.server_port}"
    url = f"http://{store}/items/servers/{server_id}"
    value = server_value(service, address, "here", SLOT_COUNT)
    urllib3.request("PUT", url, body=value)
    print(READY_LINE, flush=True)
    _wait_for_end(duration_s)


def serve_store(
    address: str, kind: str, target: str, duration_s: float = DURATION_LIMIT_S
) -> None:
    """Forward reads to the store; once switched on, answer them without end.

    It is switched by requests for `SWITCH_ON_PATH` and `SWITCH_OFF_PATH`.

    Parameters
    ----------
    address : str
        HOST:PORT to listen on.
    kind : str
        The kind of the bytes.
    target : str
        HOST:PORT of the store.
    duration_s : float
        The process ends after this time.
    """
    endless = KINDS[kind]

    def answer(handler: _Handler, body: bytes) -> None:
        """Answer a read or a switch."""
        if handler.path in (SWITCH_ON_PATH, SWITCH_OFF_PATH):
            listener.is_sending = handler.path == SWITCH_ON_PATH
            handler.send_body(b"", {})
        elif listener.is_sending:
            handler.send_pieces(endless, {"Store-Era": "1"})
        else:
            url = f"http://{target}{handler.path}"
            found = urllib3.request("GET", url, timeout=STORE_TIMEOUT_S)
            headers = {"Store-Era": found.headers["Store-Era"]}
            handler.send_body(found.data, headers, found.status)

    listener = _Server(_address(address), answer)
    listener.is_sending = False
    _serve(listener)
    _wait_for_end(duration_s)


def call(
    address: str, kind: str, path: str = "/", duration_s: float = DURATION_LIMIT_S
) -> None:
    """Send requests without end, on one connection after the other.

    The statuses of the answers to whole messages are printed.

    Parameters
    ----------
    address : str
        HOST:PORT of a port of an instance.
    kind : str
        The kind of the bytes.
    path : str
        The path of the requests.
    duration_s : float
        The process ends after this time.
    """

    def send_repeatedly() -> None:
        """Send until the process ends."""
        while True:
            try:
                sock = socket.create_connection(_address(address))
            except OSError:
                time.sleep(REFUSED_PAUSE_S)
                continue
            with sock:
                _send_messages(sock, KINDS[kind], path)

    print(READY_LINE, flush=True)
    threading.Thread(target=send_repeatedly, daemon=True).start()
    _wait_for_end(duration_s)


def _send_messages(sock: socket.socket, kind: EndlessKind, path: str) -> None:
    """Send messages of a kind until the connection ends."""
    is_open = True
    while is_open:
        begin = f"POST {path} HTTP/1.1\r\nHost: {ROUTES_HOST}\r\n"
        if kind.name != UNREAD_REQUESTS:
            begin += f"X-Request-Id: {secrets.token_hex(8)}\r\n"
        try:
            for piece in kind.pieces(begin.encode()):
                send_piece(sock, piece)
        except OSError:
            # The message may have been refused before its end.
            is_open = False
        if kind.has_end:
            status, keeps_open = _read_answer(sock)
            print(status, flush=True)
            is_open = is_open and keeps_open


def _read_answer(sock: socket.socket) -> tuple[int, bool]:
    """Return the status of an answer, and whether the connection may be used again."""
    answer = http.client.HTTPResponse(sock)
    try:
        answer.begin()
        answer.read()
    except (OSError, http.client.HTTPException):
        return NO_ANSWER, False
    return answer.status, not answer.will_close


if __name__ == "__main__":
    fire.Fire({"server": serve_requests, "store": serve_store, "caller": call})
