"""A drain by operators while a client reads its answers at its own pace: is each request answered?"""

import asyncio
from pathlib import Path

from second.bulletin import Bulletin, entry, roster
from second.caches import Answer, Ask, CacheServer, new_copy
from second.clients import Client
from second.zone import TROUBLE, Zone, free_address, run_case, settings

OBJECT_SIZE = 240_000
READ_BYTES_PER_S = 250_000
REQUESTS = 32
LONGEST_WAIT_S = 60.0


async def case(zone: Zone) -> list[str]:
    """Returns which requests, sent before the drain, the router left without a final answer."""
    record = zone.record

    async def answer(ask: Ask) -> Answer:
        await asyncio.sleep(0.02)
        return new_copy(*ask.part, size=OBJECT_SIZE).hit("HIT")

    servers = [CacheServer(name, record, answer) for name in ("box-1", "box-2", "parent-1", "origin-1")]
    for server in servers:
        await server.start()
    kinds = {"box": "plaza", "parent": "hub", "origin": "hub"}
    listed = [
        entry(each.name, each.address, each.name.split("-")[0], kinds[each.name.split("-")[0]])
        for each in servers
    ]
    bulletin = Bulletin("bulletin", record, first=[roster(*listed, reset=True)])
    await bulletin.start()
    client_address = free_address()
    config = zone.write_config(
        "n0", listen=client_address, bulletin=bulletin.address, known=bulletin.known(), settings=settings()
    )
    router = zone.router(config)
    await router.ready()
    client = Client(record, client_address, READ_BYTES_PER_S)
    await client.connect()
    calls = []
    for number in range(REQUESTS):
        calls.append(await client.ask("lane-video", row=number + 1, ttl=6000))
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)
    if TROUBLE:
        await router.call("POST", "/-/drain")
    await client.all_answered(LONGEST_WAIT_S)
    # An answer that has begun and breaks off has failed and is not lost; all others are owed.
    unanswered = [call for call in calls if call.outcome == "none"]
    record.say("result", answered=REQUESTS - len(unanswered), begun=int(bool(client.buffer)))
    return [
        f"{len(unanswered)} of {REQUESTS} requests got no answer, not even the beginning of one"
        for _ in unanswered[int(bool(client.buffer)) :][:1]
    ]


run_case(Path(__file__).parent, case)
