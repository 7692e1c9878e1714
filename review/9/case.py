"""A hot restart of a router with discovery settings, after a rolling deploy has replaced many caches."""

import asyncio
import time
from pathlib import Path

from second.bulletin import Bulletin, roster
from second.clients import Load
from second.fleet import Fleet
from second.zone import TROUBLE, Zone, free_address, run_case, settings

FIRST = ("box-1", "box-2", "box-3", "box-4", "box-5", "parent-1", "parent-2", "parent-3", "origin-1")
# Four of the eight caches and parents, one after another; the successors are listed before.
REPLACED = {"box-1": "box-6", "box-2": "box-7", "box-3": "box-8", "parent-1": "parent-4"}
STEP_S = 3.0
DRAIN_S = 1.0
BINDS_AFTER_S = 0.55  # after the router was told; 50 ms more as for every limit on sockets
BINDS_AFTER_YES_S = 2.0  # what the bulletin tells is binding for a replacement 2 s after its yes
WATCH_S = 16.0  # a source that fails is tried again every 5 s
DISCOVERY = "discovery {\n  source { type: BULLETIN }\n}\n"


async def case(zone: Zone) -> list[str]:
    """Returns what went to a member, or named it as a source, after the router was told that it is gone."""
    record = zone.record
    fleet = Fleet(zone)
    for name in FIRST:
        await fleet.add(name)
    bulletin = Bulletin("bulletin", record, delay_s=0.2, first=[roster(*map(fleet.entry, FIRST), reset=True)])
    await bulletin.start()
    discovery = zone.folder / "discovery.txtpb"
    discovery.write_text(DISCOVERY)
    config = zone.write_config(
        "n0", listen=free_address(), bulletin=bulletin.address, known=bulletin.known(), settings=settings()
    )
    environment = {"PADDLEQUAY_DISCOVERY": str(discovery)}
    router = zone.router(config, **environment)
    await router.ready()
    load = Load(record, router.listen)
    await asyncio.sleep(1.0)
    told: dict[str, float] = {}
    for old, new in REPLACED.items():
        await fleet.add(new)
        bulletin.publish(roster(fleet.entry(new, started=time.time())))
        bulletin.publish(roster(fleet.entry(old, "terminating")))
        await asyncio.sleep(DRAIN_S)
        told[old] = bulletin.publish(roster({"instanceId": old, "lifecycle": "terminated"}))
        await asyncio.sleep(0.8)
        await fleet.end(old)
        await asyncio.sleep(STEP_S - DRAIN_S - 0.8)
    begin = time.time()
    if TROUBLE:
        successor = zone.router(config, **environment)
        await successor.ready()
        begin = time.time() + BINDS_AFTER_YES_S
        router.signal(15)
    await asyncio.sleep(BINDS_AFTER_YES_S + WATCH_S)
    await load.stop()
    broken = []
    for server in fleet.servers.values():
        for ask in server.asks:
            for name in (server.name, ask.fields.get("via", "")):
                if name in told and ask.at > max(begin, told[name] + BINDS_AFTER_S):
                    broken.append(
                        f"{server.name} was asked with source {ask.fields.get('via')}: {name} is gone"
                    )
    return [f"{len(broken)} requests, the first: {broken[0]}"] if broken else []


run_case(Path(__file__).parent, case)
