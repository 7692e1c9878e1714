"""A whole small plaza on loopback: real routers and tiers as processes, boxes, store, bulletin and feed
beside."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
import urllib.request
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import numpy as np

from paddlequay.hierarchy.topology import (
    NodeSpec,
    Topology,
    TopologyDelta,
    TopologyLimits,
    apply_delta,
    delta_between,
)
from paddlequay.hierarchy.topology_json import encode_delta
from paddlequay.lab.cache_servers import Box, News, Store
from paddlequay.lab.load import KINDS, Load
from paddlequay.lab.ports import free_port
from paddlequay.protocol.endpoint_watch import STATES
from paddlequay.routing.interface import MemberState

ROOT = Path(__file__).parent.parent.parent
STORE = "store-1"
KEY = "k1"


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """What stands in a plaza."""

    routers: int = 2
    boxes: int = 4
    tiers: int = 3
    regional: int = 2
    rate: float = 150.0
    seed: int = 1
    discovery: str = ""  # settings of the routers' sources of members, in place of the bulletin alone
    listed: bool = True  # whether the bulletin names the boxes
    environment: Mapping[str, str] = field(default_factory=dict)  # of the routers, beside the platform's
    root: Path = ROOT  # whose program the routers run: another one is an earlier version to compare with


@dataclass(slots=True, eq=False)
class Tier:
    """One tier process, and the files that are its own."""

    name: str
    port: int
    console: int
    file: Path
    process: asyncio.subprocess.Process | None = None
    started: float = 0.0


class ZoneCluster:
    """Everything of one run. `folder` holds configurations, logs and what tiers keep."""

    def __init__(self, plan: ZonePlan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.rng = np.random.default_rng(plan.seed)
        addresses = [("127.0.0.1", free_port()) for _ in range(plan.routers)]
        self.load = Load(addresses, plan.rate, plan.seed)
        self.store = Store(size=self.load.size)
        # Each connection hears after 36 to 390 ms of its own: nodes act on different versions meanwhile.
        self.bulletin = News(lambda: float(self.rng.uniform(0.036, 0.39)))
        self.feed = News(lambda: float(self.rng.uniform(0.036, 0.39)))
        self.boxes: list[Box] = []
        self.tiers: dict[str, Tier] = {}
        self.routers: list[asyncio.subprocess.Process] = []
        self.consoles: dict[int, int] = {}
        self.until_longest = 15.0  # seconds that a process may take to be ready
        self.shape = Topology()
        self.listed: dict[str, dict[str, Any]] = {}
        self.killed: list[tuple[float, str]] = []
        self.revived: list[tuple[float, str]] = []

    # --- coming up ---

    async def up(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "hop.key").write_bytes(os.urandom(16).hex().encode())
        for server in (self.store, self.bulletin, self.feed):
            await server.start()
        for number in range(self.plan.boxes):
            fresh = {kind.name: kind.fresh for kind in KINDS}
            box = Box(f"box-{number}", self.where, STORE, fresh)
            await box.start()
            self.boxes.append(box)
        regional = [f"regional-{number}" for number in range(self.plan.regional)]
        aimag = [f"aimag-{number}" for number in range(self.plan.tiers)]
        for name in (*regional, *aimag):
            self.tiers[name] = self.made(name)
        nodes = [NodeSpec(STORE, self.store.address, "stores", is_origin=True)]
        nodes += [self.node(name, "regional", (STORE,)) for name in regional]
        nodes += [self.node(name, "aimag", (*regional, STORE)) for name in aimag]
        await self.reshape(TopologyDelta(1, None, tuple(nodes)))
        for tier in self.tiers.values():
            await self.start_tier(tier)
        await asyncio.gather(*(self.until_ready(tier.console) for tier in self.tiers.values()))
        for number, address in enumerate(self.load.routers):
            await self.start_router(number, address)

    def made(self, name: str) -> Tier:
        tier = Tier(name, free_port(), free_port(), self.folder / f"{name}.txtpb")
        tier.file.write_text(self.settings(tier))
        return tier

    def settings(self, tier: Tier) -> str:
        form = '  class {{ name: "{0.name}" aim_s: {0.aim} deadline_s: {0.deadline} fresh_s: {0.fresh} }}'
        classes = "\n".join(form.format(kind) for kind in KINDS if not kind.charge)
        host, port = self.feed.address
        return (
            f'tier {{\n  name: "{tier.name}"\n  group: "{tier.name.split("-")[0]}"\n'
            f'  listen: "127.0.0.1:{tier.port}"\n  console: "127.0.0.1:{tier.console}"\n'
            f'  feed: "{host}:{port}"\n  folder: "."\n{classes}\n'
            f'  hop_key {{ id: "{KEY}" file: "hop.key" }}\n  moves {{ window_s: 60 }}\n'
            "  cold { start: 0.062 warm_after_s: 20 multiple: 2 window_s: 2 }\n}\n"
        )

    def node(self, name: str, group: str, parents: tuple[str, ...], **also: Any) -> NodeSpec:
        return NodeSpec(name, ("127.0.0.1", self.tiers[name].port), group, parents, **also)

    async def start_tier(self, tier: Tier) -> None:
        tier.started = time.time()
        with open(self.folder / f"{tier.name}.log", "ab") as log:
            tier.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "paddlequay", "tier", str(tier.file), cwd=ROOT, stderr=log
            )

    async def start_router(self, number: int, address: tuple[str, int]) -> None:
        path = self.folder / f"router-{number}.json"
        path.write_text(json.dumps(self.config(number, address)))
        temporary = self.folder / f"router-{number}.tmp"
        temporary.mkdir(exist_ok=True)
        console = self.consoles[number] = free_port()
        told = {
            "ROUTER_CONFIG": str(path),
            "TMPDIR": str(temporary),
            "ROUTER_CONSOLE": f"127.0.0.1:{console}",
        }
        told |= self.plan.environment
        if self.plan.discovery:
            (self.folder / "discovery.txtpb").write_text(self.plan.discovery)
            told["PADDLEQUAY_DISCOVERY"] = str(self.folder / "discovery.txtpb")
        with open(self.folder / f"router-{number}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "paddlequay", cwd=self.plan.root, env=os.environ | told, stderr=log
            )
        self.routers.append(process)
        await self.until_ready(console)

    async def until_ready(self, port: int) -> None:
        longest = self.until_longest
        end = time.monotonic() + longest
        while time.monotonic() < end:
            if await asyncio.to_thread(answers, f"http://127.0.0.1:{port}/-/ready"):
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"nothing is ready at console port {port} within {longest:g} s: see {self.folder}")

    def config(self, number: int, address: tuple[str, int]) -> dict[str, Any]:
        """The router's configuration as the platform would give it."""
        settings = {
            "locality": "plaza",
            "localities": ["hub", "plaza"],
            "kinds": ["box", "parent", "origin"],
            "groupSize": self.plan.routers,
            "weights": "nominal",
            "classes": [
                {
                    "name": kind.name,
                    "aim": kind.aim,
                    "deadline": kind.deadline,
                    "idempotency": "non_idempotent" if kind.charge else "read_like",
                    "window": 5,
                }
                for kind in KINDS
            ],
            "limits": {"attemptsCap": 6, "cancel": True, "retryAfter": True, "maxRetryAfter": 2},
            "rules": {"coldFrom": 0.17, "cold": 15, "fall": 2, "fallMultiple": 2.5},
            "extra": {
                "parentKind": 1,
                "rootKind": 2,
                "goesThrough": [kind.charge for kind in KINDS],
                "classFresh": [kind.fresh for kind in KINDS],
                "countByZone": [0, self.plan.routers],
                "peersFill": "none",
                "mergesFills": True,
                "bypassAllowed": True,
                "detail": "all",
                "clearedWithin": 6.0,
                "parentStartsAt": 0.062,
                "parentCold": 20,
                "parentBreaksAt": 2,
            },
        }
        host, port = self.bulletin.address
        return {
            "name": f"r{number}",
            "listen": f"127.0.0.1:{address[1]}",
            "seed": f"{self.plan.seed * 100 + number:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bulletin": f"{host}:{port}",
            "known": {"no": len(self.bulletin.events), "items": self.bulletin.events},
            "settings": settings,
        }

    def where(self, name: str) -> tuple[str, int] | None:
        if name == STORE:
            return self.store.address
        tier = self.tiers.get(name)
        return ("127.0.0.1", tier.port) if tier is not None else None

    # --- news ---

    async def reshape(self, delta: TopologyDelta) -> None:
        """A change of the shape: told to the tiers by the feed, and to routers as parents in the bulletin."""
        before = self.shape
        self.shape = apply_delta(before, delta, TopologyLimits())
        await self.feed.tell(
            shape=encode_delta(delta if delta.base_version is None else delta_between(before, self.shape))
        )
        words = {state: word for word, state in STATES.items()}
        now: dict[str, dict[str, Any]] = {}
        for node in self.shape.nodes.values():
            if node.is_origin or node.group == "aimag":
                now[node.name] = entry(
                    node.name, node.address, "origin" if node.is_origin else "parent", "hub"
                ) | {
                    "weight": node.weight,
                    "lifecycle": words[node.state],
                    "startedAtMs": round(node.started_at * 1000),
                }
        for box in self.boxes if self.plan.listed else ():
            now[box.name] = entry(box.name, box.address, "box", "plaza")
        changed = [each for name, each in now.items() if self.listed.get(name) != each]
        gone = [each | {"lifecycle": "terminated"} for name, each in self.listed.items() if name not in now]
        first = not self.listed
        self.listed = now
        if changed or gone:
            await self.bulletin.tell(
                roster={"generation": self.shape.version, "reset": first, "instances": changed + gone}
            )

    async def change(self, put: tuple[NodeSpec, ...] = (), drop: tuple[str, ...] = ()) -> None:
        await self.reshape(TopologyDelta(self.shape.version + 1, self.shape.version, put, drop))

    async def purge(self, name: str) -> None:
        issued = self.store.purge(name)
        recall = {"item": name, "issued": round(issued * 1000)}
        await self.bulletin.tell(recall=recall)
        await self.feed.tell(recall=recall)
        for box in self.boxes:
            box.purge(name, issued)

    # --- reshaping ---

    def random_change(self) -> tuple[NodeSpec, ...]:
        """One tier weighs otherwise, or takes another of its own as a parent, or lets go of it."""
        tier = [node for node in self.shape.nodes.values() if node.group == "aimag" and node.is_ready]
        some = tier[int(self.rng.integers(len(tier)))]
        regional = tuple(node.name for node in self.shape.nodes.values() if node.group == "regional")
        if self.rng.random() < 0.5:
            return (replace(some, weight=float(self.rng.choice([0.3, 1.0, 3.0]))),)
        other = tier[int(self.rng.integers(len(tier)))]
        plain = replace(other, parents=(*regional, STORE))
        if other.name == some.name:
            return (plain,)
        # The other way round than before: for a while the two name each other.
        return (plain, replace(some, parents=(other.name, *regional, STORE)))

    async def kill(self, name: str) -> None:
        """A tier vanishes without a word, and comes back empty."""
        tier = self.tiers[name]
        assert tier.process is not None
        tier.process.kill()
        await tier.process.wait()
        self.killed.append((time.time(), name))

    async def revive(self, name: str) -> None:
        await self.start_tier(self.tiers[name])
        self.revived.append((time.time(), name))
        node = self.shape.nodes[name]
        await self.change(
            (replace(node, started_at=round(self.tiers[name].started, 3), state=MemberState.READY),)
        )

    async def pages(self) -> dict[str, dict[str, Any]]:
        """What each tier's console tells of the hierarchy."""
        found = {}
        for name, tier in self.tiers.items():
            with contextlib.suppress(OSError, ValueError):
                found[name] = await asyncio.to_thread(page, tier.console)
        return found

    # --- going down ---

    async def down(self) -> None:
        processes = [tier.process for tier in self.tiers.values() if tier.process is not None] + self.routers
        for process in processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in processes:
            try:
                await asyncio.wait_for(process.wait(), 6.0)
            except TimeoutError:
                process.kill()
                await process.wait()
        for news in (self.bulletin, self.feed):
            news.close()
        for server in (self.store, *self.boxes):
            server.close()
        await asyncio.sleep(0.05)

    # --- audit ---

    def second_fills(self, since: float = 0.0) -> list[tuple[str, str, int, int]]:
        """Video parts that the store gave out more than once for one purge: name, part, purge, how often."""
        counts: dict[tuple[str, str, int], int] = {}
        for given in self.store.given:
            if given.class_name == "lane-video" and given.at >= since:
                key = (given.name, given.part, given.epoch)
                counts[key] = counts.get(key, 0) + 1
        return [(*key, count) for key, count in counts.items() if count > 1]


def entry(name: str, address: tuple[str, int], kind: str, zone: str) -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"{address[0]}:{address[1]}",
        "zone": zone,
        "machineType": kind,
        "cell": 0,
        "lifecycle": "in_service",
        "weight": 1,
        "startedAtMs": 0,
    }


def answers(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=1.0) as answer:
            return bool(answer.status == 200)
    except OSError:
        return False


def page(console: int) -> dict[str, Any]:
    with urllib.request.urlopen(f"http://127.0.0.1:{console}/-/hierarchy", timeout=1.0) as answer:
        data: dict[str, Any] = json.loads(answer.read())
        return data


@dataclass(slots=True)
class Script:
    """What happens to a plaza while it is driven: each call after so many seconds, again and again."""

    plaza: ZoneCluster
    steps: list[tuple[float, Callable[[], Any]]] = field(default_factory=list)

    async def run(self) -> None:
        await asyncio.gather(*(self.again(every, call) for every, call in self.steps))

    @staticmethod
    async def again(every: float, call: Callable[[], Any]) -> None:
        while True:
            await asyncio.sleep(every)
            await call()
