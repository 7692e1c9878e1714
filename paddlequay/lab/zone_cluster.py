"""A small zone on loopback: real routers and tiers, beside simulated caches, an origin and event streams."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
import urllib.request
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
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
from paddlequay.lab.cache_servers import EdgeCacheServer, OriginServer
from paddlequay.lab.event_stream_server import EventStreamServer
from paddlequay.lab.load import LOAD_CLASSES, Load
from paddlequay.lab.ports import free_port
from paddlequay.lab.zone_settings import (
    KEY_FILE,
    LOWER_GROUP,
    ORIGIN_ZONE,
    OWN_ZONE,
    UPPER_GROUP,
    endpoint_entry,
    platform_settings,
    tier_settings,
)
from paddlequay.protocol.endpoint_watch import STATES
from paddlequay.routing.interface import MemberState

ROOT = Path(__file__).parent.parent.parent
ORIGIN = "store-1"
EVENT_DELAY_S = (0.036, 0.39)  # until a connection gets an event
READY_POLL_S = 0.05
STOP_TIMEOUT_S = 6.0
CLOSE_PAUSE_S = 0.05
CONSOLE_TIMEOUT_S = 1.0
AUDITED_CLASS = "lane-video"
WORD_OF_STATE = {state: word for word, state in STATES.items()}


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """What a zone consists of.

    Attributes:
        routers: How many routers run.
        boxes: How many edge caches are simulated.
        tiers: How many nodes of the lower group run.
        regional: How many nodes of the upper group run.
        rate: Requests per second.
        seed: The seed of all random draws.
        discovery: Settings of the routers' sources of members, in place of the endpoint list alone.
        listed: Whether the endpoint list names the edge caches.
        environment: The routers' environment, beside the platform's variables.
        root: The folder of the program that the routers run; an earlier version may be compared with.
    """

    routers: int = 2
    boxes: int = 4
    tiers: int = 3
    regional: int = 2
    rate: float = 150.0
    seed: int = 1
    discovery: str = ""
    listed: bool = True
    environment: Mapping[str, str] = field(default_factory=dict)
    root: Path = ROOT


@dataclass(slots=True, eq=False)
class TierProcess:
    """One tier's process, its ports and its settings file; `started_at` is in Unix seconds."""

    name: str
    port: int
    console: int
    file: Path
    process: asyncio.subprocess.Process | None = None
    started_at: float = 0.0


