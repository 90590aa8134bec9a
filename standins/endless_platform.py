"""A stand-in around entry instances that sends bytes without end once switched on.

It is a process of its own, with plain sockets and threads: a sender that shares the
event loop of what it sends to stops whenever the loop is busy. The callers that read
such bytes are a process too.
"""

import http.server
import socket
import threading
import time

import fire

from standins._endless_bytes import KINDS, send_piece

SWITCH_PATH = "/switch/"
LOAD_PATH = "/load"
DURATION_LIMIT_S = 120.0
PIECE_BYTES = 65_536
REFUSED_PAUSE_S = 0.05
SOUND_LOAD = "TEXT named_metrics.running=0,named_metrics.queued=0,named_metrics.slots=4"


class _Handler(http.server.BaseHTTPRequestHandler):
    """Answers with the document, or with bytes of a kind."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answer a request; one for SWITCH_PATH sets the kind, or none."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path.startswith(SWITCH_PATH):
            self.server.kind = self.path.removeprefix(SWITCH_PATH)
            self._send_body(b"", {})
            return
        kind = KINDS.get(self.server.kind)
        headers = {"Value-Version": "1", "endpoint-load-metrics": SOUND_LOAD}
        try:
            if kind is None or self.path == LOAD_PATH and not self.server.has_probes:
                self._send_body(self.server.document, headers)
            else:
                self._send_pieces(kind, headers)
        except OSError:
            # The other side has closed the connection.
            self.close_connection = True

    do_POST = do_GET

    def _send_pieces(self, kind: object, headers: dict[str, str]) -> None:
        lines = ["HTTP/1.1 200 OK", *map(": ".join, headers.items()), ""]
        for piece in kind.pieces("\r\n".join(lines).encode()):
            if self.server.kind != kind.name:
                self.close_connection = True
                return
            send_piece(self.connection, piece)

    def _send_body(self, body: bytes, headers: dict[str, str]) -> None:
        self.send_response_only(200)
        for name, value in {**headers, "Content-Length": str(len(body))}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments: object) -> None:
        """Write no log line."""


class _Server(http.server.ThreadingHTTPServer):
    """A listener with one thread for each connection."""

    daemon_threads = True
    request_queue_size = 512
    # The name of the kind that is sent; an unknown one for the document.
    kind = ""

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore a connection that broke while its request was read."""


def serve(
    port: int, host: str = "127.0.0.1", document: str = "", has_probes: bool = False
) -> None:
    """Serve a document; the process ends after two minutes at the latest.

    Parameters
    ----------
    port : int
        The port to listen on.
    host : str
        The address to listen on.
    document : str
        The path of the document that is answered until a kind is switched on.
    has_probes : bool
        Whether load requests are answered without end too.
    """
    server = _Server((host, port), _Handler)
    server.has_probes = has_probes
    server.document = b"{}"
    if document:
        with open(document, "rb") as file:
            server.document = file.read()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    time.sleep(DURATION_LIMIT_S)


def read(address: str, path: str, count: int = 8) -> None:
    """Send requests and read the answers as fast as they come.

    Parameters
    ----------
    address : str
        HOST:PORT of an entry instance.
    path : str
        The path of the requests.
    count : int
        The number of callers.
    """
    host, _, port = address.rpartition(":")
    request = f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

    def read_repeatedly() -> None:
        """Read one answer after the other."""
        while True:
            try:
                with socket.create_connection((host, int(port))) as sock:
                    sock.sendall(request.encode())
                    while sock.recv(PIECE_BYTES):
                        pass
            except OSError:
                time.sleep(REFUSED_PAUSE_S)

    for _ in range(count):
        threading.Thread(target=read_repeatedly, daemon=True).start()
    time.sleep(DURATION_LIMIT_S)


if __name__ == "__main__":
    fire.Fire({"serve": serve, "read": read})
