"""Gateway instances with peers' ports, between callers and raw backend servers."""

import contextlib
import socket
import unittest.mock

import eventlet

from berylhaven.event_log import EventLog
from berylhaven.gateway import (
    GatewayInstance,
    PeersApplication,
    ServerEntry,
    ServerRemoved,
    parse_gateway_settings,
)
from berylhaven.gateway.tests._gateway_path import (
    ANSWER_TIMEOUT_S,
    ID_HEADER,
    ORDERS,
    READS,
    Caller,
    FakeDialect,
    FakeSource,
    configuration,
    free_address,
    settings_text,
)
from berylhaven.http1 import ConnectionPool, serve
from berylhaven.http1.tests._raw_backend import RawBackend

CONNECTIONS_LIMIT = 64
SOCKET_TIMEOUT_S = 10.0


class FleetMember:
    """One instance of the fleet with its addresses and log."""

    def __init__(self, source, index, seed):
        self.callers_address = free_address()
        self.peers_address = seed if index == 0 else free_address()
        text = settings_text(
            callers_address=self.callers_address, peers_address=self.peers_address
        ).replace("name = one", f"name = gateway-{index}\nseed_peers = {seed}")
        self._reader, self._writer = socket.socketpair()
        self._event_log = EventLog(self._writer.fileno())
        self.log = b""
        self.instance = GatewayInstance(
            parse_gateway_settings(text),
            FakeDialect(),
            source,
            self._event_log,
        )
        host, _, port = self.peers_address.rpartition(":")
        application = PeersApplication(self.instance)
        self._server = serve(
            host,
            int(port),
            application,
            CONNECTIONS_LIMIT,
            SOCKET_TIMEOUT_S,
            body_limit_bytes=PeersApplication.BODY_LIMIT_BYTES,
        )
        self.instance.start()
        self._threads = [
            eventlet.spawn(self.instance.wait),
            eventlet.spawn(self._read_log),
        ]

    def _read_log(self):
        while data := self._reader.recv(65_536):
            self.log += data

    def stop(self):
        for thread in [*self._threads, self._server]:
            thread.kill()
        self.instance.stop()
        self._event_log.close()
        self._reader.close()
        self._writer.close()


class GatewayFleet:
    """Instances of one data centre, and backend servers for reads and orders.

    Parameters
    ----------
    count : int
        The number of instances.
    server_count : int
        The number of backend servers.
    config : RoutingConfiguration or None
        The configuration; None for one route of each kind.
    """

    def __init__(self, count, server_count, config=None):
        self._next_server = 0
        self.backends = {}
        self.source = FakeSource(config or configuration())
        for service in (READS, ORDERS):
            self.source.snapshot += [
                self._new_server(service) for _ in range(server_count)
            ]
        self._seed = free_address()
        self.members = []
        for _ in range(count):
            self.add_member()
        with eventlet.Timeout(ANSWER_TIMEOUT_S):
            while any(
                member.instance._members.peak_count < count for member in self.members
            ):
                eventlet.sleep(0.01)

    def _new_server(self, service=READS):
        server_id = f"{service}-{self._next_server}"
        self._next_server += 1
        backend = self.backends[server_id] = RawBackend(ID_HEADER)
        return ServerEntry(server_id, service, backend.address, "here", 4, False)

    def add_member(self):
        """Start another instance and wait until it is ready."""
        member = FleetMember(self.source, len(self.members), self._seed)
        self.members.append(member)
        with eventlet.Timeout(ANSWER_TIMEOUT_S):
            while not member.instance.is_ready:
                eventlet.sleep(0.01)
        return member

    def replace_server(self, server_id):
        """End a server without warning and list a new one in its place."""
        backend = self.backends.pop(server_id)
        for sock in backend.open_sockets:
            with contextlib.suppress(OSError):
                # Requests that it is running break now.
                sock.shutdown(socket.SHUT_RDWR)
        backend.stop()
        entry = self._new_server()
        self.source.snapshot = [
            old
            for old in self.source.snapshot
            if getattr(old, "server_id", None) != server_id
        ] + [entry]
        self.source.put(ServerRemoved(server_id), entry)

    def exchange(self, index, *args, **kwargs):
        """Send a request to an instance on a new connection; return the answer."""
        with Caller(self.members[index].callers_address) as caller:
            return caller.exchange(*args, **kwargs)

    def requests(self, path):
        """Return the number of requests that reached servers for a path."""
        return sum(backend.count_requests(path) for backend in self.backends.values())

    def stop(self):
        for member in self.members:
            member.stop()
        for backend in self.backends.values():
            backend.stop()


class ServerCut:
    """Cuts instances off from all servers, but not from callers and one another.

    Parameters
    ----------
    is_silent : bool
        Whether connections to servers are accepted and then hang; otherwise they are
        refused.
    """

    # Nothing listens at the ports of the servers there.
    ELSEWHERE = "127.0.0.2"

    def __init__(self, is_silent):
        self._is_silent = is_silent
        self._pools = set()
        self._listeners = {}

    def __enter__(self):
        acquire = ConnectionPool.acquire

        def acquire_elsewhere(pool, address, *args, **kwargs):
            if pool in self._pools:
                address = self._elsewhere(address)
            return acquire(pool, address, *args, **kwargs)

        self._patch = unittest.mock.patch.object(
            ConnectionPool, "acquire", acquire_elsewhere
        )
        self._patch.start()
        return self

    def __exit__(self, *error):
        self._patch.stop()
        for listener in self._listeners.values():
            listener.close()

    def _elsewhere(self, address):
        port = int(address.rpartition(":")[2])
        if self._is_silent and port not in self._listeners:
            self._listeners[port] = eventlet.listen((self.ELSEWHERE, port))
        return f"{self.ELSEWHERE}:{port}"

    def begin(self, *members):
        """Cut members off; the connections that they have open hang too."""
        self._pools |= {member.instance._forwarder._runner._pool for member in members}

    def end(self):
        """Let all members reach the servers again."""
        self._pools.clear()
