"""Parts that the cases share: stand-ins of the platform, gateways, callers, records.

Everything runs on loopback addresses. The gateways are processes with the command of
the deploy file; the stand-ins and the callers run in the process of the case.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
READY_LIMIT_S = 20.0
GRACE_S = 6.0
HOST = "jepu9.example"
HEAD_LIMIT_BYTES = 65_536
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the small deployments of the users' pages.
BOUNDS = {"GraceS": GRACE_S, "BudgetRatio": 0.2, "BudgetExtra": 75, "BudgetWindowS": 10}


class Record:
    """Writes what is sent, answered and run to a file.

    Parameters
    ----------
    folder : pathlib.Path
        The folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_at_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the time since the start."""
        passed_s = time.monotonic() - self._began_at_s
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()


def random_prefix() -> str:
    """Return three random bytes of a loopback network, so that addresses are free."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


def free_port(ip: str) -> int:
    """Return a port that is free on an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Message:
    """The head of a request or an answer.

    Parameters
    ----------
    text : str
        The head without the empty line at its end.
    """

    def __init__(self, text: str) -> None:
        lines = text.split("\r\n")
        self.line = lines[0]
        self.fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.fields[name.strip().lower()] = value.strip()

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.line.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.line.split(" ")[1]

    @property
    def length(self) -> int | None:
        """The content length, or None."""
        text = self.fields.get("content-length")
        return int(text) if text is not None else None


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    return Message(data.decode("latin-1")[:-4])


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body."""
    pieces = []
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return b"".join(pieces)


class Store:
    """The platform's store: items with revisions, reads and watches.

    Parameters
    ----------
    ip : str
        The address to listen on.
    """

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.port = 0
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []

    @property
    def address(self) -> str:
        """HOST:PORT of the store."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key: str, document: dict) -> None:
        """Write an item."""
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {"Key": key, "Value": value, "Revision": self.revision}
        self.items[key] = item | {"Created": created, "Lease": 0}
        self.events.append(self.items[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self.events.append({"Key": key, "Revision": self.revision, "Removed": True})

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_message(reader)) is not None:
            url = urlsplit(request.target)
            pairs = parse_qs(url.query, keep_blank_values=True)
            query = {name: values[0] for name, values in pairs.items()}
            status, page = await self._answer(url.path, query)
            body = json.dumps(page).encode()
            head = (
                f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
        writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[str, dict]:
        prefix, after = query.get("PathPrefix", ""), query.get("after", "")
        if path == "/kv-key":
            item = self.items.get(query.get("Key", ""))
            found = {} if item is None else {**item, "At": self.revision}
            return ("200 OK", found) if found else ("404 Not Found", {})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            found = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return "200 OK", {"items": found, "HasMore": more, "At": self.revision}
        end_s = time.monotonic() + int(query.get("WaitMs", "0")) / 1_000
        while True:
            events = [
                event
                for event in self.events
                if event["Revision"] > int(after) and event["Key"].startswith(prefix)
            ]
            if events or time.monotonic() >= end_s:
                return "200 OK", {"events": events, "At": self.revision}
            await asyncio.sleep(0.01)


def rule(prefix: str, kind: str, service: str, timeout_s: float) -> dict:
    """Return a rule of a configuration."""
    return {
        "Name": f"r-{prefix.strip('/')}",
        "Kind": kind,
        "TargetLatencyS": 0.5,
        "Priority": 1,
        "Matcher": {"PathPrefix": prefix},
        "Action": {"Service": service, "TimeoutS": timeout_s, "MaxAttempts": 2},
    }


def configuration(version: int, rules: list[dict], services: list[str]) -> dict:
    """Return a configuration with the limits that the users' bench shows."""
    return {
        "Version": f"{version:08x}",
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutS": 3,
            "IdleTimeoutS": 15,
        },
        "Listeners": [{"Host": HOST, "Rules": rules}],
        "Clusters": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 300,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in services
        ],
    }


