"""Joins a router's cluster with its exchange: what happens here goes in, what the fleet decides comes out.

The cluster's parts decide; this carries. It is asked by the exchange at the moment of use (`Watch`), by the
socket between routers (`Owner`), and by operators for a page. Where nothing is shared it does not exist.
"""

import asyncio
import contextlib
import logging
import random
import time
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from typing import TYPE_CHECKING

from paddlequay.cluster import evidence
from paddlequay.cluster.messages import PeerMessage as PeerNote
from paddlequay.cluster.node import ClusterEvent, Node
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import (
    MAX_PEERS,
    Action,
    ChannelOwnership,
    Fleet,
    HolderObserved,
    LeaseAcquired,
    LeaseLost,
    LocalEvent,
    LogEvent,
    NameDigest,
    Peer,
    PeerChanged,
    SelfChanged,
    TableChanged,
    VerdictChanged,
)
from paddlequay.cluster.wire import Head
from paddlequay.config.loader import Config, Peering
from paddlequay.net.cluster.limit_permits import LimitPermits
from paddlequay.net.cluster.peers import Peers
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.placement.homes import digest
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AttemptResult, PendingRequest, UpstreamAttempt
from paddlequay.routing.interface import Outcome, OutlierReported, ReplyDetail

if TYPE_CHECKING:
    from paddlequay.net.cluster.channel_prefetcher import ChannelPrefetcher
    from paddlequay.net.cluster.placement_tables import PlacementTables

LOGGER = logging.getLogger(__name__)

LOG_PAUSE = 5.0  # seconds between two lines of a kind
NAMES_MOST = 20_000  # of members by digest
TRY_PAUSE = 0.1  # seconds between two tries to join beside an older process

# What log lines and counters call each kind of finding, whatever its type is named.
EVENT_NAMES: dict[type[LocalEvent], str] = {
    PeerChanged: "PeerChanged",
    SelfChanged: "SelfChanged",
    LeaseAcquired: "LeaseTaken",
    LeaseLost: "LeaseLost",
    HolderObserved: "HolderSeen",
    VerdictChanged: "VerdictChanged",
    ChannelOwnership: "Owned",
    TableChanged: "TableChanged",
}

# Fields of log lines and the attributes that they show, in the lines' order.
EVENT_FIELDS: dict[type[LocalEvent], dict[str, str]] = {
    PeerChanged: {"peer": "peer", "incarnation": "incarnation", "standing": "state"},
    SelfChanged: {"heard": "receives", "reaches": "reaches"},
    LeaseAcquired: {"lease": "lease", "term": "term", "until": "until"},
    LeaseLost: {"lease": "lease", "term": "term"},
    HolderObserved: {"lease": "lease", "holder": "holder", "term": "term"},
    VerdictChanged: {"subject": "subject", "trouble": "fault", "until": "until"},
    ChannelOwnership: {"channel": "channel", "term": "term"},
    TableChanged: {
        "epoch": "epoch",
        "digest": "digest",
        "former": "previous",
        "former_until": "previous_until",
    },
}


