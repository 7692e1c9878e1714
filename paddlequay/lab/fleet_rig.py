"""A plaza whose routers share a cluster, with a fault link between them and faults on their processes.

Routers are real processes of the program; they may be stopped, go on, be killed and started again under the
same name and addresses. What they say of themselves is read from their consoles, what they did from the
records of boxes and store.
"""

import asyncio
import json
import signal
import socket
import time
import urllib.request
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from paddlequay.lab.fault_links import FaultLinks
from paddlequay.lab.ports import free_port
from paddlequay.lab.zone_cluster import ZoneCluster, ZonePlan

CLUSTER = """cluster {
  name: "rehearsal"
  acceptor: 0
  acceptor: 1
  acceptor: 2
  verdicts: true
%s}
"""


def free_udp() -> tuple[str, int]:
    return "127.0.0.1", free_port(socket.SOCK_DGRAM)


@dataclass(slots=True, eq=False)
class Place:
    """One router's place in the fleet: what stays over restarts, and the process that has it now."""

    number: int
    address: tuple[str, int]
    console: int = 0
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    stopped: float | None = None


@dataclass(slots=True)
class Did:
    """What was done to the fleet, for the auditor: Unix time, what, to which routers."""

    at: float
    what: str
    whom: tuple[int, ...] = ()


class FleetRig(ZoneCluster):
    """A plaza with a cluster. `rules` go into the cluster's settings, beside name and acceptors."""

    def __init__(self, plan: ZonePlan, folder: Path, rules: str = "", seed: int = 1) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        settings = folder / "cluster.txtpb"
        settings.write_text(CLUSTER % rules)
        told = dict(plan.environment) | {"PADDLEQUAY_CLUSTER": str(settings)}
        super().__init__(replace(plan, environment=told), folder)
        self.links = FaultLinks(plan.routers, seed)
        self.nowhere = free_port()  # nobody listens there
        self.places = [Place(number, address) for number, address in enumerate(self.load.routers)]
        self.did: list[Did] = []
        self.blind: set[int] = set()  # routers to which every member is dead, from their next start on

    async def up(self) -> None:
        await self.links.up(free_udp() for _ in self.places)
        await super().up()

    def config(self, number: int, address: tuple[str, int]) -> dict[str, Any]:
        told = super().config(number, address)
        told["settings"]["me"] = number
        told["settings"]["limits"]["peers"] = True
        if number in self.blind:
            told["known"] = json.loads(json.dumps(told["known"]))
            for event in told["known"]["items"]:
                for instance in event.get("roster", {}).get("instances", ()):
                    instance["hostPort"] = f"127.0.0.1:{self.nowhere}"
        return told | self.links.config(number)

    async def start_router(self, number: int, address: tuple[str, int]) -> None:
        """Start it, for the first time or again; its console's port is its own and new."""
        place = self.places[number]
        before = len(self.routers)
        await super().start_router(number, address)
        place.process, place.starts, place.stopped = self.routers[before], place.starts + 1, None
        place.console = self.consoles[number]

    # --- faults on processes ---

    def note(self, what: str, *whom: int) -> None:
        self.did.append(Did(time.time(), what, whom))

    def process(self, number: int) -> asyncio.subprocess.Process:
        process = self.places[number].process
        assert process is not None
        return process

    def stop(self, *numbers: int) -> None:
        """SIGSTOP: the process holds what it holds, and its clock goes on."""
        for number in numbers:
            self.process(number).send_signal(signal.SIGSTOP)
            self.places[number].stopped = time.monotonic()
        self.note("stop", *numbers)

    def go_on(self, *numbers: int) -> None:
        for number in numbers:
            self.process(number).send_signal(signal.SIGCONT)
            self.places[number].stopped = None
        self.note("go_on", *numbers)

    async def kill_router(self, *numbers: int) -> None:
        for number in numbers:
            self.process(number).kill()
        for number in numbers:
            await self.process(number).wait()
        self.note("kill", *numbers)

    async def restart(self, *numbers: int) -> None:
        """Started again under the same names and addresses, all at once."""
        self.note("restart", *numbers)
        await asyncio.gather(*(self.start_router(n, self.places[n].address) for n in numbers))

    # --- what the routers say ---

    async def page(self, number: int, name: str = "cluster") -> dict[str, Any]:
        """A page of a router's console; OSError where it does not answer within a second."""
        url = f"http://127.0.0.1:{self.places[number].console}/-/{name}"
        data: dict[str, Any] = json.loads(await asyncio.to_thread(fetch, url))
        return data

    async def pages_of(self, name: str = "cluster") -> dict[int, dict[str, Any]]:
        """The pages of all that answer."""
        asked = [self.page(place.number, name) for place in self.places if place.stopped is None]
        numbers = [place.number for place in self.places if place.stopped is None]
        found = await asyncio.gather(*asked, return_exceptions=True)
        return {n: each for n, each in zip(numbers, found, strict=True) if isinstance(each, dict)}

    async def down(self) -> None:
        for place in self.places:
            if place.stopped is not None and place.process is not None:
                place.process.send_signal(signal.SIGCONT)
        await super().down()
        self.links.down()


def fetch(url: str) -> bytes:
    with urllib.request.urlopen(url, timeout=1.0) as answer:
        return bytes(answer.read())


@dataclass(slots=True)
class Moment:
    """What an auditor saw at one moment of all routers that answer."""

    at: float
    pages: dict[int, dict[str, Any]] = field(default_factory=dict)


async def watch(rig: FleetRig, every: float, seen: list[Moment]) -> None:
    """Look at all routers again and again, until cancelled."""
    while True:
        seen.append(Moment(time.time(), await rig.pages_of()))
        await asyncio.sleep(every)