class Exchange:
    """One request at a server stand-in, and the way to answer it.

    Parameters
    ----------
    server : Server
        The server.
    request : Message
        The head of the request.
    reader, writer : asyncio streams
        The connection.
    """

    def __init__(
        self,
        server: "Server",
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.server = server
        self.request = request
        self.reader = reader
        self.writer = writer
        self.request_id = request.fields.get("x-request-id", "")

    async def read_body(self) -> bytes:
        """Read the whole body of the request."""
        if "chunked" in self.request.fields.get("transfer-encoding", ""):
            return await read_chunks(self.reader)
        return await self.reader.readexactly(self.request.length or 0)

    def head(self, status: str = "200 OK", length: int | None = 0) -> bytes:
        """Return the head of the server's answer."""
        lines = [
            f"HTTP/1.1 {status}",
            f"X-Request-Id: {self.request_id}",
            f"X-Server-Seal: {self.server.seal(self.request_id)}",
            f"X-Server-Load: {self.server.load()}",
        ]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def answer(self, body: bytes, status: str = "200 OK") -> None:
        """Write a whole answer."""
        self.writer.write(self.head(status, len(body)) + body)


class Server:
    """A sound backend server of one service.

    Parameters
    ----------
    ip : str
        The address to listen on.
    service : str
        The name of its service.
    record : Record
        Receives a line for each run.
    work : callable
        Runs a request and answers it.
    probe_s : float
        The time that a probe takes.
    """

    def __init__(
        self,
        ip: str,
        service: str,
        record: Record,
        work: Callable[[Exchange], Awaitable[None]],
        probe_s: float = 0.0,
    ) -> None:
        self.ip = ip
        self.service = service
        self.record = record
        self.work = work
        self.probe_s = probe_s
        self.server_id = f"i-{random.randbytes(4).hex()}"
        self.running = 0
        self.port = 0
        self.born_ms = int(time.time() * 1_000)
        self.runs: list[tuple[str, str]] = []
        # Called before a probe is answered.
        self.before_probe: Callable[[asyncio.StreamWriter], None] | None = None
        self.receive_buffer_bytes = 0

    def seal(self, request_id: str) -> str:
        """Return the seal of an answer."""
        return f"{self.server_id}.{request_id}"

    def load(self) -> str:
        """Return the value of the load header."""
        return f"{self.running},0,4,100"

    def document(self, state: str = "ready") -> dict:
        """Return the server's entry in the store."""
        return {
            "Address": f"{self.ip}:{self.port}",
            "Info": {
                "Service": self.service,
                "Version": "v1",
                "Zone": "buc-a",
                "Slots": 4,
            },
            "Status": {"State": state, "Sequence": 1, "WarmupLeftS": 0},
            "born": self.born_ms,
        }

    async def start(self, store: Store) -> None:
        """Listen, and register in the store."""
        sock = socket.socket()
        if self.receive_buffer_bytes:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes
            )
        sock.bind((self.ip, 0))
        await asyncio.start_server(self._serve, sock=sock)
        self.port = sock.getsockname()[1]
        store.put(f"servers/{self.server_id}", self.document())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                if request.target == "/health":
                    await self._answer_probe(writer)
                    continue
                await self._run(Exchange(self, request, reader, writer))
        writer.close()

    async def _answer_probe(self, writer: asyncio.StreamWriter) -> None:
        if self.before_probe is not None:
            self.before_probe(writer)
        if self.probe_s:
            await asyncio.sleep(self.probe_s)
        head = (
            f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.server_id}\r\n"
            f"X-Server-Load: {self.load()}\r\nContent-Length: 2\r\n\r\nok"
        )
        writer.write(head.encode())

    async def _run(self, exchange: Exchange) -> None:
        request = exchange.request
        target = request.fields.get("x-target-instance", self.server_id)
        if target != self.server_id:
            await exchange.read_body()
            exchange.answer(b"", "421 Misdirected Request")
            return
        self.runs.append((exchange.request_id, request.line))
        self.record(f"server {self.server_id} runs {request.line} {request.fields}")
        self.running += 1
        try:
            await self.work(exchange)
        finally:
            self.running -= 1


