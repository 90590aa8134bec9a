"""Starts gateways, a metadata store and backend servers as processes."""

import base64
import contextlib
import os
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import orjson
import urllib3

from standins.fleet import (
    HOST,
    HTTP_STATUS_OK,
    POLL_S,
    START_TIMEOUT_S,
    STOP_TIMEOUT_S,
    free_ports,
)
from standins.fleet_configuration import (
    ORDERS,
    READS,
    ROUTES_HOST,
    configuration_value,
    server_value,
)
from standins.product_tree import export_tree

PORTS_PER_GATEWAY = 5
PORTS_PER_PROXY = 2
LOCATE_TIMEOUT_S = 1.0
GRACE_S = 4.0
SERVERS_PER_SERVICE = 3


@dataclass(slots=True)
class GatewayProcess:
    """One gateway process and its ports."""

    # The ports for callers, readiness, peers, locate requests and metrics, in this
    # order.
    ports: list[int]
    # The path of its settings file.
    settings_path: Path
    # The process; None before the first start.
    process: subprocess.Popen | None = None
    # The root of the tree whose build it starts next; empty for the current tree.
    tree: Path = Path()

    def address(self, index: int = 0) -> str:
        """Return HOST:PORT of one of its ports."""
        return f"{HOST}:{self.ports[index]}"


