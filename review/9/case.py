"""A leaving server is used too long by gateways whose relay had one watch cut."""

import asyncio
import itertools

from kit import DRAIN_S, TROUBLE, Case, Client, Gateway, Server, configuration, run

HOST_NAME = "review.example"
ROUNDS = 8
# From the cut of the watch to the removal of the first entry.
LEAVE_AFTER_S = (1.3, 0.9, 1.6, 1.1)
# The servers that leave in a round, and the time between two of them.
LEAVERS = 3
LEAVE_GAP_S = 0.2
REQUESTS_PER_S = 60


async def main(case: Case) -> bool:
    numbers = itertools.count(1)
    for _ in range(8):
        await case.add_server(Server(f"s{next(numbers)}", "fleetboard", case.record))
    rules = [("/status/", "fleetboard", "safe")]
    await case.store.put(
        "op/config", configuration(1, rules, ["fleetboard"], HOST_NAME)
    )
    await case.start_gateways(["z1"] * 4)
    ids = itertools.count(1)
    stopping = asyncio.Event()

    async def caller(gateway: Gateway) -> None:
        client = Client(case.record, gateway, HOST_NAME)
        while not stopping.is_set():
            await client.send("GET", "/status/x", f"{gateway.name}/{next(ids)}")
            await asyncio.sleep(4 / REQUESTS_PER_S)
        client.close()

    callers = [asyncio.create_task(caller(g)) for g in case.gateways for _ in range(4)]
    await asyncio.sleep(8)
    late = []
    leavers = []
    for index in range(ROUNDS):
        if TROUBLE:
            # The one that called the store last: it reads for the others too.
            reader = max(case.gateways, key=lambda g: g.link.last_call_s)
            reader.link.cut_waiting_watch()
        await asyncio.sleep(LEAVE_AFTER_S[index % len(LEAVE_AFTER_S)])
        # Servers that do not report draining: their entries are removed one after the
        # other, and they serve on.
        leaving = list(case.servers.values())[:LEAVERS]
        for server in leaving:
            del case.servers[server.server_id]
            acked_at_s = await case.store.remove(f"servers/{server.server_id}")
            leavers.append((server, acked_at_s))
            await asyncio.sleep(LEAVE_GAP_S)
        await asyncio.sleep(3)
        for _ in leaving:
            server = Server(f"s{next(numbers)}", "fleetboard", case.record)
            await case.add_server(server)
        await asyncio.sleep(4)
        for server in leaving:
            server.stop()
    stopping.set()
    await asyncio.gather(*callers)
    # All gateways are in touch all the time: no process, link or store is disturbed.
    for server, acked_at_s in leavers:
        for at_s, request_id in server.arrivals:
            if at_s > acked_at_s + DRAIN_S:
                late.append((server.server_id, request_id, at_s - acked_at_s))
    for server_id, request_id, age_s in late:
        case.record.say(
            f"late: {request_id} reached {server_id} {age_s:.3f} s after the ack"
        )
    return bool(late)


run(main)
