"""A backend server that a model test plays: it sends any bytes at any time."""

import dataclasses
import socket
import struct

import eventlet
import eventlet.queue

from berylhaven.gateway.tests._gateway_path import ID_HEADER

# So small that an upload is still being sent when its answer comes.
RECEIVE_BUFFER_BYTES = 16_384
# Passes of the event loop within which the other side has read what was sent.
READ_PASSES = 4
# A linger time of zero makes a close reset the connection.
NO_LINGER = struct.pack("ii", 1, 0)
NO_BODY_STATUS = 204
NOT_RUN_STATUS = 503


@dataclasses.dataclass
class Message:
    """An answer, and what the peer makes of it."""

    status: int
    body: str
    request_id: str | None
    # One of: length, chunks, open (ended by the close), copy of a HEAD answer.
    framing: str = "length"

    def data(self):
        """Return the bytes."""
        lines = [f"HTTP/1.1 {self.status} Status {self.status}"]
        if self.status == NOT_RUN_STATUS:
            lines.append("Wordy-Not-Run: 1")
        if self.request_id is not None:
            lines.append(f"{ID_HEADER}: {self.request_id}")
        body = "" if self.status == NO_BODY_STATUS else self.body
        if self.framing == "chunks" and body:
            lines.append("Transfer-Encoding: chunked")
            half = len(body) // 2
            chunks = (body[:half], body[half:])
            body = "".join(f"{len(c):x}\r\n{c}\r\n" for c in chunks if c) + "0\r\n\r\n"
        elif self.framing != "open":
            lines.append(f"Content-Length: {len(body)}")
        body = "" if self.framing == "head" else body
        return "\r\n".join([*lines, "Note: x", "", body]).encode()


class PeerConnection:
    """A connection as the peer sees it."""

    def __init__(self, sock):
        self.sock = sock
        # Why the next byte may not belong to the next request; None if it does.
        self.reserved_for = None
        # What is still to be sent of the messages of the last operation.
        self.due = []
        self.messages = []

    def send(self, data):
        """Send bytes and let the other side read them; it may have closed."""
        try:
            self.sock.sendall(data)
        except OSError:
            return
        settle()

    def end(self, is_reset):
        """End the connection; a plain close would reset it if input is unread."""
        try:
            if is_reset:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                self.sock.close()
            else:
                self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The other side has reset it.
            return
        settle()


def settle():
    for _ in range(READ_PASSES):
        eventlet.sleep(0)


class Peer:
    """Accepts connections and takes the heads of requests; rules send the answers."""

    def __init__(self):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.requests = eventlet.queue.LightQueue()
        self.threads = [eventlet.spawn(self.accept)]
        self.connections = []

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = PeerConnection(sock)
            self.connections.append(connection)
            self.threads.append(eventlet.spawn(self.receive, connection))

    def receive(self, connection):
        """Queue the connection for each head; bodies of uploads are not read."""
        head = b""
        while True:
            try:
                data = connection.sock.recv(4_096)
            except (OSError, EOFError):
                return
            if not data:
                return
            head += data
            if b"\r\n\r\n" in head:
                self.requests.put(connection)
                if head.startswith(b"PUT "):
                    return
                head = b""

    def stop(self):
        for thread in self.threads:
            thread.kill()
        self.listener.close()
        for connection in self.connections:
            connection.sock.close()
