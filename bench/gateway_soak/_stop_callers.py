"""Callers that keep using their connections to gateways while these are stopped."""

import contextlib
import http.client
import io
import random
import socket
import time
from dataclasses import dataclass

import eventlet

from bench.gateway_soak._loss_rules import NOT_RUN_STATUSES, SentRequest
from standins.gateway_fleet import ROUTES_HOST, GatewayFleet

# The times of work at the servers by length, in seconds.
WORK_RANGES_S = {"short": (0.002, 0.02), "middle": (0.02, 0.5), "long": (0.5, 4.5)}
# What a caller that pipelines sends in each batch, in any order.
PIPELINED_LENGTHS = ("short", "middle", "long", "middle")
# What a caller sends that asks for a close with its first request.
CLOSING_LENGTHS = ("middle", "middle")
SINGLE_LENGTHS = ("short", "short", "middle", "middle", "long")
# Deadlines of callers in seconds; most leave the time to the route.
DEADLINES_S = (4.0, 6.0, 10.0, 10.0, 10.0)
KINDS = ("read", "read", "read", "order", "upload")
UPLOAD_BYTES_RANGE = (60_000, 400_000)
UPLOAD_PIECE_BYTES = 40_000
UPLOAD_PAUSE_LIMIT_S = 0.1
# The part of the connections on which large answers are read slowly.
SLOW_RATIO = 0.1
LARGE_ANSWER_BYTES = 3_000_000
SLOW_READ_BYTES = 200_000
SLOW_READ_PAUSE_S = 0.03
SLOW_RECEIVE_BUFFER_BYTES = 32_768
THINK_LIMIT_S = 0.1
# The part of the connections that the preferred gateway gets for sure.
PREFERRED_RATIO = 0.7
CONNECT_TIMEOUT_S = 1.0
# For how long a caller avoids an address that refused a connection or a request.
AVOIDANCE_S = 0.2
# How long a caller waits beyond its deadline.
ANSWER_SLACK_S = 1.0
TICK_S = 0.02
ADDED_HEADERS = "X-Work-Ms: {work_ms:.0f}\r\nX-Answer-Bytes: {answer_bytes}\r\n"


