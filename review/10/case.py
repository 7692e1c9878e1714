"""An outage of discovery into a release, and the whole list that comes after it, with discovery settings."""

import asyncio
import time
from pathlib import Path

from second.bulletin import Bulletin, roster
from second.clients import Load
from second.fleet import Fleet
from second.zone import TROUBLE, Zone, free_address, run_case, settings

FIRST = ("box-1", "box-2", "box-3", "box-4", "box-5", "parent-1", "parent-2", "parent-3", "origin-1")
REPLACED = {"box-1": "box-6", "box-2": "box-7", "box-3": "box-8", "parent-1": "parent-4"}  # half, in 7 s
GONE = "parent-1"
STEP_S = 1.7
OUTAGE_S = 8.0
# Members that a whole list leaves out may stay, by the project's own page, until that has lasted 30 s.
MAY_STAY_S = 30.0
BINDS_AFTER_S = 0.55  # after that; 50 ms more as for every limit on sockets
WATCH_S = 20.0  # a source that fails is tried again every 5 s
DISCOVERY = (
    "discovery {\n  source { type: BULLETIN }\n  mass_removal { share: 0.3 window_s: 10 confirm_s: 30 }\n}\n"
)


async def case(zone: Zone) -> list[str]:
    """Returns what named the parent that is gone as a source, long after the whole list had left it out."""
    record = zone.record
    fleet = Fleet(zone)
    for name in FIRST:
        await fleet.add(name)
    bulletin = Bulletin("bulletin", record, first=[roster(*map(fleet.entry, FIRST), reset=True)])
    await bulletin.start()
    discovery = zone.folder / "discovery.txtpb"
    discovery.write_text(DISCOVERY)
    config = zone.write_config(
        "n0", listen=free_address(), bulletin=bulletin.address, known=bulletin.known(), settings=settings()
    )
    router = zone.router(config, PADDLEQUAY_DISCOVERY=str(discovery))
    await router.ready()
    load = Load(record, router.listen)
    await asyncio.sleep(2.0)
    down_at = time.time()
    if TROUBLE:
        bulletin.go_down()
    started: dict[str, float] = {}
    for old, new in REPLACED.items():
        await fleet.add(new)
        started[new] = time.time()
        if not TROUBLE:
            bulletin.publish(roster(fleet.entry(new, started=started[new])))
            bulletin.publish(roster(fleet.entry(old, "terminating")))
        await asyncio.sleep(1.0)
        if not TROUBLE:
            bulletin.publish(roster({"instanceId": old, "lifecycle": "terminated"}))
        await fleet.end(old)
        await asyncio.sleep(STEP_S - 1.0)
    await asyncio.sleep(max(0.0, down_at + OUTAGE_S - time.time()))
    told_at = time.time()
    if TROUBLE:
        # Far behind, a router is told the whole list.
        present = [name for name in fleet.servers if name not in fleet.gone_at]
        listed = [fleet.entry(name, started=started.get(name, 0.0)) for name in present]
        told_at = bulletin.publish(roster(*listed, reset=True))
        await bulletin.come_back()
    await asyncio.sleep(MAY_STAY_S + WATCH_S)
    await load.stop()
    late = [
        ask.at - told_at
        for server in fleet.servers.values()
        for ask in server.asks
        if ask.fields.get("via") == GONE and ask.at > told_at + MAY_STAY_S + BINDS_AFTER_S
    ]
    return (
        [f"{GONE} named as a source {len(late)} times, {max(late):.1f} s after the whole list"]
        if late
        else []
    )


run_case(Path(__file__).parent, case)
