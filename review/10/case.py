"""A router that starts again with the members of its last run, while a parent has left the list meanwhile."""

import asyncio
import signal
import time
from pathlib import Path

from second.bulletin import Bulletin, roster
from second.clients import Load
from second.fleet import Fleet
from second.zone import TROUBLE, Zone, free_address, run_case, settings

FIRST = ("box-1", "box-2", "box-3", "box-4", "parent-1", "parent-2", "parent-3", "origin-1")
GONE = "parent-1"
BINDS_AFTER_S = 0.55  # after the router was told; 50 ms more as for every limit on sockets
DOWN_S = 1.0  # a router is down for 0.2 to 1.5 s
SAVED_AFTER_S = 7.0  # the members are saved every 5 s
WATCH_S = 16.0  # a source that fails is tried again every 5 s
DISCOVERY = """discovery {
  source { type: BULLETIN }
  source { type: KEPT }
  folder: "members"
}
"""


async def case(zone: Zone) -> list[str]:
    """Returns what named a member as a source that the list did not hold when the router was started."""
    record = zone.record
    fleet = Fleet(zone)
    for name in FIRST:
        await fleet.add(name)
    bulletin = Bulletin("bulletin", record, first=[roster(*map(fleet.entry, FIRST), reset=True)])
    await bulletin.start()
    (zone.folder / "members").mkdir()
    discovery = zone.folder / "discovery.txtpb"
    discovery.write_text(DISCOVERY)
    listen = free_address()
    environment = {"PADDLEQUAY_DISCOVERY": str(discovery)}

    def write_config() -> Path:
        return zone.write_config(
            "n0", listen=listen, bulletin=bulletin.address, known=bulletin.known(), settings=settings()
        )

    router = zone.router(write_config(), **environment)
    await router.ready()
    load = Load(record, listen)
    await asyncio.sleep(SAVED_AFTER_S)
    router.signal(signal.SIGKILL if TROUBLE else 0)
    # The parent leaves in either run: beside the router that runs on, or while it is down.
    bulletin.publish(roster({"instanceId": GONE, "lifecycle": "terminated"}))
    await fleet.end(GONE)
    left_at = time.time()
    await asyncio.sleep(DOWN_S)
    told_at = left_at + bulletin.delay_s
    if TROUBLE:
        # Events are counted anew at each start, and the first one holds the whole list.
        again = Bulletin("bulletin", record, first=[])
        again.publish(roster(*(fleet.entry(name) for name in FIRST if name != GONE), reset=True), delay_s=0.0)
        await again.start()
        bulletin = again
        told_at = time.time()
        router = zone.router(write_config(), **environment)
        await router.ready()
    await asyncio.sleep(WATCH_S)
    await load.stop()
    broken = [
        f"{server.name} was asked with source {GONE} {ask.at - told_at:.2f} s after the router was told of it"
        for server in fleet.servers.values()
        for ask in server.asks
        if ask.at > told_at + BINDS_AFTER_S and ask.fields.get("via") == GONE
    ]
    return [f"{len(broken)} requests after {GONE} had gone, one of them: {broken[-1]}"] if broken else []


run_case(Path(__file__).parent, case)
