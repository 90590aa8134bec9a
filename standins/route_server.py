"""A stand-in backend server of the platform: slots, load header, target check."""

import random
import secrets
import time
from collections.abc import Callable, Iterable, Iterator

import eventlet
import eventlet.semaphore
import eventlet.wsgi
import fire
import orjson
import urllib3

from berylhaven.clock import use_turn_hub
from standins._program import (
    FAULTS_PATH,
    Faults,
    answer_faults,
    json_answer,
    serve_forever,
)
from standins.fleet_configuration import server_value

HEALTH_PATH = "/health"
RUNS_PATH = "/runs"
SELF_PATH = "/self"
ARRIVALS_PATH = "/arrivals"
ARRIVAL_EVENTS = ("began_s", "ended_s", "written_s")
END_PATH = "/end"
QUEUE_LIMIT_PER_SLOT = 2
PERCENT = 100
# The interval at which the speed of the simulated machine may change.
SPEED_CHANGE_INTERVAL_S = 0.15
SLOW_RATIO = 5.0
# A request whose path has this ends the server that runs it.
CRASH_MARK = "/crash"
# How long a server that ended is away before it starts again under another id.
AWAY_RANGE_S = (0.3, 1.5)
# The time from the start of a crashing request to the end of the server.
CRASH_DELAY_RANGE_S = (0.01, 0.08)
# Request headers that set the time in a slot and the size of the answer.
WORK_HEADER = "HTTP_X_WORK_MS"
ANSWER_SIZE_HEADER = "HTTP_X_ANSWER_BYTES"


class RouteServerStandIn:
    """Runs requests in slots and reports its load with each answer."""

    def __init__(
        self, server_id: str, slot_count: int, work_s: float, slow_share: float
    ) -> None:
        # Called with the time away when the server ends, to close its connections, and
        # when it starts again, to list it.
        self.on_end: Callable[[], None] = lambda: None
        self.on_start: Callable[[str], None] = lambda old_server_id: None
        self._is_away = False
        # The start of each run of a crashing request on the monotonic clock, by path.
        self.crashing_runs: dict[str, list[float]] = {}
        self.server_id = server_id
        self.slot_count = slot_count
        self.work_s = work_s
        self.slow_share = slow_share
        # The path of the health check.
        self.health_path = HEALTH_PATH
        # lose_share: share of the answers that are dropped after the request has run.
        # lie_share: share of the answers that falsely state that the request did not
        # run; the check of promises must detect them.
        # pause_s: requests are refused, with this time in Retry-After.
        self.faults = Faults(
            lose_share=0.0,
            fail_share=0.0,
            lie_share=0.0,
            pause_s=0.0,
            is_draining=False,
            says_leaving=False,
        )
        # The number of runs by request id.
        self.runs: dict[str, int] = {}
        # What happened to each request, by id: one document for each arrival, with
        # times on the monotonic clock, which are None for what has not happened.
        self.arrivals: dict[str, list[dict]] = {}
        # The start of the last run on the monotonic clock, which all processes share.
        self.last_run_at_s = 0.0
        self._slots = eventlet.semaphore.Semaphore(slot_count)
        self._running = 0
        self._queued = 0
        self._speed_seed = secrets.randbits(32)

    def slowness_ratio(self) -> float:
        """Return the factor by which requests are slowed down at present."""
        interval = int(time.monotonic() / SPEED_CHANGE_INTERVAL_S)
        draw = random.Random(f"{self._speed_seed}/{interval}").random()
        return SLOW_RATIO if draw < self.slow_share else 1.0

    def headers(self) -> tuple:
        """Return the headers of every answer: load and server id."""
        percent = round(PERCENT * self.slowness_ratio())
        load = f"{self._running},{self._queued},{self.slot_count},{percent}"
        headers = (("X-Server-Load", load), ("X-Instance-Id", self.server_id))
        if self.faults.says_leaving:
            headers = (*headers, ("Server-Leaving", "1"))
        return headers

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == FAULTS_PATH:
            return answer_faults(self.faults, environ, start_response)
        if path == RUNS_PATH:
            return json_answer(start_response, self.runs)
        if path == ARRIVALS_PATH:
            return json_answer(start_response, self.arrivals)
        if path == SELF_PATH:
            document = {
                "id": self.server_id,
                "last_run_at_s": self.last_run_at_s,
                "crashing_runs": self.crashing_runs,
            }
            return json_answer(start_response, document)
        if path == END_PATH:
            self.end()
            return json_answer(start_response, {})
        if path == self.health_path:
            status = "503 Draining" if self.faults.is_draining else "200 OK"
            return json_answer(start_response, {}, status, self.headers())
        target = environ.get("HTTP_X_TARGET_INSTANCE")
        if target not in (None, self.server_id):
            error = {"error": f"this is {self.server_id}"}
            return json_answer(start_response, error, "421 Misdirected", self.headers())
        arrival = dict.fromkeys(ARRIVAL_EVENTS) | {
            "server": self.server_id,
            "arrived_s": time.monotonic(),
            "breaks_off": False,
        }
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        self.arrivals.setdefault(request_id, []).append(arrival)
        if self.faults.pause_s:
            pause = ("Retry-After", str(self.faults.pause_s))
            refusal = (*self.headers(), ("X-Not-Executed", "1"), pause)
            return json_answer(start_response, {}, "503 Paused", refusal)
        if self._queued >= QUEUE_LIMIT_PER_SLOT * self.slot_count:
            refusal = (*self.headers(), ("X-Not-Executed", "1"))
            return json_answer(start_response, {}, "503 Full", refusal)
        return self._run(environ, start_response, arrival)

    def _crash(self, path: str) -> None:
        self.crashing_runs.setdefault(path, []).append(time.monotonic())
        eventlet.sleep(random.uniform(*CRASH_DELAY_RANGE_S))
        self.end()
        raise ConnectionResetError("the server has ended")

    def end(self) -> None:
        """End this run of the server; another one starts after some time."""
        if not self._is_away:
            self._is_away = True
            self.on_end()
            eventlet.spawn_after(random.uniform(*AWAY_RANGE_S), self._start_again)

    def _start_again(self) -> None:
        old_server_id, self.server_id = self.server_id, new_server_id()
        self._is_away = False
        self.on_start(old_server_id)

    def _run(
        self, environ: dict, start_response: Callable, arrival: dict
    ) -> Iterable[bytes]:
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        body = environ["wsgi.input"].read()
        work_s = float(environ.get(WORK_HEADER, 1_000 * self.work_s)) / 1_000
        self._queued += 1
        try:
            self._slots.acquire()
        finally:
            self._queued -= 1
        self._running += 1
        arrival["began_s"] = self.last_run_at_s = time.monotonic()
        try:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            if CRASH_MARK in environ["PATH_INFO"]:
                arrival["breaks_off"] = True
                self._crash(environ["PATH_INFO"])
            eventlet.sleep(work_s * self.slowness_ratio())
        finally:
            arrival["ended_s"] = time.monotonic()
            self._running -= 1
            self._slots.release()
        if random.random() < self.faults.lose_share:
            arrival["breaks_off"] = True
            raise ConnectionResetError("answer dropped by the fault lose_share")
        named = (*self.headers(), ("X-Request-Id", request_id))
        if random.random() < self.faults.lie_share:
            refusal = (*named, ("X-Not-Executed", "1"))
            return json_answer(start_response, {}, "503 Full", refusal)
        seal = (*named, ("X-Server-Seal", f"{self.server_id}.{request_id}"))
        if random.random() < self.faults.fail_share:
            return json_answer(start_response, {}, "500 Failed", seal)
        document = {"server": self.server_id, "body_bytes": len(body)}
        document["padding"] = "x" * int(environ.get(ANSWER_SIZE_HEADER, 0))
        pieces = json_answer(start_response, document, headers=seal)
        return _RecordedAnswer(pieces, arrival)


