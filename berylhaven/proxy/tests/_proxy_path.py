"""One entry instance in front of raw backend servers, for byte-level tests."""

import eventlet

from berylhaven.admission._overload import OverloadEstimator
from berylhaven.entry import EntryInstance
from berylhaven.entry.tests import _local_fleet
from berylhaven.http1.tests._raw_backend import TIMEOUT_S, RawBackend
from berylhaven.settings import parse_settings

# Services: positions is idempotent for GET; bookings is not idempotent at all.
POSITIONS = "/v1/services/positions"
BOOKINGS = "/v1/services/bookings"


class ProxyPath(_local_fleet.LocalFleet):
    """One entry instance, one raw backend server for each service."""

    # Limits high enough for several hundred callers of one entry instance.
    catalogue = _local_fleet.CATALOGUE.replace(
        b"max_entry_instances = 4", b"max_entry_instances = 1"
    ).replace(b"concurrency_limit = 256", b"concurrency_limit = 4000")

    def __init__(self, proxy_settings=""):
        self.proxy_settings = proxy_settings
        self.raw = {}
        super().__init__(entry_count=1, servers_per_service=1)
        self.wait_until_ready()

    def _start_backend(self, service):
        backend = RawBackend()
        self.raw[service] = backend
        row = super()._start_backend(service)
        row["address"] = backend.address
        return row

    def start_entry(self, index):
        text = _local_fleet.SETTINGS.format(
            ports=self.ports[index],
            data_centre="a",
            firm="carpatic",
            seeds="",
            configuration_port=self.configuration_port,
            list_port=self.list_port,
        )
        settings = parse_settings(f"{text}[proxy]\n{self.proxy_settings}")
        instance = EntryInstance(settings)
        # These tests must not depend on event loop lateness on a busy machine: this
        # estimator receives no lateness samples, so that nothing is shed for it.
        instance._context.gate.overload = OverloadEstimator()
        instance.start()
        return instance

    def connect(self):
        return RawCaller(self.ports[0][0])

    def exchange(self, data):
        """Send bytes over a new connection and return the first answer."""
        with self.connect() as caller:
            caller.send(data)
            return caller.answer()

    def in_flight_count(self):
        return self.instances[0]._context.gate.in_flight_count

    def stop(self):
        super().stop()
        for backend in self.raw.values():
            backend.stop()


class RawAnswer:
    """One answer as received."""

    def __init__(self, head, body, is_whole):
        self.head = head
        self.body = body
        # Whether the body was received to its announced end.
        self.is_whole = is_whole
        self.status = int(head.split(b" ", 2)[1]) if head else None

    def header(self, name):
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.decode().lower() == name.lower():
                return value.strip().decode()
        return None

    def header_count(self, name):
        lines = self.head.split(b"\r\n")[1:]
        names = [line.partition(b":")[0].decode().lower() for line in lines]
        return names.count(name.lower())


class RawCaller:
    """A caller that sends raw bytes and reads answers by their framing."""

    def __init__(self, port):
        self.sock = eventlet.connect(("127.0.0.1", port))
        self.sock.settimeout(TIMEOUT_S)
        self.reader = self.sock.makefile("rb")

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.close()

    def close(self):
        self.reader.close()
        self.sock.close()

    def send(self, data):
        self.sock.sendall(data)

    def head(self):
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            line = self.reader.readline()
            if not line:
                break
            head += line
        return head

    def answer(self, has_body=True):
        answer = RawAnswer(self.head(), b"", False)
        if not has_body:
            answer.is_whole = True
            return answer
        if answer.header("transfer-encoding") == "chunked":
            self._read_chunks(answer)
        elif answer.header("content-length") is not None:
            length = int(answer.header("content-length"))
            answer.body = self.reader.read(length)
            answer.is_whole = len(answer.body) == length
        return answer

    def _read_chunks(self, answer):
        try:
            while line := self.reader.readline():
                size = int(line, 16)
                answer.body += self.reader.read(size)
                self.reader.readline()
                if size == 0:
                    answer.is_whole = True
                    return
        except ConnectionError:
            return

    def is_closed(self):
        """Wait until the connection closes; False if bytes are received instead."""
        try:
            return self.reader.read1(1) == b""
        except ConnectionError:
            return True


def get(path, *lines, version="HTTP/1.1"):
    """Return the bytes of a GET request."""
    head = [f"GET {path} {version}", "Host: h", *lines, "", ""]
    return "\r\n".join(head).encode("latin-1")


def post(path, *lines, body=b""):
    """Return the bytes of a POST request; its framing headers are among `lines`."""
    head = [f"POST {path} HTTP/1.1", "Host: h", *lines, "", ""]
    return "\r\n".join(head).encode("latin-1") + body
