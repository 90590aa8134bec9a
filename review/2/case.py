"""A second, late answer is taken for that to a probe; later answers are exchanged."""

import asyncio
import math
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    WITH_TROUBLE,
    Caller,
    Deployment,
    Exchange,
    Record,
    main,
    new_id,
    rule,
)

DEADLINE_MS = 1_500
CALLER_COUNT = 10
REQUEST_COUNT = 150
PROBE_S = 0.006
EXTRA_SHARE = 0.03
TROUBLE_EVERY = math.ceil(1 / EXTRA_SHARE)
# Three servers of five, for 5 s at a time, as in the site file.
SERVER_COUNT = 5
TROUBLED_COUNT = 3
DURATION_S = 5.0
PERIOD_S = 7.0


class Extras:
    """Keeps a second answer back until the next response is expected."""

    def __init__(self) -> None:
        self.count = 0
        self.began_at_s = time.monotonic()
        self.server_ids: set[str] = set()
        self.kept: dict[asyncio.StreamWriter, bytes] = {}

    async def work(self, exchange: Exchange) -> None:
        """Run a request; three in a hundred answers come twice."""
        await exchange.read_body()
        self.send_kept(exchange.writer)
        await asyncio.sleep(0.05)
        body = f"done {exchange.request_id}".encode()
        exchange.answer(body)
        passed_s = time.monotonic() - self.began_at_s
        if passed_s % PERIOD_S > DURATION_S:
            return
        if not WITH_TROUBLE or exchange.server.server_id not in self.server_ids:
            return
        self.count += 1
        if self.count % TROUBLE_EVERY == 0:
            self.kept[exchange.writer] = exchange.head(length=len(body)) + body

    def send_kept(self, writer: asyncio.StreamWriter) -> None:
        """Send the second answer, at the point where the next one is expected."""
        if (data := self.kept.pop(writer, None)) is not None:
            writer.write(data)


async def call(deployment: Deployment, broken: list[str]) -> None:
    """Send requests one after the other, and check each answer."""
    record = deployment.record
    address = deployment.gateways[0].front
    caller = await Caller(record).connect(address)
    for _ in range(REQUEST_COUNT):
        request_id = new_id()
        caller.send("POST", "/order/1", request_id, DEADLINE_MS, b"x")
        answer = await caller.receive(request_id)
        if answer.status == 200:
            seal = answer.head.fields.get("x-server-seal", "")
            if not seal.endswith(request_id):
                record(f"MIXED: a success for {request_id} with seal {seal!r}")
                broken.append(request_id)
        if answer.head is None or "connection" in answer.head.fields:
            caller.close()
            caller = await Caller(record).connect(address)
        await asyncio.sleep(random.uniform(0.0, 0.2))
    caller.close()


async def run(record: Record) -> int:
    """Send requests over some connections, and check each answer."""
    deployment = Deployment(record)
    deployment.rules = [rule("/order/", "unsafe", "nominator", 1.5)]
    extras = Extras()
    for _ in range(SERVER_COUNT):
        server = deployment.add_server("nominator", extras.work, PROBE_S)
        server.before_probe = extras.send_kept
    troubled = deployment.servers[:TROUBLED_COUNT]
    extras.server_ids = {server.server_id for server in troubled}
    broken: list[str] = []
    async with deployment:
        await asyncio.sleep(3.0)
        await asyncio.gather(*(call(deployment, broken) for _ in range(CALLER_COUNT)))
        runs = [run[0] for server in deployment.servers for run in server.runs]
    doubles = len(runs) - len(set(runs))
    record(f"answers that break MIXED: {len(broken)}; double runs: {doubles}")
    return 1 if broken else 0


main(run, __file__)