class ZoneCluster:
    """Everything of one run.

    Args:
        plan: What the zone consists of.
        folder: Holds settings, logs and what tiers save.
    """

    def __init__(self, plan: ZonePlan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.rng = np.random.default_rng(plan.seed)
        addresses = [("127.0.0.1", free_port()) for _ in range(plan.routers)]
        self.load = Load(addresses, plan.rate, plan.seed)
        self.origin = OriginServer(size=self.load.size)
        self.endpoint_list = EventStreamServer(self._event_delay)
        self.feed = EventStreamServer(self._event_delay)
        self.edge_caches: list[EdgeCacheServer] = []
        self.tiers: dict[str, TierProcess] = {}
        self.routers: list[asyncio.subprocess.Process] = []
        self.consoles: dict[int, int] = {}  # the console's port of each router
        self.ready_timeout_s = 15.0
        self.topology = Topology()
        self.listed: dict[str, dict[str, Any]] = {}  # the endpoint list by id
        self.revived: list[tuple[float, str]] = []  # tiers that were started again, and when (Unix seconds)

    async def up(self) -> None:
        """Starts all servers and processes, and waits until they are ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / KEY_FILE).write_bytes(os.urandom(16).hex().encode())
        for server in (self.origin, self.endpoint_list, self.feed):
            await server.start()
        for number in range(self.plan.boxes):
            freshness_s = {kind.name: kind.freshness_s for kind in LOAD_CLASSES}
            edge_cache = EdgeCacheServer(f"box-{number}", self.address_of, ORIGIN, freshness_s)
            await edge_cache.start()
            self.edge_caches.append(edge_cache)
        await self.publish_topology(self._first_topology())
        for tier in self.tiers.values():
            await self.start_tier(tier)
        await asyncio.gather(*(self.wait_until_ready(tier.console) for tier in self.tiers.values()))
        for number, address in enumerate(self.load.routers):
            await self.start_router(number, address)

    async def down(self) -> None:
        """Stops all processes and servers."""
        tiers = [tier.process for tier in self.tiers.values() if tier.process is not None]
        processes = tiers + self.routers
        for process in processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in processes:
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                process.kill()
                await process.wait()
        for stream in (self.endpoint_list, self.feed):
            stream.close()
        for server in (self.origin, *self.edge_caches):
            server.close()
        await asyncio.sleep(CLOSE_PAUSE_S)

    async def start_tier(self, tier: TierProcess) -> None:
        """Starts a tier's process."""
        tier.started_at = time.time()
        with open(self.folder / f"{tier.name}.log", "ab") as log:
            tier.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "paddlequay", "tier", str(tier.file), cwd=ROOT, stderr=log
            )

    async def start_router(self, number: int, address: tuple[str, int]) -> None:
        """Starts a router's process and waits until it is ready."""
        path = self.folder / f"router-{number}.json"
        path.write_text(json.dumps(self.config(number, address)))
        temporary = self.folder / f"router-{number}.tmp"
        temporary.mkdir(exist_ok=True)
        console = free_port()
        self.consoles[number] = console
        variables = {
            "ROUTER_CONFIG": str(path),
            "TMPDIR": str(temporary),
            "ROUTER_CONSOLE": f"127.0.0.1:{console}",
        }
        variables |= self.plan.environment
        if self.plan.discovery:
            (self.folder / "discovery.txtpb").write_text(self.plan.discovery)
            variables["PADDLEQUAY_DISCOVERY"] = str(self.folder / "discovery.txtpb")
        environment = os.environ | variables
        with open(self.folder / f"router-{number}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "paddlequay", cwd=self.plan.root, env=environment, stderr=log
            )
        self.routers.append(process)
        await self.wait_until_ready(console)

    async def wait_until_ready(self, console: int) -> None:
        """Waits until the process behind a console is ready; raises TimeoutError."""
        end = time.monotonic() + self.ready_timeout_s
        while time.monotonic() < end:
            if await asyncio.to_thread(_is_ready, console):
                return
            await asyncio.sleep(READY_POLL_S)
        limit = f"{self.ready_timeout_s:g} s"
        raise TimeoutError(f"nothing is ready at console port {console} within {limit}: see {self.folder}")

    def config(self, number: int, address: tuple[str, int]) -> dict[str, Any]:
        """Returns a router's configuration as the platform would give it."""
        host, port = self.endpoint_list.address
        events = self.endpoint_list.events
        return {
            "name": f"r{number}",
            "listen": f"127.0.0.1:{address[1]}",
            "seed": f"{self.plan.seed * 100 + number:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bulletin": f"{host}:{port}",
            "known": {"no": len(events), "items": events},
            "settings": platform_settings(self.plan.routers),
        }

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Returns the address of a source of fills; None for an unknown one."""
        if name == ORIGIN:
            return self.origin.address
        tier = self.tiers.get(name)
        return ("127.0.0.1", tier.port) if tier is not None else None

    async def publish_topology(self, delta: TopologyDelta) -> None:
        """Changes the topology: for the tiers on their feed, for routers as parents in the endpoint list."""
        before = self.topology
        self.topology = apply_delta(before, delta, TopologyLimits())
        is_full = delta.base_version is None
        published = encode_delta(delta if is_full else delta_between(before, self.topology))
        await self.feed.publish(shape=published)
        entries = self._endpoint_entries()
        changed = [entry for name, entry in entries.items() if self.listed.get(name) != entry]
        gone = [
            entry | {"lifecycle": "terminated"} for name, entry in self.listed.items() if name not in entries
        ]
        is_first = not self.listed
        self.listed = entries
        if changed or gone:
            roster = {"generation": self.topology.version, "reset": is_first, "instances": changed + gone}
            await self.endpoint_list.publish(roster=roster)

    async def change(self, changed: tuple[NodeSpec, ...] = (), removed: tuple[str, ...] = ()) -> None:
        """Publishes the next version of the topology."""
        version = self.topology.version
        await self.publish_topology(TopologyDelta(version + 1, version, changed, removed))

    async def purge(self, name: str) -> None:
        """Purges an object everywhere."""
        purged_at = self.origin.purge(name)
        recall = {"item": name, "issued": round(purged_at * 1000)}
        await self.endpoint_list.publish(recall=recall)
        await self.feed.publish(recall=recall)
        for edge_cache in self.edge_caches:
            edge_cache.purge(name, purged_at)

    def random_change(self) -> tuple[NodeSpec, ...]:
        """Returns a random change: a tier changes its weight, gets another one as a parent, or loses it."""
        nodes = self.topology.nodes.values()
        tier = [node for node in nodes if node.group == LOWER_GROUP and node.is_ready]
        picked = tier[int(self.rng.integers(len(tier)))]
        regional = tuple(node.name for node in nodes if node.group == UPPER_GROUP)
        if self.rng.random() < 0.5:
            return (replace(picked, weight=float(self.rng.choice([0.3, 1.0, 3.0]))),)
        other = tier[int(self.rng.integers(len(tier)))]
        plain = replace(other, parents=(*regional, ORIGIN))
        if other.name == picked.name:
            return (plain,)
        # The other way round than before: for a while the two name each other.
        return (plain, replace(picked, parents=(other.name, *regional, ORIGIN)))

    async def kill(self, name: str) -> None:
        """Kills a tier's process without a shutdown."""
        process = self.tiers[name].process
        assert process is not None
        process.kill()
        await process.wait()

    async def revive(self, name: str) -> None:
        """Starts a killed tier again, empty, and publishes its new start."""
        tier = self.tiers[name]
        await self.start_tier(tier)
        self.revived.append((time.time(), name))
        started_at = round(tier.started_at, 3)
        restarted = replace(self.topology.nodes[name], started_at=started_at, state=MemberState.READY)
        await self.change((restarted,))

    async def pages(self) -> dict[str, dict[str, Any]]:
        """Returns the hierarchy page of each tier's console that answers."""
        found = {}
        for name, tier in self.tiers.items():
            with contextlib.suppress(OSError, ValueError):
                found[name] = await asyncio.to_thread(_hierarchy_page, tier.console)
        return found

    def second_fills(self, since: float = 0.0) -> list[tuple[str, str, int, int]]:
        """Returns the video parts that the origin gave out more than once for one purge.

        Each is given by name, part, the count of purges and the count of fills.
        """
        counts = Counter(
            (fill.name, fill.part, fill.epoch)
            for fill in self.origin.fills
            if fill.class_name == AUDITED_CLASS and fill.at >= since
        )
        return [(*key, count) for key, count in counts.items() if count > 1]

    def _event_delay(self) -> float:
        return float(self.rng.uniform(*EVENT_DELAY_S))

    def _first_topology(self) -> TopologyDelta:
        """Writes the tiers' settings; returns the topology of two groups of them under the origin."""
        regional = [f"{UPPER_GROUP}-{number}" for number in range(self.plan.regional)]
        lower = [f"{LOWER_GROUP}-{number}" for number in range(self.plan.tiers)]
        for name in (*regional, *lower):
            self.tiers[name] = self._make_tier(name)
        nodes = [NodeSpec(ORIGIN, self.origin.address, "stores", is_origin=True)]
        nodes += [self._node(name, UPPER_GROUP, (ORIGIN,)) for name in regional]
        nodes += [self._node(name, LOWER_GROUP, (*regional, ORIGIN)) for name in lower]
        return TopologyDelta(1, None, tuple(nodes))

    def _make_tier(self, name: str) -> TierProcess:
        tier = TierProcess(name, free_port(), free_port(), self.folder / f"{name}.txtpb")
        tier.file.write_text(tier_settings(name, tier.port, tier.console, self.feed.address))
        return tier

    def _node(self, name: str, group: str, parents: tuple[str, ...]) -> NodeSpec:
        return NodeSpec(name, ("127.0.0.1", self.tiers[name].port), group, parents)

    def _endpoint_entries(self) -> dict[str, dict[str, Any]]:
        """Returns the endpoint list: the origin, the lower group as parents, and the edge caches."""
        entries: dict[str, dict[str, Any]] = {}
        for node in self.topology.nodes.values():
            if node.is_origin or node.group == LOWER_GROUP:
                kind = "origin" if node.is_origin else "parent"
                entries[node.name] = endpoint_entry(node.name, node.address, kind, ORIGIN_ZONE) | {
                    "weight": node.weight,
                    "lifecycle": WORD_OF_STATE[node.state],
                    "startedAtMs": round(node.started_at * 1000),
                }
        for edge_cache in self.edge_caches if self.plan.listed else ():
            entries[edge_cache.name] = endpoint_entry(edge_cache.name, edge_cache.address, "box", OWN_ZONE)
        return entries


@dataclass(frozen=True, slots=True)
class RepeatedStep:
    """Something that is done to a zone again and again, each time after `interval_s` seconds."""

    interval_s: float
    act: Callable[[], Awaitable[None]]

    async def run(self) -> None:
        """Repeats the step until cancelled."""
        while True:
            await asyncio.sleep(self.interval_s)
            await self.act()


def _is_ready(console: int) -> bool:
    url = f"http://127.0.0.1:{console}/-/ready"
    try:
        with urllib.request.urlopen(url, timeout=CONSOLE_TIMEOUT_S) as answer:
            return bool(answer.status == 200)
    except OSError:
        return False


def _hierarchy_page(console: int) -> dict[str, Any]:
    url = f"http://127.0.0.1:{console}/-/hierarchy"
    with urllib.request.urlopen(url, timeout=CONSOLE_TIMEOUT_S) as answer:
        data: dict[str, Any] = json.loads(answer.read())
        return data