@dataclass(slots=True)
class GatewayFleet:
    """A store, two services and some gateways, stopped when the ``with`` block ends."""

    # The number of gateways.
    gateway_count: int = 3
    # Whether each server, and for each gateway the store, is reached through a
    # fault proxy.
    has_proxies: bool = False
    # The time a server takes for one request, in seconds.
    work_s: float = 0.02
    # The number of servers of each of the two services.
    servers_per_service: int = SERVERS_PER_SERVICE
    # The slots of each server, and the share of the time in which it is slow.
    slot_count: int = 4
    slow_share: float = 0.25
    # The grace period of the gateways, in seconds.
    grace_s: float = GRACE_S
    # The timeout of all routes, in seconds.
    timeout_s: float = 2.0
    # The bytes that each gateway may hold; None for its default.
    held_limit_bytes: int | None = None
    # The kind of bytes without end that the store of each gateway sends once it is
    # switched on; empty for the ordinary store.
    endless_store_kind: str = ""
    # The gateways.
    gateways: list[GatewayProcess] = field(default_factory=list)
    # HOST:PORT of each server, by service.
    servers: dict[str, list[str]] = field(default_factory=dict)
    # HOST:PORT of the store.
    store: str = ""
    # HOST:PORT of the control port of each proxy.
    proxies: list[str] = field(default_factory=list)
    # HOST:PORT of the store as the gateways reach it, if it may send without end.
    endless_stores: list[str] = field(default_factory=list)
    _standins: list[subprocess.Popen] = field(default_factory=list)
    _directory: Path | None = None

    def __enter__(self) -> "GatewayFleet":
        """Start all processes and wait until the gateways are ready."""
        self._directory = Path(tempfile.mkdtemp(prefix="berylhaven-gateways-"))
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        """Stop all processes."""
        self.stop()

    def _start(self) -> None:
        server_count = 2 * self.servers_per_service
        port_count = 1 + server_count + PORTS_PER_GATEWAY * self.gateway_count
        if self.endless_store_kind:
            port_count += self.gateway_count
        if self.has_proxies:
            port_count += PORTS_PER_PROXY * (server_count + self.gateway_count)
        ports = free_ports(port_count)
        self.store = f"{HOST}:{ports.pop()}"
        self._start_standin("metadata_store", *_host_and_port(self.store))
        wait_until(
            lambda: self._status(f"http://{self.store}/counters") == HTTP_STATUS_OK
        )
        self.publish(1, self.timeout_s)
        for service in (READS, ORDERS):
            addresses = [
                f"{HOST}:{ports.pop()}" for _ in range(self.servers_per_service)
            ]
            self.servers[service] = addresses
            for address in addresses:
                registered = self._proxied(address, ports)
                self._start_server(service, address, registered)
        for index in range(self.gateway_count):
            gateway_ports = [ports.pop() for _ in range(PORTS_PER_GATEWAY)]
            path = self._directory / f"gateway-{index}.ini"
            self.gateways.append(GatewayProcess(gateway_ports, path))
        for index, gateway in enumerate(self.gateways):
            if self.endless_store_kind:
                store = self._endless_store(ports)
            else:
                store = self._proxied(self.store, ports)
            gateway.settings_path.write_text(self._settings_text(index, gateway, store))
            self.start_gateway(gateway)
        for gateway in self.gateways:
            self.wait_until_ready(gateway)

    def _proxied(self, target: str, ports: list[int]) -> str:
        """Start a proxy and return its address; without proxies return the target."""
        if not self.has_proxies:
            return target
        port, control_port = ports.pop(), ports.pop()
        address = f"{HOST}:{port}"
        control = f"{HOST}:{control_port}"
        host_and_port = _host_and_port(address)
        control_argument = f"--control_port={control_port}"
        arguments = (*host_and_port, control_argument, f"--target={target}")
        self._start_standin("fault_proxy", *arguments)
        wait_until(lambda: self._status(f"http://{control}/faults") == HTTP_STATUS_OK)
        self.proxies.append(control)
        return address

    def _endless_store(self, ports: list[int]) -> str:
        """Start a store that can send without end; return its address."""
        address = f"{HOST}:{ports.pop()}"
        self._start_standin(
            "endless_sender",
            "store",
            address,
            self.endless_store_kind,
            self.store,
        )
        wait_until(lambda: self._status(f"http://{address}/kv-range") == HTTP_STATUS_OK)
        self.endless_stores.append(address)
        return address

    def _start_server(self, service: str, address: str, registered: str) -> None:
        self._start_standin(
            "route_server",
            *_host_and_port(address),
            f"--store={self.store}",
            f"--service={service}",
            "--data_centre=here",
            f"--work_s={self.work_s}",
            f"--slot_count={self.slot_count}",
            f"--slow_share={self.slow_share}",
            f"--registered_address={registered}",
            f"--proxy_control={self.proxies[-1] if self.has_proxies else ''}",
        )

    def _start_standin(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", f"standins.{module}", *arguments]
        self._standins.append(
            subprocess.Popen(command, stderr=subprocess.DEVNULL, process_group=0)
        )

    def _settings_text(self, index: int, gateway: GatewayProcess, store: str) -> str:
        names = (
            "callers_address",
            "readiness_address",
            "peers_address",
            "locate_address",
            "metrics_address",
        )
        lines = ["[instance]", f"name = gateway-{index}", "data_centre = here"]
        lines += [f"{name} = {gateway.address(i)}" for i, name in enumerate(names)]
        lines.append(f"seed_peers = {self.gateways[0].address(2)}")
        lines += ["[store]", f"address = {store}"]
        if self.held_limit_bytes is not None:
            lines += ["[memory]", f"held_limit_bytes = {self.held_limit_bytes}"]
        lines += ["[drain]", f"grace_s = {self.grace_s}", ""]
        return "\n".join(lines)

    def start_gateway(self, gateway: GatewayProcess) -> None:
        """Start a gateway's process; its log is written next to its settings."""
        log_path = gateway.settings_path.with_suffix(".log")
        with log_path.open("ab") as log:
            gateway.process = subprocess.Popen(
                [sys.executable, str(gateway.tree / "platform/run.py")],
                env={
                    **os.environ,
                    "BERYLHAVEN_NODE_FILE": str(gateway.settings_path),
                },
                stdout=log,
                stderr=log,
                process_group=0,
            )

    def export_tree(self, commit: str) -> Path:
        """Copy the product as of a commit into the fleet's folder; return its root."""
        return export_tree(commit, self._directory)

    def wait_until_ready(self, gateway: GatewayProcess) -> None:
        """Wait until a gateway reports that it is ready for callers."""
        url = f"http://{gateway.address(1)}/ready"
        wait_until(lambda: self._status(url) == HTTP_STATUS_OK)

    def compact_store_history(self) -> None:
        """Make the store drop its change history."""
        urllib3.request("POST", f"http://{self.store}/forget")

    def copy_store(self) -> None:
        """Make the store copy its state for `restore_store`."""
        urllib3.request("POST", f"http://{self.store}/copy")

    def restore_store(self, pause_s: float) -> None:
        """Return the store to its copy; what it had lists it again after a pause."""
        items = []
        page = {"HasMore": True}
        while page["HasMore"]:
            after = items[-1]["Key"] if items else ""
            query = f"PathPrefix=&after={after}"
            answer = urllib3.request("GET", f"http://{self.store}/kv-range?{query}")
            page = orjson.loads(answer.data)
            items += page.get("items", [])
            if "items" not in page:
                # Another fault makes the store refuse reads.
                return
        urllib3.request("POST", f"http://{self.store}/restore")
        time.sleep(pause_s)
        for item in items:
            url = f"http://{self.store}/items/{item['Key']}"
            value = base64.b64decode(item["Value"])
            urllib3.request("PUT", url, body=value)

    def server_info(self, address: str) -> dict:
        """Return a server's id and the start time of its last request."""
        return orjson.loads(urllib3.request("GET", f"http://{address}/self").data)

    def cut_from_servers(
        self, gateways: list[GatewayProcess], hangs: bool = False
    ) -> None:
        """Cut gateways off from all servers; an empty list ends the cut."""
        pids = [gateway.process.pid for gateway in gateways]
        for proxy in self.proxies[: 2 * self.servers_per_service]:
            self.set_faults(proxy, cut_pids=pids, cut_hangs=hangs)

    def end_server(self, address: str) -> None:
        """End a server without warning; it starts again under another id."""
        urllib3.request("POST", f"http://{address}/end")

    def crashing_runs(self) -> dict[str, list[float]]:
        """Return the starts of the runs of crashing requests, in order, by path."""
        found: dict[str, list[float]] = {}
        for addresses in self.servers.values():
            for address in addresses:
                runs = self.server_info(address)["crashing_runs"]
                for path, starts_s in runs.items():
                    found[path] = sorted(found.get(path, []) + starts_s)
        return found

    def mark_draining(self, service: str, address: str) -> None:
        """Set a server's state in the store to draining: it accepts no new requests."""
        server_id = self.server_info(address)["id"]
        url = f"http://{self.store}/items/servers/{server_id}"
        value = server_value(service, address, "here", state="draining")
        urllib3.request("PUT", url, body=value)

    def publish(
        self, version: int, timeout_s: float = 2.0, added_prefix: str = ""
    ) -> None:
        """Write a routing configuration to the store."""
        value = configuration_value(version, timeout_s, added_prefix)
        urllib3.request("PUT", f"http://{self.store}/items/op/config", body=value)

    def set_faults(self, address: str, **faults: object) -> None:
        """Set fault switches of the stand-in at an address."""
        body = orjson.dumps(faults)
        urllib3.request("POST", f"http://{address}/faults", body=body)

    def locate(self, gateway: GatewayProcess) -> list[str]:
        """Return the addresses that a gateway gives in its locate answer."""
        url = f"http://{gateway.address(3)}/resolve"
        answer = urllib3.request(
            "GET",
            f"{url}?Name={ROUTES_HOST}&Zone=here",
            timeout=LOCATE_TIMEOUT_S,
            retries=False,
        )
        return orjson.loads(answer.data)["Addresses"]

    def runs(self, service: str) -> dict[str, int]:
        """Return the number of runs by request id, summed over a service's servers."""
        counts: dict[str, int] = {}
        for address in self.servers[service]:
            answer = urllib3.request("GET", f"http://{address}/runs")
            for request_id, count in orjson.loads(answer.data).items():
                counts[request_id] = counts.get(request_id, 0) + count
        return counts

    def arrivals(self) -> dict[str, list[dict]]:
        """Return what all servers recorded of each request, by request id."""
        found: dict[str, list[dict]] = {}
        for addresses in self.servers.values():
            for address in addresses:
                answer = urllib3.request("GET", f"http://{address}/arrivals")
                for request_id, arrivals in orjson.loads(answer.data).items():
                    found.setdefault(request_id, []).extend(arrivals)
        return found

    def log_text(self, gateway: GatewayProcess) -> str:
        """Return the text of a gateway's log."""
        return gateway.settings_path.with_suffix(".log").read_text()

    def stop(self) -> None:
        """Kill the processes that this fleet started and remove its files."""
        started = [g.process for g in self.gateways if g.process] + self._standins
        for process in started:
            if process.poll() is None:
                process.kill()
        for process in started:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(STOP_TIMEOUT_S)
        if self._directory is not None:
            shutil.rmtree(self._directory, ignore_errors=True)

    @staticmethod
    def _status(url: str) -> int:
        try:
            return urllib3.request("GET", url, retries=False, timeout=1.0).status
        except urllib3.exceptions.HTTPError:
            return 0


def _host_and_port(address: str) -> tuple[str, str]:
    host, _, port = address.rpartition(":")
    return f"--host={host}", f"--port={port}"


def wait_until(
    condition: Callable[[], bool], timeout_s: float = START_TIMEOUT_S
) -> None:
    """Poll a condition until it holds; raise TimeoutError after the timeout."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError(f"the condition did not hold within {timeout_s} s")
        time.sleep(POLL_S)
