"""Start of a node in the middle: read the settings, wire the parts, serve, and end in order."""

import asyncio
import contextlib
import json
import logging
import math
import signal
import socket
import time
from pathlib import Path
from typing import Any

from paddlequay.config.limits import RESERVED_DESCRIPTORS, Limits
from paddlequay.config.values import Address
from paddlequay.errors import ConfigError, RecordError
from paddlequay.hierarchy.fill_path import Keyring
from paddlequay.hierarchy.node import Node
from paddlequay.hierarchy.source_fallback import NODE_KIND, STORE_KIND, FallbackRouter, member, members_of
from paddlequay.hierarchy.topology import (
    Topology,
    TopologyError,
    TopologyTracker,
    delta_data,
    next_shape,
    read_delta,
    whole,
)
from paddlequay.lifecycle.operator_state import EJECTED_PREFIX, OperatorState, Override
from paddlequay.net import listener as listeners
from paddlequay.net.console import Console
from paddlequay.net.hierarchy.tier_front import TierFront
from paddlequay.net.hierarchy.topology_feed import Feed
from paddlequay.net.scheduler import LoopScheduler
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol import endpoint_watch as bulletin
from paddlequay.protocol.endpoint_watch import Endpoint
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.routing.interface import RoutingSettings
from paddlequay.schema.read import TierSettings, read_settings
from paddlequay.store import files

LOGGER = logging.getLogger("paddlequay.programs.tier")

KIND, FORM = "shape", 1


class Alone:
    """No other process of this name."""

    async def confirm(self, name: str, mark: Override) -> bool:
        return True


def limits_of(settings: TierSettings) -> Limits:
    """The limits of the parts that a tier shares with the router."""
    askers = max(1, int(settings.sockets / 2) - 1)
    return Limits(
        client_connections=askers,
        all_cache_connections=max(4, settings.sockets - askers - RESERVED_DESCRIPTORS),
        cores=settings.cores,
        max_open_requests=settings.node.fills,
        max_body_bytes=1024 * 1024,
        answer_margin=0.0,
        max_attempts=32,
        silence_check_after=1.1
        * sum(kind.latency_objective for kind in settings.classes)
        / len(settings.classes),
        shutdown_timeout=min(3.0, max(kind.deadline for kind in settings.classes)) + 0.5,
    )


