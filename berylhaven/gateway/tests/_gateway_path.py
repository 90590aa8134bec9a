"""A gateway instance between callers and backend servers that use raw sockets."""

import dataclasses
import socket

import eventlet
import eventlet.event

from berylhaven.event_log import EventLog
from berylhaven.gateway import (
    FleetUpdate,
    GatewayInstance,
    HistoryGone,
    ServerEntry,
    ServerRemoved,
    SettingsFile,
    SourceUnavailable,
    StoreRevision,
    parse_gateway_settings,
)
from berylhaven.http1.tests._raw_backend import RawBackend
from berylhaven.load_report import LoadReport
from berylhaven.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceSpec,
    WeightedService,
)

HOST = "shop.example"
READS = "reads"
ORDERS = "orders"
ANSWER_TIMEOUT_S = 5.0
HEALTH_PATH = "/health"
ID_HEADER = "Wordy-Id"


class FakeDialect:
    """Headers for tests, which no deployment uses."""

    request_id_header = ID_HEADER
    replaced_request_headers = frozenset({"wordy-left-ms", "wordy-server"})
    dropped_answer_headers = frozenset({"wordy-load"})

    def request_id(self, fields):
        return fields.get(ID_HEADER)

    def remaining_s(self, fields):
        text = fields.get("Wordy-Left-Ms")
        return float(text) / 1000 if text else None

    def request_headers(self, remaining_s, server_id):
        return [*self.deadline_headers(remaining_s), ("Wordy-Server", server_id)]

    def deadline_headers(self, remaining_s):
        return [("Wordy-Left-Ms", str(int(remaining_s * 1000)))]

    def is_not_executed(self, status, fields):
        return fields.get("Wordy-Not-Run") is not None

    def server_id(self, fields):
        return fields.get("Wordy-Server")

    def is_server_leaving(self, fields):
        return fields.get("Wordy-Leaving") is not None

    def request_limit(self, fields):
        return fields.get("Wordy-Limit")

    def warmup_left_s(self, fields):
        text = fields.get("Wordy-Warmup-S")
        return float(text) if text else None

    def load_report(self, fields, now_s):
        text = fields.get("Wordy-Load")
        if text is None:
            return None
        running, waiting, slots, slowness = text.split(",")
        return LoadReport(
            int(running), int(waiting), int(slots), None, False, now_s, float(slowness)
        )


def route(prefix, kind=RequestKind.IDEMPOTENT, service=READS, **changes):
    """Return a route of the test host."""
    default = Route(
        name=f"route{prefix}",
        host=HOST,
        prefix=prefix,
        kind=kind,
        parts=(WeightedService(service, 1.0),),
        timeout_s=2.0,
        attempt_limit=2,
        latency_objective_s=0.5,
        priority=1,
    )
    return dataclasses.replace(default, **changes)


def configuration(version=1, routes=None, warmup=(0.0, 0.0), **limits):
    """Return a configuration with one route of each kind."""
    routes = routes or (
        route("/read/"),
        route("/order/", RequestKind.ONCE_ONLY, ORDERS),
        route("/upload/", RequestKind.UPLOAD, ORDERS),
    )
    services = {
        name: ServiceSpec(name, HEALTH_PATH, 100, *warmup) for name in (READS, ORDERS)
    }
    return RoutingConfiguration(
        version, tuple(routes), services, CallerLimits(**limits)
    )


def at(number, era=0):
    """Return a revision of the store."""
    return StoreRevision(era, number)


class FakeSource:
    """A store whose content a test sets."""

    def __init__(self, *changes):
        self.number = 1
        self.era = 0
        self.snapshot = list(changes)
        self.changed = eventlet.event.Event()
        self.published = []
        self.call_count = 0
        # The number of watches that wait for a change.
        self.waiting_count = 0
        self.failure = None
        # For each read of a snapshot, whether a stale one was allowed.
        self.stale_allowed = []
        # The wait limit of each watch.
        self.waits_s = []
        # The settings of the last reconfiguration.
        self.new_settings = None

    @property
    def revision(self):
        return StoreRevision(self.era, self.number)

    def put(self, *changes):
        """Publish changes."""
        self.number += 1
        self.published.append((self.revision, changes))
        changed, self.changed = self.changed, eventlet.event.Event()
        changed.send()

    def cut_watches(self):
        """End the watches that wait without an answer; the store stays available."""
        changed, self.changed = self.changed, eventlet.event.Event()
        changed.send_exception(SourceUnavailable("cut"))

    def _check(self):
        if self.failure is not None:
            raise self.failure

    def reconfigure(self, settings):
        self.new_settings = settings

    def read(self, allow_stale=False):
        self.call_count += 1
        self.stale_allowed.append(allow_stale)
        self._check()
        return FleetUpdate(tuple(self.snapshot), self.revision)

    def _update_since(self, revision):
        if revision.era != self.era:
            raise HistoryGone("another era")
        changes = tuple(c for r, cs in self.published if r > revision for c in cs)
        return FleetUpdate(changes, self.revision)

    def watch(self, revision, wait_s):
        self.call_count += 1
        self.waits_s.append(wait_s)
        self._check()
        update = self._update_since(revision)
        if not update.changes:
            self.waiting_count += 1
            try:
                with eventlet.Timeout(wait_s, False):
                    self.changed.wait()
            finally:
                self.waiting_count -= 1
        self._check()
        return self._update_since(revision)


