"""A gateway that is stopped cuts requests that it took late in its drain."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    GRACE_S,
    WITH_TROUBLE,
    Caller,
    Deployment,
    Exchange,
    Record,
    main,
    new_id,
    read_message,
    rule,
)

DEADLINE_MS = 1_500
INTERVAL_S = 0.1
WORK_S = 0.45
LATE_S = 3.0


async def work(exchange: Exchange) -> None:
    """Run a request."""
    await exchange.read_body()
    await asyncio.sleep(WORK_S)
    exchange.answer(b"confirmed")


async def resolve(record: Record, directory: str) -> tuple[list[str], float]:
    """Ask a gateway where to connect; return the addresses and for how long."""
    host, _, port = directory.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    query = "Name=jepu9.example&Region=ro-buc&Zone=buc-a"
    writer.write(f"GET /resolve?{query} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    head = await read_message(reader)
    answer = json.loads(await reader.readexactly(head.length))
    writer.close()
    record(f"the directory answers {answer}")
    return answer["Addresses"], min(answer["TtlS"], 5.0)


async def send_one(deployment: Deployment, began_at_s: float, lost: list[str]) -> None:
    """Send one request on a new connection."""
    record = deployment.record
    request_id = new_id()
    try:
        caller = await Caller(record).connect(deployment.gateways[0].front)
    except OSError as error:
        record(f"client can't connect: {error}")
        return
    sent_s = time.monotonic() - began_at_s
    caller.send("POST", "/order/1", request_id, DEADLINE_MS, b"x")
    answer = await caller.receive(request_id)
    caller.close()
    has_run = any(r[0] == request_id for s in deployment.servers for r in s.runs)
    # Up to 3 s after the signal the rule excuses what is at work at the end.
    if not answer.is_complete and has_run and sent_s > LATE_S:
        record(f"LOST: {request_id}, sent {sent_s:.2f} s after SIGTERM, ran")
        lost.append(request_id)


async def run(record: Record) -> int:
    """Stop a gateway while a client uses its address as long as it may."""
    deployment = Deployment(record)
    deployment.rules = [rule("/order/", "unsafe", "nominator", 1.5)]
    for _ in range(6):
        deployment.add_server("nominator", work)
    lost: list[str] = []
    async with deployment:
        await asyncio.sleep(4.0)
        gateway = deployment.gateways[0]
        host, port = gateway.front
        addresses, kept_s = await resolve(record, gateway.listen["Directory"])
        if f"{host}:{port}" not in addresses:
            raise LookupError("the directory does not name the gateway")
        began_at_s = time.monotonic()
        if WITH_TROUBLE:
            gateway.send_signal(signal.SIGTERM)
            record(f"SIGTERM to the gateway at {host}; SIGKILL would follow in 6 s")
        tasks = []
        while time.monotonic() - began_at_s < kept_s:
            tasks.append(asyncio.create_task(send_one(deployment, began_at_s, lost)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
        left_s = GRACE_S - (time.monotonic() - began_at_s)
        record(f"the last request has ended {left_s:.2f} s before GraceS")
    record(f"requests that were taken, run and never answered: {len(lost)}")
    return 1 if lost else 0


main(run, __file__)