class StopCallers:
    """Sends requests on kept, new and pipelining connections to gateways.

    Parameters
    ----------
    fleet : GatewayFleet
        The running fleet.
    seed : int
        The seed of the requests and their times.
    caller_count : int
        The number of callers that wait for each answer: half of them keep their
        connections, the others open one for each request.
    pipelining_count : int
        The number of callers that send batches of four requests.
    preferred : str
        HOST:PORT of a gateway that gets most of the connections; empty for none.
    closing_count : int
        The number of callers that send ``Connection: close`` with a request and
        another request behind it.
    slow_ratio : float
        The part of the connections on which large answers are read slowly.
    """

    __slots__ = (
        "requests",
        "max_delay_s",
        "_fleet",
        "_preferred",
        "_slow_ratio",
        "_ticks_s",
        "_threads",
    )

    def __init__(
        self,
        fleet: GatewayFleet,
        seed: int,
        caller_count: int,
        pipelining_count: int,
        preferred: str = "",
        closing_count: int = 0,
        slow_ratio: float = SLOW_RATIO,
    ) -> None:
        self._slow_ratio = slow_ratio
        self._fleet = fleet
        self._preferred = preferred
        # All requests, in the order of their first bytes.
        self.requests: list[SentRequest] = []
        # The longest delay of these callers' own hub, in seconds.
        self.max_delay_s = 0.0
        self._ticks_s = (time.monotonic(),) * 2
        self._threads = [eventlet.spawn(self._tick)]
        behaviours = [_Behaviour(keeps=not index % 2) for index in range(caller_count)]
        behaviours += [_Behaviour(PIPELINED_LENGTHS)] * pipelining_count
        behaviours += [_Behaviour(CLOSING_LENGTHS, asks_for_close=True)] * closing_count
        for index, behaviour in enumerate(behaviours):
            name = f"c{index}"
            source = random.Random(f"{seed}/{name}")
            self._threads.append(eventlet.spawn(self._call, name, source, behaviour))

    def stop(self) -> None:
        """Stop all callers at once; what they wait for stays without an end."""
        for thread in self._threads:
            thread.kill()

    def earliest_s(self) -> float:
        """Return a time before anything that this program notices now."""
        return self._ticks_s[0]

    def _tick(self) -> None:
        while True:
            eventlet.sleep(TICK_S)
            now_s = time.monotonic()
            self.max_delay_s = max(self.max_delay_s, now_s - self._ticks_s[1] - TICK_S)
            self._ticks_s = (self._ticks_s[1], now_s)

    def _call(self, name: str, source: random.Random, behaviour: "_Behaviour") -> None:
        avoided_until_s: dict[str, float] = {}
        number = 0
        while True:
            eventlet.sleep(source.uniform(0, THINK_LIMIT_S))
            address = self._choose_address(source, avoided_until_s)
            if address is None:
                # Attempts without a pause would make the callers themselves late.
                eventlet.sleep(AVOIDANCE_S)
                continue
            reads_slowly = not behaviour.lengths and source.random() < self._slow_ratio
            number += 1
            try:
                connection = _Connection(f"{name}-{number}", address, reads_slowly)
            except OSError:
                avoided_until_s[address] = time.monotonic() + AVOIDANCE_S
                continue
            with contextlib.closing(connection):
                while (
                    self._send_batch(connection, source, behaviour) and behaviour.keeps
                ):
                    eventlet.sleep(source.uniform(0, THINK_LIMIT_S))
                if connection.is_refused:
                    avoided_until_s[address] = time.monotonic() + AVOIDANCE_S

    def _choose_address(
        self, source: random.Random, avoided_until_s: dict[str, float]
    ) -> str | None:
        addresses = [gateway.address() for gateway in self._fleet.gateways]
        now_s = time.monotonic()
        free = [a for a in addresses if avoided_until_s.get(a, 0.0) <= now_s]
        if self._preferred in free and source.random() < PREFERRED_RATIO:
            return self._preferred
        return source.choice(free) if free else None

    def _send_batch(
        self,
        connection: "_Connection",
        source: random.Random,
        behaviour: "_Behaviour",
    ) -> bool:
        """Send requests and read their answers; False if the connection has ended."""
        lengths = [source.choice(SINGLE_LENGTHS)]
        if behaviour.lengths:
            lengths = source.sample(behaviour.lengths, len(behaviour.lengths))
        batch = []
        for index, length in enumerate(lengths):
            kind = "read" if behaviour.lengths else source.choice(KINDS)
            deadline_s = source.choice(DEADLINES_S)
            request = SentRequest(
                request_id=f"{source.getrandbits(64):016x}",
                kind="large" if connection.reads_slowly else kind,
                gateway=connection.address,
                connection=connection.name,
                position=connection.request_count + index,
                is_behind=index > 0,
                limit_s=min(deadline_s, self._fleet.timeout_s),
            )
            batch.append(request)
            self.requests.append(request)
            connection.send(
                request,
                source,
                source.uniform(*WORK_RANGES_S[length]),
                behaviour.asks_for_close and index == 0,
            )
        connection.request_count += len(batch)
        stays = True
        for request in batch:
            if stays:
                stays = connection.read_answer(request)
            request.ended_after_s = self.earliest_s()
            request.ended_s = time.monotonic()
        return stays


@dataclass(slots=True, frozen=True)
class _Behaviour:
    """How a caller uses its connections."""

    # The lengths of the requests that it sends at once; empty if it waits for each
    # answer.
    lengths: tuple[str, ...] = ()
    # Whether it uses a connection for further requests.
    keeps: bool = True
    # Whether the first of these requests asks for a close.
    asks_for_close: bool = False


