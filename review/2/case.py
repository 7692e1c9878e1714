"""A process is replaced while discovery is down: the new one serves copies that were purged before.

The router is told of a purge. Then discovery goes down for 8 s and the platform replaces the process. The
boxes drop the older copies 5.9 s after the purge, which is within the 6 s that they have.
"""

import asyncio
import signal
import time
from pathlib import Path
from zlib import crc32

from standins.caches import Box, Origin
from standins.clients import Client, read_fields
from standins.events import EventStream, listed
from standins.programs import Program, RouterPlace, router_place, run_case, wait_until_ready
from standins.record import CannotRunError, Record
from standins.zone import HUB, ZONE, settings

OUTAGE_S = 8.0
CLEARED_AFTER_S = 5.9
SOCKET_SLACK_S = 0.05  # every limit is longer by this on sockets
PURGE_SLACK_S = 0.3 + SOCKET_SLACK_S
BINDING_AFTER_YES_S = 2.0 + SOCKET_SLACK_S
LEAST_TIME_TO_LOOK_S = 0.2
DEADLINE_S = 6.0
OBJECTS = [f"{0x5A0000 + number:016x}" for number in range(12)]
PROBED = OBJECTS[:4]  # asked of the old process, to see that it was told; the others are asked of the new one


class Reader:
    """A client that reads one object after another."""

    def __init__(self, record: Record, name: str) -> None:
        self.client = Client(record, name)
        self.name = name
        self.count = 0

    async def read(self, row: str) -> int | None:
        """Returns how many purges of the object the copy is younger than; None if it was not served."""
        self.count += 1
        call = f"{crc32(self.name.encode()):08x}{self.count:08x}"
        outcome = await self.client.ask("lane-video", read_fields(call, row, DEADLINE_S), b"", DEADLINE_S + 1)
        return int(outcome.body.rpartition(b" v")[2]) if outcome.kind == "served" else None


async def see_that_it_was_told(reader: Reader) -> None:
    """Waits until the old process no longer serves a purged copy; each read is of an object of its own."""
    for row in PROBED:
        await asyncio.sleep(0.03)
        if await reader.read(row) == 1:
            return
    raise CannotRunError("the old process was not told of the purge")


async def replace_process(place: RouterPlace, old: Program) -> tuple[Program, float]:
    """Starts the new process, and ends the old one at the new one's yes; returns it and when the yes came."""
    new, console = await place.start("new")
    await wait_until_ready(console)
    yes_at = time.time()
    place.record.line("platform", "the new process says yes")
    old.send(signal.SIGTERM)
    return new, yes_at


async def count_stale(reader: Reader, record: Record, binding_from: float, until: float) -> int:
    """Reads the purged objects; returns how many reads sent after the purge binds got an older copy."""
    stale = 0
    await asyncio.sleep(max(0.0, binding_from - time.time()))
    while time.time() < until:
        for row in OBJECTS[len(PROBED) :]:
            if await reader.read(row) == 0:
                stale += 1
                record.line("check", f"{row}: a copy from before the purge, read after the purge binds")
        await asyncio.sleep(0.02)
    return stale


async def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Returns whether no copy from before the purge was served once the purge bound."""
    origin = Origin(record)
    boxes = [Box(record, f"box-{number}", {"store-1": origin.port}) for number in range(3)]
    discovery = EventStream(record, "bulletin")
    for server in (origin, *boxes, discovery):
        await server.start()
    entries = [listed("store-1", origin.port, "origin", HUB)]
    entries += [listed(box.name, box.port, "small-box", ZONE) for box in boxes]
    discovery.publish(roster={"generation": 1, "reset": False, "instances": entries})
    place = router_place(record, folder, discovery, settings())
    old, console = await place.start("old")
    programs = [old]
    try:
        await wait_until_ready(console)
        first = Reader(record, "client-1")
        await first.client.connect(place.port)
        for _ in range(3):
            for row in OBJECTS:
                await first.read(row)
        purged_at = time.time()
        for row in OBJECTS:
            issued_ms = origin.purge(row)
            discovery.publish(recall={"item": row, "issued": issued_ms})
            for box in boxes:
                box.cleared_after_s = CLEARED_AFTER_S
                box.purge(row, issued_ms)
        await see_that_it_was_told(first)
        told_at = time.time()
        if trouble:
            record.line("platform", "discovery is down")
            discovery.stop()
        new, yes_at = await replace_process(place, old)
        programs.append(new)
        binding_from = max(told_at + PURGE_SLACK_S, yes_at + BINDING_AFTER_YES_S)
        until = purged_at + CLEARED_AFTER_S - SOCKET_SLACK_S
        if until - binding_from < LEAST_TIME_TO_LOOK_S:
            raise CannotRunError("the new process was ready too late to see anything")
        second = Reader(record, "client-2")
        await second.client.connect(place.port)
        stale = await count_stale(second, record, binding_from, until)
        await asyncio.sleep(max(0.0, told_at + OUTAGE_S - time.time()))
        if trouble:
            record.line("platform", "discovery is back")
            await discovery.start()
        record.line("check", f"{stale} reads got a copy from before the purge, of {second.count}")
        for program in programs:
            program.send(signal.SIGTERM)
            await program.wait(6)
        return stale == 0
    finally:
        for program in programs:
            await program.kill()


run_case(case, __file__)