class TierProgram:
    """All parts of one node."""

    def __init__(self, settings: TierSettings, path: Path) -> None:
        loop = asyncio.get_running_loop()
        self.settings, self.path = settings, path
        self.limits = limits_of(settings)
        self.counters = Counters()
        self.scheduler = LoopScheduler(loop)
        self.began = self.scheduler.unix()
        folder = settings.folder
        self.operation = OperatorState((folder or Path("/nonexistent")) / f"paddlequay-{settings.name}.json")
        self.node = Node(settings.name, settings.node, settings.moves, self.began, settings.group)
        self.climber = FallbackRouter(
            RoutingSettings(
                zone="",
                classes=settings.classes,
                parent_kind=NODE_KIND,
                origin_kind=STORE_KIND,
                bypass_allowed=True,
                coalesces_fills=True,
                detailed_replies=True,
                weights="nominal",
                can_cancel=True,
                max_attempts=self.limits.max_attempts,
                parent_slow_start=settings.cold,
                purge_completion=settings.node.purge_memory,
            ),
            int(self.began * 1e6),
            self.node,
        )
        shares = ProcessQuotas(self.limits)
        self.exchange = Exchange(
            self.climber, self.operation, shares, self.limits, self.scheduler, self.counters
        )
        self.pool = ConnectionPool(self.exchange, shares, self.limits, self.counters)
        self.front = TierFront(
            self.node,
            self.climber,
            self.exchange,
            self.pool,
            Keyring(settings.keys),
            self.limits,
            self.counters,
        )
        self.console = Console(self.operation, self.front, Alone(), self.limits, self.counters)
        self.console.pages["hierarchy"] = self.page
        self.operation.on_change.append(self.ordered)
        self.saved = folder / f"shape-{settings.name}" if folder is not None else None
        self.saving: asyncio.Task[None] | None = None
        self.unsaved = False
        self.shaper = TopologyTracker(settings.shape)
        self.recover()
        self.feed = Feed(
            settings.feed, self.shaper, settings.shape, self.limits, self.counters, self.scheduler.monotonic
        )
        self.feed.on_shape, self.feed.on_purge = self.shaped, self.purged
        self.listener = self.bind("tier.listen", settings.listen)
        if settings.console is not None:
            self.console.listen(self.bind("tier.console", settings.console))
        self.stop = asyncio.Event()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self.print, "asked")
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    def bind(self, name: str, address: Address) -> socket.socket:
        try:
            return listeners.bind(address)
        except OSError as error:
            raise ConfigError(f"{self.path}: {name}: {address[0]}:{address[1]}: {error.strerror}") from None

    # --- news ---

    def shaped(self, shape: Topology) -> None:
        """Act on a shape from now on, and keep it for the next start."""
        self.take(shape)
        self.unsaved = True
        if self.saved is not None and (self.saving is None or self.saving.done()):
            self.saving = asyncio.ensure_future(self.save())

    def take(self, shape: Topology) -> None:
        """The pool first: a decision that follows from the news may send to whom it names."""
        self.node.follow(shape, self.scheduler.unix())
        names = list(members_of(shape, self.node.name, self.node.group))
        listed = tuple(Endpoint(member(shape, name), shape.nodes[name].address) for name in names)
        self.pool.update_endpoints(listed, True)
        self.exchange.update_members(tuple(entry.member for entry in listed), True)
        known = self.node.name in shape.nodes
        if not known:
            log.event(LOGGER, logging.WARNING, "not_in_the_shape", version=shape.version)
        self.front.waiting_for = ""

    def purged(self, item: bulletin.PurgeEvent) -> None:
        name = None if item.key is None else f"{item.key:016x}"
        self.node.purged(name, item.group, item.issued_at, self.scheduler.unix())
        self.exchange.record_purge(item.key, item.group, item.issued_at)

    def ordered(self, name: str) -> None:
        """Operators leave a node out, or put it back: no fill asks it, and no home is looked for there."""
        if name.startswith(EJECTED_PREFIX):
            self.node.barred = set(self.operation.ejected_ids)

    # --- kept over a restart ---

    def recover(self) -> None:
        """Begin with the shape of before, in case the feed is away."""
        if self.saved is None:
            return
        with contextlib.suppress(OSError, ValueError):
            self.operation.load()
        self.node.barred = set(self.operation.ejected_ids)
        try:
            body = files.load(self.saved, KIND, FORM)
            if body is None:
                return
            data = json.loads(body)
            shape = next_shape(
                Topology(), read_delta(data["shape"], self.settings.shape), self.settings.shape
            )
            self.node.moves.restore(data["epochs"], self.scheduler.unix())
        except (OSError, RecordError, TopologyError, ValueError, KeyError, TypeError) as error:
            self.counters.add("shape_unreadable")
            log.event(LOGGER, logging.WARNING, "shape_unreadable", path=self.saved, why=str(error)[:200])
            return
        self.shaper.shape = shape
        self.take(shape)
        log.event(LOGGER, logging.INFO, "shape_from_file", version=shape.version, nodes=len(shape.nodes))

    async def save(self) -> None:
        """Away from the loop: the flush of a disk may take long. What came meanwhile is saved after it."""
        assert self.saved is not None
        while self.unsaved:
            self.unsaved = False
            data = {"shape": delta_data(whole(self.shaper.shape)), "epochs": self.node.moves.data()}
            body = json.dumps(data, separators=(",", ":")).encode()
            try:
                await asyncio.get_running_loop().run_in_executor(
                    None, files.save, self.saved, KIND, FORM, body
                )
                self.counters.add("shapes_saved")
            except OSError as error:
                self.counters.add("shapes_not_saved")
                log.event(LOGGER, logging.WARNING, "shape_not_saved", path=self.saved, why=str(error))

    def reload(self) -> None:
        """Read the settings again: keys and the feed's address can change while serving."""
        try:
            settings = read_settings(self.path)
        except ConfigError as error:
            self.counters.add("reloads_refused")
            return log.event(LOGGER, logging.WARNING, "reload_refused", why=str(error))
        self.counters.add("reloads")
        self.front.keyring = Keyring(settings.keys)
        self.feed.change_address(settings.feed)
        host, port = settings.feed
        keys = ",".join(key.id for key in settings.keys)
        log.event(LOGGER, logging.INFO, "reloaded", feed=f"{host}:{port}", keys=keys)

    # --- how it stands ---

    def page(self) -> str:
        """`GET /-/hierarchy`: the shape, homes, moves under way, leases and loops."""
        node, now = self.node, self.scheduler.unix()
        counts = node.seen.counts
        shares = dict.fromkeys(node.moves.members, 0)
        for key in range(256):
            home = node.moves.homes.first_home(key * 0x9E3779B97F4A7C15 % (1 << 64))
            if home is not None:
                shares[home] += 1
        own = node.shape.nodes.get(node.name)
        data: dict[str, Any] = {
            "name": node.name,
            "group": node.group,
            "version": node.shape.version,
            "nodes": len(node.shape.nodes),
            "listed": own is not None,
            "parents": list(own.parents) if own is not None else [],
            "home_shares": {name: round(count / 256, 3) for name, count in shares.items()},
            "left_out": sorted(node.barred),
            "moves": [
                {"from_version": epoch.version, "since_s": round(now - epoch.left, 3)}
                for epoch in node.moves.epochs
            ],
            "claims": len(node.moves.claims),
            "fills_under_way": len(node.leases),
            "oldest_fill_s": round(node.leases.oldest(now), 3),
            "waiting": node.waiting,
            "copies": len(node.copies),
            "copy_bytes": node.copies.bytes,
            "loops_found": counts["loops_found"],
            "loops_cut": counts["loops_cut"],
            "rings_refused": counts["rings_refused"],
            "deltas_held": len(self.shaper.held),
        }
        return json.dumps(data)

    def print(self, why: str) -> None:
        for name, count in self.node.seen.counts.items():
            self.counters.counts[f"node.{name}"] = count
        self.counters.counts["node.evicted"] = self.node.copies.evicted
        self.counters.print(why)

    # --- life ---

    async def beating(self) -> None:
        before = (time.monotonic(), time.process_time())
        while True:
            await asyncio.sleep(self.limits.heartbeat_interval)
            now = (time.monotonic(), time.process_time())
            self.front.beat((now[1] - before[1]) / max(1e-9, now[0] - before[0]) / self.limits.cores)
            late = now[0] - before[0] > self.limits.heartbeat_interval + self.limits.max_heartbeat_delay
            before = now
            if not late:
                self.pool.close_unresponsive()

    async def sweeping(self) -> None:
        while True:
            await asyncio.sleep(self.limits.sweep_interval)
            self.pool.sweep()
            self.front.sweep()

    async def run(self) -> None:
        """Serve until SIGTERM, then end in order."""
        tasks = [
            asyncio.ensure_future(each) for each in (self.feed.follow(), self.beating(), self.sweeping())
        ]
        self.front.listen(self.listener)
        host, port = self.front.address
        log.event(LOGGER, logging.INFO, "serving", node=self.node.name, at=f"{host}:{port}")
        await self.stop.wait()
        await self.end()
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.print("exit")

    async def end(self) -> None:
        """No new connections; what is open is answered, or given up at the end of the time allowed."""
        now = asyncio.get_running_loop().time
        began = now()
        self.front.shutting_down = True
        log.event(LOGGER, logging.INFO, "shutdown_started", open=self.node.waiting)
        if self.front.acceptor is not None:
            self.front.acceptor.stop()
        self.listener.close()
        while now() - began < self.limits.shutdown_timeout and (self.node.waiting or self.unsent):
            await asyncio.sleep(0.01)
        self.exchange.abandon_all()
        self.front.carry(self.node.tick(math.inf))
        flushed_by = now() + self.limits.flush_timeout
        while self.unsent and now() < flushed_by:
            await asyncio.sleep(0.01)
        if self.saving is not None:
            await self.saving
        log.event(LOGGER, logging.INFO, "shutdown_ended", after=now() - began)

    @property
    def unsent(self) -> bool:
        return any(session.unsent for session in self.front.sessions)


async def serve(path: Path) -> None:
    await TierProgram(read_settings(path), path).run()