class _Connection:
    """A caller's connection to a gateway."""

    __slots__ = (
        "name",
        "address",
        "reads_slowly",
        "request_count",
        "is_refused",
        "_socket",
        "_reader",
    )

    def __init__(self, name: str, address: str, reads_slowly: bool) -> None:
        self.name = name
        self.address = address
        self.reads_slowly = reads_slowly
        self.request_count = 0
        # Whether the last answer says that its request has not run.
        self.is_refused = False
        host, _, port = address.rpartition(":")
        self._socket = socket.socket()
        if reads_slowly:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES
            )
        self._socket.settimeout(CONNECT_TIMEOUT_S)
        try:
            self._socket.connect((host, int(port)))
        except OSError:
            self._socket.close()
            raise
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = self._socket.makefile("rb")

    def close(self) -> None:
        """Close the connection."""
        self._reader.close()
        self._socket.close()

    def send(
        self,
        request: SentRequest,
        source: random.Random,
        work_s: float,
        asks_for_close: bool = False,
    ) -> None:
        """Send a request; its time of sending stays empty if it was not sent whole."""
        body_bytes = 0
        if request.kind == "upload":
            body_bytes = source.randint(*UPLOAD_BYTES_RANGE)
        answer_bytes = LARGE_ANSWER_BYTES if self.reads_slowly else 0
        method = "POST" if request.is_once_only else "GET"
        added = ADDED_HEADERS.format(work_ms=1_000 * work_s, answer_bytes=answer_bytes)
        if asks_for_close:
            added += "Connection: close\r\n"
        head = (
            f"{method} /{request.kind}/x HTTP/1.1\r\nHost: {ROUTES_HOST}\r\n"
            f"X-Request-Id: {request.request_id}\r\n"
            f"X-Deadline-Ms: {1_000 * request.limit_s:.0f}\r\n"
            f"Content-Length: {body_bytes}\r\n{added}\r\n"
        )
        # An answer may be written only after those to earlier requests.
        self._socket.settimeout(max(DEADLINES_S) + ANSWER_SLACK_S)
        request.began_s = time.monotonic()
        # The answer to a refused upload may be there before its body was sent.
        with contextlib.suppress(OSError):
            self._socket.sendall(head.encode())
            for begin in range(0, body_bytes, UPLOAD_PIECE_BYTES):
                eventlet.sleep(source.uniform(0, UPLOAD_PAUSE_LIMIT_S))
                size = min(UPLOAD_PIECE_BYTES, body_bytes - begin)
                self._socket.sendall(b"u" * size)
            request.sent_s = time.monotonic()

    def read_answer(self, request: SentRequest) -> bool:
        """Read an answer; False if no further one can come on the connection."""
        try:
            line = self._reader.readline()
            headers = http.client.parse_headers(self._reader)
            status = int(line.split()[1]) if line.endswith(b"\n") else 0
            is_whole = self._read_body(int(headers["Content-Length"]))
        except (OSError, ValueError, IndexError, TypeError, http.client.HTTPException):
            # The connection ended before the answer was complete.
            return False
        if not is_whole:
            return False
        request.status = status
        self.is_refused = status in NOT_RUN_STATUSES
        seal = headers.get("X-Server-Seal", "")
        request.is_own_answer = not seal
        named = headers.get("X-Request-Id", request.request_id)
        request.is_foreign = named != request.request_id or (
            bool(seal) and not seal.endswith(request.request_id)
        )
        return headers.get("Connection", "").lower() != "close"

    def _read_body(self, size_bytes: int) -> bool:
        left_bytes = size_bytes
        piece_bytes = SLOW_READ_BYTES if self.reads_slowly else io.DEFAULT_BUFFER_SIZE
        while left_bytes:
            if self.reads_slowly:
                eventlet.sleep(SLOW_READ_PAUSE_S)
            piece = self._reader.read(min(piece_bytes, left_bytes))
            if not piece:
                return False
            left_bytes -= len(piece)
        return True
