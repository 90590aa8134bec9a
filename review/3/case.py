"""A gateway that ran out of descriptors once takes no connection again."""

import asyncio
import random
import resource
import signal
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
    read_message,
    rule,
)

DEADLINE_MS = 2_736
CLIENT_COUNT = 1_600
# The smallest machine of the page has 1,535 descriptors, of which 200 are kept for
# files. Sockets get what is left, as there; the process has ten for its files.
DESCRIPTOR_LIMIT = 1_535 - 200 + 10
OWN_DESCRIPTORS = 8_000
LEAST_OWN_DESCRIPTORS = 3_000
WORK_S = 0.3
# The pause of a client between two requests; idle connections live for 15 s.
PAUSE_RANGE_S = (7.0, 11.0)
CALM_S = 12.0
TROUBLE_S = 22.0
CONNECT_LIMIT_S = 1.0
NEW_CLIENT_COUNT = 8
# StableS of the page.
STABLE_S = 3.0


class Clients:
    """The clients, each with one connection that it keeps.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.alive = list(deployment.gateways)
        self.counts = {"answered": 0, "no connection": 0, "no answer": 0}

    async def run_one(self) -> None:
        """Send requests, on a connection that is kept, until it is cancelled."""
        caller: Caller | None = None
        gateway = random.choice(self.alive)
        await asyncio.sleep(random.uniform(0.0, PAUSE_RANGE_S[0]))
        while True:
            if caller is not None and caller.reader.at_eof():
                caller.close()
                caller = None
            if caller is None:
                gateway = random.choice(self.alive)
                caller = await self._connect(gateway)
            if caller is not None:
                caller = await self._request(caller)
            await asyncio.sleep(random.uniform(*PAUSE_RANGE_S))

    async def _connect(self, gateway: object) -> Caller | None:
        caller = Caller(lambda text: None)
        try:
            return await asyncio.wait_for(
                caller.connect(gateway.front), CONNECT_LIMIT_S
            )
        except (TimeoutError, OSError):
            self.counts["no connection"] += 1
            return None

    async def _request(self, caller: Caller) -> Caller | None:
        """Send one request; return the connection if it can be used again."""
        request_id = new_id()
        caller.send("GET", "/read/1", request_id, DEADLINE_MS)
        try:
            answer = await asyncio.wait_for(
                caller.receive(request_id), DEADLINE_MS / 1_000
            )
        except (TimeoutError, OSError):
            self.counts["no answer"] += 1
            caller.close()
            return None
        if answer.is_complete:
            self.counts["answered"] += 1
            return caller
        self.counts["no answer"] += 1
        caller.close()
        return None


async def work(exchange: Exchange) -> None:
    """Run a request."""
    await exchange.read_body()
    await asyncio.sleep(WORK_S)
    exchange.answer(b"log")


async def is_ready(address: str) -> bool:
    """Ask for the readiness of a gateway, as the platform does."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), CONNECT_LIMIT_S
        )
        writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        head = await asyncio.wait_for(read_message(reader), CONNECT_LIMIT_S)
        writer.close()
    except (TimeoutError, OSError):
        return False
    return head is not None and head.status == 200


async def watch_readiness(record: Record, address: str, answers: list[bool]) -> None:
    """Ask for the readiness once a second, until it is cancelled."""
    while True:
        answers.append(await is_ready(address))
        record(f"GET /ready: {answers[-1]}")
        await asyncio.sleep(1.0)


async def try_new(record: Record, address: tuple[str, int]) -> int:
    """Have new clients try for StableS and longer; return how many are served."""
    served = 0
    for _ in range(NEW_CLIENT_COUNT):
        try:
            caller = await asyncio.wait_for(
                Caller(record).connect(address), CONNECT_LIMIT_S
            )
            request_id = new_id()
            caller.send("GET", "/read/1", request_id, DEADLINE_MS)
            answer = await asyncio.wait_for(caller.receive(request_id), 1.0)
            served += answer.is_complete
            caller.close()
        except (TimeoutError, OSError) as error:
            record(f"a new client isn't served: {type(error).__name__}: {error}")
        await asyncio.sleep(STABLE_S / (NEW_CLIENT_COUNT - 2))
    return served


async def run(record: Record) -> int:
    """Kill all gateways but one while many clients keep connections."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard < LEAST_OWN_DESCRIPTORS:
        raise OSError(f"the process may open {hard} descriptors only")
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(OWN_DESCRIPTORS, hard), hard))
    deployment = Deployment(record, descriptor_limit=DESCRIPTOR_LIMIT)
    deployment.rules = [rule("/read/", "safe", "ledger", 2.736)]
    for _ in range(20):
        server = deployment.add_server("ledger", work)
        server.record = lambda text: None
    async with deployment:
        await asyncio.sleep(3.0)
        clients = Clients(deployment)
        tasks = [asyncio.create_task(clients.run_one()) for _ in range(CLIENT_COUNT)]
        await asyncio.sleep(CALM_S)
        record(f"{CLIENT_COUNT} clients, three gateways: {clients.counts}")
        if WITH_TROUBLE:
            for gateway in deployment.gateways[1:]:
                gateway.send_signal(signal.SIGKILL)
                clients.alive.remove(gateway)
            record("SIGKILL to two gateways of three")
        answers: list[bool] = []
        ready = deployment.gateways[0].listen["Ready"]
        watch = asyncio.create_task(watch_readiness(record, ready, answers))
        end_s = time.monotonic() + TROUBLE_S
        while time.monotonic() < end_s:
            await asyncio.sleep(2.0)
            record(f"{clients.counts}")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        record("all clients have left")
        await asyncio.sleep(2 * STABLE_S)
        answers.clear()
        served = await try_new(record, deployment.gateways[0].front)
        says_ready = bool(answers) and all(answers)
        watch.cancel()
    record(
        f"the gateway that nothing was done to says that it is ready: {says_ready}; "
        f"of {NEW_CLIENT_COUNT} new clients it serves {served}"
    )
    return 1 if says_ready and not served else 0


main(run, __file__)
