"""Stand-ins and entry instances in one process, for end-to-end tests."""

import eventlet
import orjson
import urllib3

from berylhaven.entry import EntryInstance
from berylhaven.settings import parse_settings
from standins._program import serve_socket
from standins.backend_server import BackendServerStandIn
from standins.configuration_service import ConfigurationServiceStandIn
from standins.fleet import free_ports
from standins.instance_list import InstanceListStandIn

CATALOGUE = b"""\
[fleet]
max_entry_instances = 4

[firm carpatic]
guaranteed_share_ratio = 0.5

[firm kivu]
guaranteed_share_ratio = 0.5

[service positions]
owner = carpatic
class = interactive
concurrency_limit = 256
rate_limit_per_s = 5000
deadline_ms = 2000
body_limit_bytes = 100000
idempotent = GET /*

[service bookings]
owner = kivu
class = transaction
concurrency_limit = 256
rate_limit_per_s = 5000
deadline_ms = 2000
body_limit_bytes = 100000
"""

SETTINGS = """\
[instance]
host = 127.0.0.1
callers_port = {ports[0]}
peers_port = {ports[1]}
operators_port = {ports[2]}
data_centre = {data_centre}
firm = {firm}
seed_peers = {seeds}
[platform]
configuration_service = 127.0.0.1:{configuration_port}
instance_list = 127.0.0.1:{list_port}
[log]
level = error
"""

CONDITION_WAIT_LIMIT_S = 15.0
PORTS_PER_ENTRY = 3


class LocalFleet:
    """A small fleet on loopback ports.

    The kernel assigns the stand-ins' ports. The instances' ports, which their settings
    name before they listen, lie outside the range from which it assigns.
    """

    # The catalogue published at the start; subclasses may replace it.
    catalogue = CATALOGUE

    def __init__(self, entry_count=3, servers_per_service=2):
        self.threads = []
        self.http = urllib3.PoolManager(retries=False, maxsize=128)
        self.configuration = ConfigurationServiceStandIn()
        self.configuration.put("berylhaven%2Fcatalogue", self.catalogue)
        self.configuration_port = self.serve(self.configuration)
        self.backends = {}
        rows = []
        for service in ("positions", "bookings"):
            for _ in range(servers_per_service):
                rows.append(self._start_backend(service))
        self.instance_list = InstanceListStandIn(
            {"backend_servers": rows, "entry_instances": []}
        )
        self.list_port = self.serve(self.instance_list)
        # In one call, so that no port is returned twice.
        ports = free_ports(PORTS_PER_ENTRY * entry_count)
        self.ports = [
            ports[start : start + PORTS_PER_ENTRY]
            for start in range(0, len(ports), PORTS_PER_ENTRY)
        ]
        self.instances = [self.start_entry(i) for i in range(entry_count)]

    def serve(self, application):
        listener = eventlet.listen(("127.0.0.1", 0), backlog=512)
        self.threads.append(eventlet.spawn(serve_socket, listener, application))
        return listener.getsockname()[1]

    def _start_backend(self, service):
        standin = BackendServerStandIn(service)
        address = f"127.0.0.1:{self.serve(standin)}"
        self.backends[address] = standin
        return {
            "address": address,
            "service": service,
            "data_centre": "a",
            "slot_count": 4,
            "incarnation": 1,
            "state": "live",
        }

    def start_entry(self, index):
        seeds = ", ".join(f"127.0.0.1:{ports[1]}" for ports in self.ports)
        settings = parse_settings(
            SETTINGS.format(
                ports=self.ports[index],
                data_centre="abc"[index % 3],
                firm="carpatic" if index % 2 == 0 else "kivu",
                seeds=seeds,
                configuration_port=self.configuration_port,
                list_port=self.list_port,
            )
        )
        instance = EntryInstance(settings)
        instance.start()
        return instance

    def wait_until(self, condition):
        """Wait for a condition; raise AssertionError if the wait limit is exceeded."""
        with eventlet.Timeout(
            CONDITION_WAIT_LIMIT_S, AssertionError("condition not met in time")
        ):
            while not condition():
                eventlet.sleep(0.02)

    def wait_until_ready(self):
        def ready():
            for instance in self.instances:
                status = instance.status()
                live = [p for p in status["peers"] if p["is_ready"]]
                if len(live) < len(self.instances) - 1 or not status["catalogue"]:
                    return False
                servers = status["backend_servers"]
                if not servers or not all(servers.values()):
                    return False
            return True

        self.wait_until(ready)

    def get(self, index, path, port=0, **options):
        return self.request("GET", index, path, port, **options)

    def request(self, method, index, path, port=0, **options):
        url = f"http://127.0.0.1:{self.ports[index][port]}{path}"
        return self.http.request(method, url, timeout=5.0, **options)

    def locate(self, index, service):
        answer = self.get(index, f"/v1/entries?service={service}&data_centre=a")
        return orjson.loads(answer.data)

    def stop(self):
        for instance in self.instances:
            instance.stop()
        for thread in self.threads:
            thread.kill()
