"""A backend server whose answers tests define byte by byte."""

import socket

import eventlet

TIMEOUT_S = 10.0
# Load probes of the program are answered but not counted as requests of a test.
LOAD_PROBE_START = b"GET /load "


class RawRequest:
    """One request as received by the backend server."""

    def __init__(self, head, sock):
        self.head = head
        # The connection on which it was received.
        self.sock = sock
        self.body = b""
        # Whether the whole body was received.
        self.is_complete = False

    @property
    def path(self):
        return self.head.split(b" ", 2)[1].decode()

    def header(self, name):
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.decode().lower() == name.lower():
                return value.strip().decode()
        return None


class NamingSocket:
    """Adds the id of the request to the answers that are sent without one."""

    def __init__(self, sock, id_header, request_id):
        self.sock = sock
        self.id_line = f"{id_header}: {request_id}\r\n".encode()
        self.id_start = f"\r\n{id_header}:".encode()

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def sendall(self, data):
        line, end, rest = data.partition(b"\r\n")
        fields = end + rest.partition(b"\r\n\r\n")[0]
        if line.startswith(b"HTTP/1.") and end and self.id_start not in fields:
            data = line + end + self.id_line + rest
        self.sock.sendall(data)


class RawBackend:
    """Answers each path with a function of the socket and the request.

    Answers name the request in `id_header`, unless they are sent by its own socket.
    """

    def __init__(self, id_header=""):
        self.id_header = id_header
        self.listener = eventlet.listen(("127.0.0.1", 0), backlog=512)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.requests = []
        self.answers = {}
        # Answers that are sent while a body is read, by path: the number of bytes after
        # which they are, and the function; those of `answers` are not sent then.
        self.early_answers = {}
        self.connections_count = 0
        # Requests whose body was received completely or truncated.
        self.ended_count = 0
        self.open_sockets = []
        self.thread = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections_count += 1
            self.open_sockets.append(sock)
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock):
        try:
            reader = sock.makefile("rb")
            while self._serve_one(sock, reader):
                pass
        except OSError:
            pass
        finally:
            # The socket stays open as long as its file object is.
            reader.close()
            sock.close()

    def _serve_one(self, sock, reader):
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            line = reader.readline()
            if not line:
                return False
            head += line
        if head.startswith(LOAD_PROBE_START):
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        request = RawRequest(head, sock)
        self.requests.append(request)
        try:
            self._read_body(request, reader)
        finally:
            self.ended_count += 1
        if request.path in self.early_answers:
            return True
        answer = self.answers.get(request.path, answer_ok)
        request_id = request.header(self.id_header) if self.id_header else None
        if request_id is not None:
            sock = NamingSocket(sock, self.id_header, request_id)
        return answer(sock, request) is not False

    def _read_body(self, request, reader):
        if request.header("transfer-encoding") == "chunked":
            while line := reader.readline():
                size = int(line, 16)
                request.body += reader.read(size)
                reader.readline()
                if size == 0:
                    request.is_complete = True
                    return
            return
        length = int(request.header("content-length") or 0)
        early_bytes, early = self.early_answers.get(request.path, (length, None))
        while len(request.body) < length:
            piece = reader.read1(length - len(request.body))
            if not piece:
                return
            request.body += piece
            if early is not None and len(request.body) >= early_bytes:
                if early(request.sock, request) is False:
                    raise ConnectionAbortedError("closed by an early answer")
                early = None
        request.is_complete = True

    def count_requests(self, path):
        """Return the number of requests received for a path."""
        return sum(request.path == path for request in self.requests)

    def stop(self):
        self.thread.kill()
        self.listener.close()
        for sock in self.open_sockets:
            sock.close()


def answer_ok(sock, request):
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def answers_raw(data, keeps_open=True):
    """Return an answer function that sends exactly these bytes."""

    def answer(sock, request):
        sock.sendall(data)
        return keeps_open

    return answer
