"""An early answer to a long upload: the rest of its body runs as a request."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    HOST,
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
# An archive of old requests: a preamble and records of a fixed size, as in a tar file.
PREAMBLE_BYTES = 64
RECORD_BYTES = 512
RECORD_COUNT = 16_000
EARLY_S = 0.7
ROUND_COUNT = 3
# The dose of the site file: two in five of the uploads at two servers of three, 6 s.
EARLY_SERVER_COUNT = 2
EARLY_PLACES = (1, 3)
EARLY_EVERY = 5
DURATION_S = 6.0


class EarlyAnswers:
    """Tells which uploads are answered early."""

    def __init__(self) -> None:
        self.began_at_s = 0.0
        self.server_ids: set[str] = set()
        self.count = 0

    def next_is_early(self, server_id: str) -> bool:
        """Count an upload; return whether it is answered early."""
        passed_s = time.monotonic() - self.began_at_s
        if not WITH_TROUBLE or server_id not in self.server_ids:
            return False
        self.count += 1
        is_due = self.count % EARLY_EVERY in EARLY_PLACES
        return is_due and passed_s + EARLY_S < DURATION_S


EARLY = EarlyAnswers()


async def work(exchange: Exchange) -> None:
    """Run a request; with trouble, answer an upload before its body was read."""
    is_upload = exchange.request.target.startswith("/upload/")
    is_early = is_upload and EARLY.next_is_early(exchange.server.server_id)
    if is_early:
        await asyncio.sleep(EARLY_S)
        exchange.answer(b"stored")
        await exchange.writer.drain()
    body = await exchange.read_body()
    if is_early:
        return
    await asyncio.sleep(0.1)
    exchange.answer(b"stored" if is_upload else b"confirmed %d" % len(body))


def archive(archived_id: str) -> bytes:
    """Return the file that is uploaded."""
    head = (
        f"POST /order/archived HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Request-Id: {archived_id}\r\nX-Deadline-Ms: 1500\r\nX-Note: "
    )
    padding = "-" * (RECORD_BYTES - len(head) - 4)
    entry = f"{head}{padding}\r\n\r\n".encode()
    return b"p" * PREAMBLE_BYTES + entry * RECORD_COUNT


async def upload(
    record: Record, address: tuple[str, int], body: bytes, sent: set[str]
) -> int:
    """Upload an archive, then send a request; return 1 for a foreign answer to it."""
    caller = await Caller(record).connect(address)
    upload_id, order_id = new_id(), new_id()
    sent |= {upload_id, order_id}
    caller.send("POST", "/upload/1", upload_id, DEADLINE_MS, body)
    answer = await caller.receive(upload_id)
    if answer.head is None or "connection" in answer.head.fields:
        caller.close()
        caller = await Caller(record).connect(address)
    await asyncio.sleep(0.5)
    caller.send("POST", "/order/1", order_id, DEADLINE_MS)
    order = await caller.receive(order_id)
    await asyncio.sleep(0.5)
    caller.close()
    if order.status == 200 and order.head.fields.get("x-request-id") != order_id:
        record(f"MIXED: the answer to {order_id} belongs to another request")
        return 1
    return 0


async def run(record: Record) -> int:
    """Upload an archive of old requests on some connections."""
    foreign = 0
    deployment = Deployment(record)
    deployment.rules = [
        rule("/upload/", "upload", "meterdesk", 1.5),
        rule("/order/", "unsafe", "nominator", 1.5),
    ]
    for service in ("meterdesk", "nominator"):
        for _ in range(3):
            deployment.add_server(service, work)
    for server in deployment.servers[:EARLY_SERVER_COUNT]:
        EARLY.server_ids.add(server.server_id)
    async with deployment:
        await asyncio.sleep(3.0)
        sent: set[str] = set()
        archived_id = new_id()
        body = archive(archived_id)
        record(f"the body has {len(body)} bytes; its records name {archived_id}")
        EARLY.began_at_s = time.monotonic()
        for _ in range(ROUND_COUNT):
            uploads = (
                upload(record, gateway.front, body, sent)
                for gateway in deployment.gateways
            )
            foreign += sum(await asyncio.gather(*uploads))
        await asyncio.sleep(0.5)
        runs = [run for server in deployment.servers for run in server.runs]
    unasked = [run for run in runs if run[0] not in sent]
    for request_id, line in unasked[:5]:
        record(f"UNASKED: a server ran {line} {request_id}, which no client sent")
    record(f"requests that servers ran and no client sent: {len(unasked)}")
    return 1 if unasked or foreign else 0


main(run, __file__)