class Gateway:
    """One gateway as a process, started with the command of the deploy file.

    Parameters
    ----------
    index : int
        Its number.
    ip : str
        Its address.
    store : str
        HOST:PORT of the store.
    folder : pathlib.Path
        Receives its settings and its log.
    zone : str
        Its zone.
    """

    def __init__(
        self, index: int, ip: str, store: str, folder: Path, zone: str = "buc-a"
    ) -> None:
        self.ip = ip
        names = ("Front", "Ready", "Control", "Directory")
        self.listen = {name: f"{ip}:{free_port(ip)}" for name in names}
        self.settings = {
            "Node": f"front-{zone}-{index}",
            "Zone": zone,
            "Ip": ip,
            "Listen": self.listen,
            "Platform": {"Address": store},
            "Bounds": BOUNDS,
            "Seeds": "",
        }
        self._path = folder / f"gateway-{index}.ini"
        self.log_path = folder / f"gateway-{index}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Host and port for callers."""
        host, _, port = self.listen["Front"].rpartition(":")
        return host, int(port)

    async def start(self, seeds: list[str]) -> None:
        """Start the process."""
        self.settings["Seeds"] = ",".join(seeds)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        template = (ROOT / role["template"]).read_text()
        self._path.write_text(render(template, self.settings))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BERYLHAVEN_NODE_FILE": str(self._path),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check is answered with 200."""
        host, _, port = self.listen["Ready"].rpartition(":")
        end_s = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer is not None and answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError("a gateway isn't ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def render(template: str, values: dict) -> str:
    """Fill in a settings template; sections without a value are left out."""
    text = re.sub(r"(?s)\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}\n?", "", template)

    def value(match: re.Match) -> str:
        found: object = values
        for part in match[1].split("."):
            found = found[part]
        return str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Deployment:
    """A store, servers and gateways; all of them end with the `async with` block.

    Parameters
    ----------
    record : Record
        The record of the case.
    gateway_count : int
        The number of gateways.
    """

    def __init__(self, record: Record, gateway_count: int = 3) -> None:
        self.record = record
        self.prefix = random_prefix()
        self.store = Store(f"{self.prefix}.1")
        self.servers: list[Server] = []
        self.gateways: list[Gateway] = []
        self.rules: list[dict] = []
        self._gateway_count = gateway_count
        self._folder = tempfile.TemporaryDirectory(prefix="review-")

    def add_server(self, service: str, work: Callable, probe_s: float = 0.0) -> Server:
        """Add a server; before the start of the deployment."""
        ip = f"{self.prefix}.{100 + len(self.servers)}"
        server = Server(ip, service, self.record, work, probe_s)
        self.servers.append(server)
        return server

    async def __aenter__(self) -> "Deployment":
        """Start everything and wait until the gateways are ready."""
        await self.store.start()
        services = sorted({server.service for server in self.servers})
        self.store.put("op/config", configuration(7, self.rules, services))
        for server in self.servers:
            await server.start(self.store)
        folder = Path(self._folder.name)
        for index in range(self._gateway_count):
            ip = f"{self.prefix}.{10 + index}"
            self.gateways.append(Gateway(index, ip, self.store.address, folder))
        seeds = [gateway.listen["Control"] for gateway in self.gateways[:3]]
        try:
            for gateway in self.gateways:
                await gateway.start(seeds)
            for gateway in self.gateways:
                await gateway.wait_until_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        """End all processes and remove the temporary folder."""
        for gateway in self.gateways:
            await gateway.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                target = Path(keep) / gateway.log_path.name
                target.write_bytes(gateway.log_path.read_bytes())
        self._folder.cleanup()


class Answer:
    """What a caller received for one request.

    Parameters
    ----------
    head : Message or None
        The head; None if the connection ended before it.
    body : bytes
        The body as far as it came.
    is_complete : bool
        Whether the whole answer came.
    """

    def __init__(self, head: Message | None, body: bytes, is_complete: bool) -> None:
        self.head = head
        self.body = body
        self.is_complete = is_complete

    @property
    def status(self) -> int:
        """The status; 0 without an answer."""
        return self.head.status if self.head else 0

    def __str__(self) -> str:
        """Return the answer for the record."""
        if self.head is None:
            return "no answer, the connection ended"
        end = "complete" if self.is_complete else "cut"
        return (
            f"{self.head.line!r} {self.head.fields} body {len(self.body)} bytes, "
            f"{end}, {self.body[:60]!r}"
        )


class Caller:
    """One connection of a client.

    Parameters
    ----------
    record : Record
        The record of the case.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, address: tuple[str, int]) -> "Caller":
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(
            *address, limit=HEAD_LIMIT_BYTES
        )
        self.writer.transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        return self

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    def send(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b"",
        length: int | None = None,
    ) -> None:
        """Send a request, or only the first part of its body if a length is given."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]
        if method == "POST":
            lines.append(f"Content-Length: {len(body) if length is None else length}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.writer.write(head.encode() + body)
        self.record(f"client sends {method} {path} {request_id}")

    async def receive(self, request_id: str) -> Answer:
        """Read the next answer, which is that to a request."""
        answer = await self._receive()
        self.record(f"client gets for {request_id}: {answer}")
        return answer

    async def _receive(self) -> Answer:
        head = await read_message(self.reader)
        if head is None:
            return Answer(None, b"", False)
        try:
            return Answer(head, await self.reader.readexactly(head.length or 0), True)
        except asyncio.IncompleteReadError as error:
            return Answer(head, error.partial, False)
        except OSError:
            return Answer(head, b"", False)


def new_id() -> str:
    """Return a new request id."""
    return random.randbytes(8).hex()


def main(run: Callable[[Record], Awaitable[int]], script: str) -> None:
    """Run a case and exit with its result: 1 broken, 0 held, 2 could not run."""
    # Connections that are open at the end are closed without a word.
    sys.unraisablehook = lambda _: None
    record = Record(Path(script).resolve().parent)
    record(f"trouble: {WITH_TROUBLE}")
    try:
        result = asyncio.run(asyncio.wait_for(run(record), 110.0))
    except Exception as error:
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        result = 2
    verdict = {0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "no result"}[result]
    record(verdict)
    print(verdict)
    sys.exit(result)