class _RecordedAnswer(list):
    """The pieces of an answer; records when the WSGI server has written all."""

    def __init__(self, pieces: list[bytes], arrival: dict) -> None:
        super().__init__(pieces)
        self._arrival = arrival

    def __iter__(self) -> Iterator[bytes]:
        """Yield the pieces; the next one is requested once the last is written."""
        yield from super().__iter__()
        self._arrival["written_s"] = time.monotonic()


def run(
    host: str,
    port: int,
    store: str,
    service: str,
    data_centre: str,
    slot_count: int = 4,
    work_s: float = 0.05,
    slow_share: float = 0.25,
    registered_address: str = "",
    proxy_control: str = "",
) -> None:
    """Register the server in the store and serve requests."""
    # A fast upload must not keep it from answering its probes.
    use_turn_hub()
    stand_in = RouteServerStandIn(new_server_id(), slot_count, work_s, slow_share)
    # With a registered address, callers reach the server through the proxy there.
    address = registered_address or f"{host}:{port}"
    value = server_value(service, address, data_centre, slot_count)

    def item_url(server_id: str) -> str:
        """Return the URL of a server's entry in the store."""
        return f"http://{store}/items/servers/{server_id}"

    def set_down(is_down: bool) -> None:
        """Close or open the proxy through which callers reach the server."""
        body = orjson.dumps({"is_down": is_down})
        urllib3.request("POST", f"http://{proxy_control}/faults", body=body)

    def start_again(old_server_id: str) -> None:
        """List the new run of the server instead of the old one."""
        set_down(False)
        urllib3.request("DELETE", item_url(old_server_id))
        urllib3.request("PUT", item_url(stand_in.server_id), body=value)

    if proxy_control:
        stand_in.on_end = lambda: set_down(True)
        stand_in.on_start = start_again
    urllib3.request("PUT", item_url(stand_in.server_id), body=value)
    serve_forever(host, port, stand_in)


def new_server_id() -> str:
    """Return the id of a new run of a server."""
    return f"i-{secrets.token_hex(4)}"


if __name__ == "__main__":
    fire.Fire(run)