class Sharing:
    """One router's share in the cluster. Raises ValueError where settings and peers do not fit.

    There is no `node` while another process of this router has the peers' address, as when one process
    replaces another: two would use one share. Until it is free, requests under strict limits are refused.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        peering: Peering,
        config: Config,
        exchange: Exchange,
        counters: Counters,
    ) -> None:
        if len(peering.peers) > MAX_PEERS:
            raise ValueError(f"expected at most {MAX_PEERS} peers, got {len(peering.peers)}")
        acceptors = settings.acceptors
        if any(number >= len(peering.peers) for number in acceptors):
            raise ValueError(f"acceptors {list(acceptors)}: there are {len(peering.peers)} peers")
        self.settings, self.exchange, self.counters = settings, exchange, counters
        self.loop = asyncio.get_running_loop()
        self.peering, self.seed = peering, config.seed
        self.fleet = Fleet(peering.me, len(peering.peers), acceptors, config.settings.zone)
        self.longest = config.limits.max_time_to_live * max(kind.deadline for kind in config.settings.classes)
        self.node: Node | None = None
        self.peers: Peers | None = None
        self.waiting: asyncio.Task[None] | None = None
        self.stopped, self.away = True, False
        self.made()  # what cannot be used is said now
        self.permits = LimitPermits(settings, exchange, counters, self.loop.time)
        self.prefetcher: ChannelPrefetcher | None = None
        self.placement: PlacementTables | None = None
        if settings.rules is not None:
            from paddlequay.net.cluster import placement_tables

            self.placement = placement_tables.PlacementTables(
                settings.rules, config.settings, exchange, counters, self.act, self.loop.time
            )
        self.names: OrderedDict[NameDigest, str] = OrderedDict()
        self.logged: dict[str, float] = {}

    # --- its life ---

    def made(self) -> tuple[Node, Peers]:
        """A new life in the cluster: nothing of an earlier one is left, and its number is higher."""
        now = self.loop.time()
        node = Node(self.settings, self.fleet, time.time(), self.seed, now, self.longest)
        told = self.peering
        clock, wire = self.loop.time, node.wire
        owner = Life(self, node)
        peers = Peers(told.listen, told.peers, told.to_all, wire, node.outbox, self.counters, owner, clock)
        return node, peers

    async def start(self) -> None:
        """Join, or wait for the address beside a process that has it. Again after `stop` as well."""
        self.stopped = False
        if self.placement is not None:
            self.placement.start()
        if not await self.join():
            log.event(LOGGER, logging.INFO, "cluster_waits", why="another process has the peers' address")
            self.waiting = asyncio.ensure_future(self.wait())

    async def wait(self) -> None:
        while not await self.join():
            await asyncio.sleep(TRY_PAUSE)

    async def join(self) -> bool:
        """Whether the address could be had; the floors of limits fill from then on."""
        node, peers = self.made()
        try:
            await peers.start()
        except OSError:
            peers.close()
            return False
        self.node, self.peers = node, peers
        self.permits.use_limits(node.limits)
        if self.placement is not None:
            self.placement.join(node)
        self.join_channels(node)
        self.wake(now=True)
        log.event(LOGGER, logging.INFO, "cluster_joined", me=self.fleet.me, of=self.fleet.size)
        return True

    def join_channels(self, node: Node) -> None:
        """Own live channels from now on, where the settings name classes of them."""
        rule = self.settings.channels
        if rule is None or node.leases is None:
            return
        from paddlequay.cluster.channels import Channels
        from paddlequay.net.cluster.channel_prefetcher import ChannelPrefetcher

        now, drawn = self.loop.time(), random.Random(self.seed ^ node.liveness.incarnation)
        part = Channels(self.fleet, self.settings.bounds, rule, node.leases, drawn, now)
        node.join(part, Channels.HANDLED_MESSAGES)

        def tell(actions: Sequence[Action]) -> None:
            self.act(node, actions)

        zone = self.fleet.zone
        self.prefetcher = ChannelPrefetcher(part, zone, self.exchange, self.counters, tell, self.loop.time)

    def act(self, node: Node, actions: Sequence[Action]) -> None:
        """Let follow what something of this life asks for."""
        if node is self.node:
            self.told(node.settle(actions, self.loop.time()))
            self.wake(now=True)

    def leave(self) -> None:
        """Give back what others would have to wait for; the rest goes on, as in a drain."""
        if self.node is not None and self.peers is not None:
            now = self.loop.time()
            self.told(self.node.leave(now))
            if self.placement is not None:
                self.told(self.node.settle(self.placement.release_lease(now), now))
            if self.prefetcher is not None:
                self.told(self.node.settle(self.prefetcher.channels.drain(now), now))
            self.peers.flush()

    def stop(self) -> None:
        """Leave: the address is free, and nothing more is admitted under strict limits until `start`."""
        if self.stopped:
            return
        self.stopped = True
        self.leave()
        if self.waiting is not None:
            self.waiting.cancel()
        if self.peers is not None:
            self.peers.close()
        if self.placement is not None:
            self.placement.leave_cluster()
            self.placement.stop()
        self.permits.use_limits(None)
        self.node = self.peers = None

    def give_way(self) -> None:
        """A newer process of this router takes over: its share is no longer this one's."""
        self.stop()
        self.away = True

    def come_back(self) -> None:
        """There is no newer process, or no longer: the share is this one's again, in a new life."""
        if self.away:
            self.away = False
            self.waiting = asyncio.ensure_future(self.start())

    # --- the exchange's Watch ---

    def admit(self, item: PendingRequest, left: float) -> float | None:
        wait = self.permits.admit(item, left)
        with self.guarded():
            if wait is None and self.prefetcher is not None:
                self.prefetcher.admit(item)
            if wait is None and self.placement is not None:
                self.placement.prepare_request(item.request)
            self.wake()
        return wait

    @contextlib.contextmanager
    def guarded(self) -> Iterator[None]:
        """What is help must not cost a request its answer: a fault of the cluster's is counted and logged."""
        try:
            yield
        except Exception:
            if self.counters.add_once("cluster.errors"):
                LOGGER.exception("cluster_failed")

    def before_write(self, attempt: UpstreamAttempt, left: float) -> ReplyDetail | None:
        # Also after this process has left: a fill ahead that still waits is refused by its term.
        detail = self.prefetcher.before_write(attempt) if self.prefetcher is not None else None
        detail = detail or self.permits.before_write(attempt, left)
        with self.guarded():
            self.wake()
        return detail

    def attempt_ended(self, attempt: UpstreamAttempt, end: AttemptResult) -> None:
        with self.guarded():
            self.permits.attempt_ended(attempt, end)
            self.evident(attempt, end)

    def evident(self, attempt: UpstreamAttempt, end: AttemptResult) -> None:
        """What the end of an attempt is evidence of."""
        if self.node is None or self.node.verdicts is None or attempt.written_at is None:
            return
        kind = self.exchange.router.classes[attempt.pending.request.class_name]
        if (
            end.outcome is Outcome.TIMEOUT
            and attempt.expires_at - attempt.started_at < kind.latency_objective
        ):
            return  # its client gave it less time than an answer may take
        verdicts = self.node.verdicts
        origins = self.exchange.router.state.members.origins
        origin = origins[0].member.name if origins else None
        now = self.loop.time()
        actions: list[Action] = []
        for name, ok, fault in evidence.found(
            attempt.fetch, end.outcome, end.detail, end.unresponsive, origin
        ):
            member = self.exchange.members.get(name)
            if member is not None:
                start = int((member.started or 0.0) * 1000)
                actions += verdicts.saw(self.name(name), start, member.kind or "", ok, fault, now)
        if actions:
            self.told(self.node.settle(actions, now))
        self.wake(bool(actions))

    def request_ended(self, item: PendingRequest) -> None:
        with self.guarded():
            self.permits.request_ended(item)
            if self.prefetcher is not None:
                self.prefetcher.request_ended(item)

    def wake(self, now: bool = False) -> None:
        """What was asked may have to be told earlier than the timer is set for."""
        if self.peers is not None and self.node is not None:
            timer = self.peers.timer
            if now or timer is None or self.node.due() < timer.when():
                self.peers.flush()

    # --- what the cluster has found ---

    def told(self, events: Sequence[ClusterEvent]) -> None:
        for each in events:
            self.say(each)
            if isinstance(each, VerdictChanged):
                self.pass_on(each)
            elif isinstance(each, TableChanged) and self.placement is not None:
                self.placement.table_changed(each)

    def pass_on(self, word: VerdictChanged) -> None:
        """A word goes to the decisions, if it still holds now."""
        verdicts, name = self.node.verdicts if self.node else None, self.name_of(word.subject)
        if verdicts is None or name is None:
            return
        self.counters.add(f"cluster.word.{word.fault.name.lower() if word.fault else 'none'}")
        if verdicts.earlier_skip(word.subject, self.loop.time()):
            self.counters.add("cluster.words_passed_on")
            self.exchange.deliver(OutlierReported(name))

    def name(self, name: str) -> NameDigest:
        """A member's digest, remembered so that words on it can be told apart."""
        number = digest(name)
        self.names[number] = name
        self.names.move_to_end(number)
        if len(self.names) > NAMES_MOST:
            self.names.popitem(last=False)
        return number

    def name_of(self, subject: NameDigest) -> str | None:
        """The member that a subject is: also one that this router has had nothing from yet."""
        if subject not in self.names:
            for name in self.exchange.members:
                self.name(name)
        return self.names.get(subject)

    def say(self, event: ClusterEvent) -> None:
        """A line for what changes, at most one of a kind in some seconds."""
        name = event.event if isinstance(event, LogEvent) else EVENT_NAMES[type(event)]
        self.counters.add(f"cluster.{name}")
        now = self.loop.time()
        if now - self.logged.get(name, -LOG_PAUSE) >= LOG_PAUSE:
            self.logged[name] = now
            log.event(LOGGER, logging.INFO, f"cluster_{name}", **dict(fields(event)))


class Life:
    """One life's side of the socket: what still comes for an earlier one has no effect."""

    def __init__(self, sharing: Sharing, node: Node) -> None:
        self.sharing, self.node = sharing, node

    def handle_message(self, sender: Peer, head: Head, messages: tuple[PeerNote, ...]) -> None:
        self.sharing.told(self.node.handle_message(sender, head, messages, self.sharing.loop.time()))

    def tick(self) -> None:
        self.sharing.told(self.node.tick(self.sharing.loop.time()))

    def due(self) -> float:
        return self.node.due()


def fields(event: LocalEvent | LogEvent) -> Iterable[tuple[str, object]]:
    """What a line shows of it."""
    if isinstance(event, LogEvent):
        return event.fields
    return [(name, getattr(event, attribute)) for name, attribute in EVENT_FIELDS[type(event)].items()]
