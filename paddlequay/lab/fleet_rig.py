"""A zone cluster whose routers share state, with faults on the links between them and on their processes.

The routers are real processes of the program. They can be stopped, continued, killed, and restarted under
the same names and addresses. Their own view is read from their consoles; what they did is read from the
request records of the stand-in caches and of the origin.
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
    """Returns a loopback address whose UDP port is free."""
    return "127.0.0.1", free_port(socket.SOCK_DGRAM)


@dataclass(slots=True, eq=False)
class RouterSlot:
    """One router of the fleet: what stays the same over restarts, and its current process.

    Attributes:
        number: The index of the router.
        address: The address on which the router listens.
        console: The port of the console of the current process.
        process: The current process.
        starts: How often the router was started.
        stopped: The monotonic time at which the process was stopped; None while it runs.
    """

    number: int
    address: tuple[str, int]
    console: int = 0
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    stopped: float | None = None


@dataclass(slots=True)
class FaultAction:
    """A fault that was applied to the fleet, or its end.

    Attributes:
        at: The Unix time.
        action: The name of the action.
        routers: The numbers of the affected routers.
    """

    at: float
    action: str
    routers: tuple[int, ...] = ()


class FleetRig(ZoneCluster):
    """A zone cluster whose routers are peers.

    `rules` is added to the settings of the cluster, after its name and acceptors.
    """

    def __init__(self, plan: ZonePlan, folder: Path, rules: str = "", seed: int = 1) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        settings = folder / "cluster.txtpb"
        settings.write_text(CLUSTER % rules)
        environment = dict(plan.environment) | {"PADDLEQUAY_CLUSTER": str(settings)}
        super().__init__(replace(plan, environment=environment), folder)
        self.links = FaultLinks(plan.routers, seed)
        self.unused_port = free_port()
        self.slots = [RouterSlot(number, address) for number, address in enumerate(self.load.routers)]
        self.fault_actions: list[FaultAction] = []
        # Routers that cannot reach any member from their next start on.
        self.isolated_from_members: set[int] = set()

    async def up(self) -> None:
        """Opens the fault links, and starts the servers and routers."""
        await self.links.up(free_udp() for _ in self.slots)
        await super().up()

    def config(self, number: int, address: tuple[str, int]) -> dict[str, Any]:
        """Returns the configuration of a router, with the addresses of its fault links."""
        config = super().config(number, address)
        config["settings"]["me"] = number
        config["settings"]["limits"]["peers"] = True
        if number in self.isolated_from_members:
            config["known"] = json.loads(json.dumps(config["known"]))
            for event in config["known"]["items"]:
                for instance in event.get("roster", {}).get("instances", ()):
                    instance["hostPort"] = f"127.0.0.1:{self.unused_port}"
        return config | self.links.config(number)

    async def start_router(self, number: int, address: tuple[str, int]) -> None:
        """Starts a router, for the first time or again; each start gets a new console port."""
        slot = self.slots[number]
        before = len(self.routers)
        await super().start_router(number, address)
        slot.process, slot.starts, slot.stopped = self.routers[before], slot.starts + 1, None
        slot.console = self.consoles[number]

    def note(self, action: str, *routers: int) -> None:
        """Records a fault, or its end, for the audit."""
        self.fault_actions.append(FaultAction(time.time(), action, routers))

    def process(self, number: int) -> asyncio.subprocess.Process:
        """Returns the current process of a router."""
        process = self.slots[number].process
        assert process is not None
        return process

    def stop(self, *numbers: int) -> None:
        """Sends SIGSTOP: the processes keep their state and sockets, and time goes on meanwhile."""
        for number in numbers:
            self.process(number).send_signal(signal.SIGSTOP)
            self.slots[number].stopped = time.monotonic()
        self.note("stop", *numbers)

    def resume(self, *numbers: int) -> None:
        """Sends SIGCONT to stopped routers."""
        for number in numbers:
            self.process(number).send_signal(signal.SIGCONT)
            self.slots[number].stopped = None
        self.note("go_on", *numbers)

    async def kill_router(self, *numbers: int) -> None:
        """Sends SIGKILL to routers and waits for their ends."""
        for number in numbers:
            self.process(number).kill()
        for number in numbers:
            await self.process(number).wait()
        self.note("kill", *numbers)

    async def restart(self, *numbers: int) -> None:
        """Starts routers again, all at once, under the same names and addresses."""
        self.note("restart", *numbers)
        await asyncio.gather(*(self.start_router(n, self.slots[n].address) for n in numbers))

    async def page(self, number: int, name: str = "cluster") -> dict[str, Any]:
        """Returns a page of a router's console; raises OSError if it does not answer within a second."""
        url = f"http://127.0.0.1:{self.slots[number].console}/-/{name}"
        data: dict[str, Any] = json.loads(await asyncio.to_thread(fetch, url))
        return data

    async def pages_of(self, name: str = "cluster") -> dict[int, dict[str, Any]]:
        """Returns the page of each running router that answers, by router number."""
        requests = [self.page(slot.number, name) for slot in self.slots if slot.stopped is None]
        numbers = [slot.number for slot in self.slots if slot.stopped is None]
        pages = await asyncio.gather(*requests, return_exceptions=True)
        return {n: each for n, each in zip(numbers, pages, strict=True) if isinstance(each, dict)}

    async def down(self) -> None:
        """Continues stopped routers, so that they can end, then ends all processes, servers and links."""
        for slot in self.slots:
            if slot.stopped is not None and slot.process is not None:
                slot.process.send_signal(signal.SIGCONT)
        await super().down()
        self.links.down()


def fetch(url: str) -> bytes:
    """Returns the body of a page, waiting up to a second for each read."""
    with urllib.request.urlopen(url, timeout=1.0) as answer:
        return bytes(answer.read())


@dataclass(slots=True)
class FleetSnapshot:
    """The console pages of all routers that answered, by router number, at one Unix time."""

    at: float
    pages: dict[int, dict[str, Any]] = field(default_factory=dict)


async def watch(rig: FleetRig, every: float, snapshots: list[FleetSnapshot]) -> None:
    """Appends a snapshot of the fleet at intervals of `every` seconds until cancelled."""
    while True:
        snapshots.append(FleetSnapshot(time.time(), await rig.pages_of()))
        await asyncio.sleep(every)