def free_address():
    """Return a loopback address that is not in use."""
    listener = eventlet.listen(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    listener.close()
    return f"127.0.0.1:{port}"


def settings_text(**addresses):
    """Return the text of a settings file of an instance."""
    names = (
        "callers_address",
        "readiness_address",
        "peers_address",
        "locate_address",
    )
    lines = ["[instance]", "name = one", "data_centre = here"]
    for name in names:
        lines.append(f"{name} = {addresses.get(name) or free_address()}")
    lines += ["[store]", "address = 127.0.0.1:1", "[drain]", "grace_s = 3"]
    lines += ["[retries]", "budget_ratio = 0.2", "budget_extra_count = 10000"]
    return "\n".join(lines) + "\n"


class GatewayPath:
    """An instance with two backend servers for reads and two for orders."""

    def __init__(self, config=None, settings_path=None, extra_settings=""):
        self.backends = {
            name: [RawBackend(ID_HEADER), RawBackend(ID_HEADER)]
            for name in (READS, ORDERS)
        }
        entries = [
            ServerEntry(f"{name}-{index}", name, backend.address, "here", 4, False)
            for name, backends in self.backends.items()
            for index, backend in enumerate(backends)
        ]
        self.source = FakeSource(config or configuration(), *entries)
        self.callers_address = free_address()
        self.settings_text = settings_text(callers_address=self.callers_address)
        self.settings_text += extra_settings
        settings = parse_gateway_settings(self.settings_text)
        settings_file = None
        if settings_path is not None:
            settings_path.write_text(self.settings_text)
            settings_file = SettingsFile(str(settings_path))
        # Log lines are discarded: the tests examine sockets.
        self.reader, self.writer = socket.socketpair()
        self.event_log = EventLog(self.writer.fileno())
        self.instance = GatewayInstance(
            settings,
            FakeDialect(),
            self.source,
            self.event_log,
            settings_file,
        )
        self.instance.start()
        self.waiter = eventlet.spawn(self.instance.wait)
        with eventlet.Timeout(ANSWER_TIMEOUT_S):
            while not self.instance.is_ready:
                eventlet.sleep(0.01)

    def answer_all(self, service, answer):
        """Set the answer of all servers of a service, for all paths."""
        for backend in self.backends[service]:
            backend.answers = _Always(answer)

    def requests(self, service):
        """Return the requests that reached the servers of a service, without probes."""
        return [
            request
            for backend in self.backends[service]
            for request in backend.requests
            if request.path != HEALTH_PATH
        ]

    def remove_server(self, server_id):
        self.source.put(ServerRemoved(server_id))

    def connect(self, receive_buffer_bytes=None):
        """Return a new connection of a caller."""
        return Caller(self.callers_address, receive_buffer_bytes)

    def stop(self):
        self.waiter.kill()
        self.instance.stop()
        for backends in self.backends.values():
            for backend in backends:
                backend.stop()
        self.event_log.close()
        self.reader.close()
        self.writer.close()


class _Always:
    """Returns the same answer for every path except the health check."""

    def __init__(self, answer):
        self.answer = answer

    def get(self, path, default):
        return default if path == HEALTH_PATH else self.answer


def request_bytes(path, request_id="a", method="GET", body=None, **headers):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{ID_HEADER}: {request_id}"]
    lines += [f"{name.replace('_', '-')}: {text}" for name, text in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


class CallerAnswer:
    """An answer as received by a caller."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Caller:
    """A connection that sends raw bytes."""

    def __init__(self, address, receive_buffer_bytes=None):
        host, _, port = address.rpartition(":")
        self.sock = socket.socket()
        if receive_buffer_bytes is not None:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self.sock.connect((host, int(port)))
        self.reader = self.sock.makefile("rb")

    def send(self, data):
        self.sock.sendall(data)

    def answer(self, timeout_s=ANSWER_TIMEOUT_S):
        """Return the next answer, or None at the end of the connection."""
        with eventlet.Timeout(timeout_s):
            line = self.reader.readline()
            if not line:
                return None
            status = int(line.split()[1])
            headers = {}
            while (line := self.reader.readline().strip()) != b"":
                name, _, value = line.partition(b":")
                headers[name.decode().lower()] = value.strip().decode()
            body = self.reader.read(int(headers.get("content-length", 0)))
            return CallerAnswer(status, headers, body)

    def exchange(self, *args, **kwargs):
        self.send(request_bytes(*args, **kwargs))
        return self.answer()

    def close(self):
        self.reader.close()
        self.sock.close()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.close()
