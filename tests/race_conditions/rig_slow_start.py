"""A fleet in virtual time: many real `Router`s, caches that are cold, and what reaches those, by window.

Caches are links shared evenly by their transfers, which turn away what they have no slot for. No sockets; all
that is random comes from one seed.
"""

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

from rig_slow_start_site import KINDS, MEAN, Kind, Site

from paddlequay.policy import Router
from paddlequay.routing.interface import (
    NO_LOAD_REPORT,
    Action,
    AttemptEnded,
    Cancel,
    Event,
    Fetch,
    LoadReport,
    Member,
    MembersChanged,
    MemberState,
    Outcome,
    Reject,
    ReplyDetail,
    Request,
    RoutingSettings,
    SlowStart,
)

SOURCE_NOTES = (ReplyDetail.SOURCE_REJECTED, ReplyDetail.SOURCE_UNREACHABLE)
SLOTS = 8.0  # transfers that a cache takes, over those that fit its link at full pace
USED = 0.6  # of the links, while nothing is cold
REPORT_S = 0.5
KEPT_S = {"cache": 12.0, "parent": 30.0}  # unread copies
READ_AGAIN, POPULAR = 0.85, 150.0  # requests for objects that others ask for too; how many such there are
FILLED = 0.3  # of what edges serve: parents' links are made for so much


@dataclass(eq=False)
class Cache:
    """An edge, a parent or the origin; `sent` holds the time and the work of all that reached it."""

    name: str
    plaza: str
    kind: str
    capacity: float
    ramp: SlowStart
    started: float | None = None
    here: bool = True
    active: float = 0.0
    held: dict[int, float] = field(default_factory=dict)
    filling: dict[int, float] = field(default_factory=dict)
    sent: list[tuple[float, float, bool]] = field(default_factory=list)  # the last: by who was told
    hits: float = 0.7
    report: LoadReport = NO_LOAD_REPORT
    reported_at: float = -math.inf
    busy: float = 0.0
    busy_at: float = 0.0

    def share(self, now: float) -> float:
        """Of its capacity, by the settings' word."""
        ramp = self.ramp
        if self.started is None or ramp.initial_share is None or not ramp.duration:
            return 1.0
        return min(
            1.0,
            ramp.initial_share + (1.0 - ramp.initial_share) * max(0.0, now - self.started) / ramp.duration,
        )

    def entry(self, state: MemberState = MemberState.READY) -> Member:
        return Member(self.name, self.plaza, self.kind, 0, state, None, self.started)

    def slowness(self, now: float) -> float:
        return max(1.0, (self.active + 1.0) / (self.capacity * self.share(now)))

    def full(self, now: float) -> bool:
        return self.active >= SLOTS * self.capacity * self.share(now)

    def add(self, change: float, now: float) -> None:
        self.busy += min(1.0, self.active / self.capacity) * (now - self.busy_at)
        self.active, self.busy_at = self.active + change, now

    def holds(self, key: int, now: float) -> bool:
        if now - self.held.get(key, -math.inf) > KEPT_S.get(self.kind, math.inf):
            return self.kind == "origin"
        self.held[key] = now
        return True


@dataclass(eq=False)
class Node:
    """One place in the fleet where a router runs, and its part of its plaza's traffic."""

    number: int
    plaza: str
    weight: float
    router: Router | None = None
    open: dict[str, list[int]] = field(default_factory=dict)  # kind, object, tries, attempts
    ends: dict[tuple[str, int], Callable[[Outcome], None]] = field(default_factory=dict)


class Fleet:
    """A site at one seed. `at` plans what happens; `run` plays it."""

    def __init__(self, site: Site, seed: int, surge: float = 1.0) -> None:
        self.site, self.chance = site, random.Random(seed)
        self.now, self.serial, self.surge = 0.0, 0, surge
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.plazas = [f"plaza-{n}" for n in range(site.plazas)]
        self.caches: dict[str, Cache] = {"origin": Cache("origin", "hub", "origin", 1e6, SlowStart())}
        for plaza in self.plazas:
            for n in range(site.edges):
                lean = 1.0 + site.unequal * (2.0 * n / max(1, site.edges - 1) - 1.0)
                self.put(Cache(f"{plaza}-e{n}", plaza, "cache", site.capacity * lean, site.edge))
        total = site.plazas * site.edges * site.capacity
        self.rate = USED * total / MEAN  # requests a second, all plazas
        for n in range(site.parents):
            self.put(Cache(f"parent-{n}", "hub", "parent", FILLED * total / site.parents, site.parent))
        self.nodes = [Node(n, self.plazas[n % site.plazas], self.weight()) for n in range(site.routers)]
        self.counts = {"served": 0, "refused": 0}
        self.told_late = (0.3, 2.4)  # seconds until a router has heard of a change
        self.silent = (math.inf, -math.inf)  # discovery is down from, to
        for node in self.nodes:
            self.start(node)
        self.fill()
        self.arrive()

    def fill(self) -> None:
        """Caches that ran before hold what was asked for."""
        for cache in self.caches.values():
            cache.held = {(key << 4) + n: 0.0 for key in range(int(POPULAR)) for n in range(len(KINDS))}

    def weight(self) -> float:
        """One router in eight sees several times the mean."""
        busy = self.chance.random() < 0.125
        return self.chance.uniform(3.0, 5.0) if busy else self.chance.uniform(0.2, 1.0)

    def put(self, cache: Cache) -> None:
        self.caches[cache.name] = cache

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (when, self.serial, call))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] < until:
            self.now, _, call = heapq.heappop(self.queue)
            call()

    # --- routers ---

    def settings(self, node: Node) -> RoutingSettings:
        here = sum(each.plaza == node.plaza for each in self.nodes)
        return RoutingSettings(
            zone=node.plaza,
            classes=tuple(kind.told for kind in KINDS),
            router_count=self.site.routers,
            zone_router_count=here,
            parent_kind="parent",
            origin_kind="origin",
            sibling_fills="location",
            bypass_allowed=True,
            coalesces_fills=True,
            detailed_replies=self.site.tells == "all",
            flow_kb_per_s=5000.0,
            parallel_attempts=True,
            can_cancel=True,
            max_attempts=6,
            edge_slow_start=self.site.edge,
            parent_slow_start=self.site.parent,
            purge_completion=6.0,
        )

    def start(self, node: Node) -> None:
        """A process begins from nothing with the list as discovery had it last."""
        node.router, node.open, node.ends = Router(self.settings(node), self.chance.getrandbits(32)), {}, {}
        lists = (cache.entry() for cache in self.caches.values() if cache.here and self.listed(cache))
        self.hand(node, MembersChanged(tuple(lists), full=True))

    def listed(self, cache: Cache) -> bool:
        """Whether who starts now finds a member in its configuration."""
        since = self.now if self.now < self.silent[0] or self.now > self.silent[1] else self.silent[0]
        return cache.started is None or cache.started + self.told_late[0] < since

    def stop(self, node: Node) -> None:
        node.router = None

    def tell(self, *members: Member) -> None:
        """A change of the list comes to each router in its own time, and after an outage to all at once."""
        for node in self.nodes:
            when = self.now + self.chance.uniform(*self.told_late)
            if self.silent[0] <= when < self.silent[1]:
                when = self.silent[1] + self.chance.uniform(0.0, 0.3)
            self.at(when, partial(self.hand, node, MembersChanged(members)))

    def replace(self, cache: Cache, name: str) -> None:
        """A new machine in the place of an old one: empty and cold."""
        cache.here = False
        fresh = Cache(name, cache.plaza, cache.kind, cache.capacity, cache.ramp, self.now)
        self.put(fresh)
        self.tell(cache.entry(MemberState.REMOVED), fresh.entry())

    def restart(self, cache: Cache) -> None:
        """The same machine, started anew."""
        cache.started, cache.held, cache.filling, cache.here, cache.sent = self.now, {}, {}, True, []
        cache.hits = 0.0
        cache.report = NO_LOAD_REPORT
        self.tell(cache.entry())

    def hand(self, node: Node, event: Event) -> None:
        if node.router is None:
            return
        for action in node.router.handle(event, self.now):
            self.carry_out(node, action)

    # --- requests ---

    def arrive(self) -> None:
        self.at(self.now + self.chance.expovariate(self.rate * self.surge), self.arrive)
        number = self.chance.choices(range(len(KINDS)), [kind.part for kind in KINDS])[0]
        if self.chance.random() < READ_AGAIN:
            key = int(POPULAR ** self.chance.random())
        else:
            key = self.chance.getrandbits(40)
        self.ask(number, (key << 4) + number, self.chance.choice(self.plazas), 0)

    def ask(self, number: int, key: int, plaza: str, tries: int) -> None:
        nodes = [node for node in self.nodes if node.plaza == plaza and node.router is not None]
        if not nodes:
            return
        node = self.chance.choices(nodes, [node.weight for node in nodes])[0]
        self.serial += 1
        name = f"r{self.serial}"
        node.open[name] = [number, key, tries, 0]
        kind = KINDS[number].told
        self.hand(node, Request(name, kind.name, kind.deadline, key, 0, key % 256, retry=tries > 0 or None))

    def carry_out(self, node: Node, action: Action) -> None:
        match action:
            case Fetch():
                self.fetch(node, action)
            case Reject():
                number, key, tries, _ = node.open.pop(action.request)
                self.counts["refused"] += 1
                if tries < 2 and self.chance.random() < 0.75:
                    when = self.now + self.chance.uniform(0.05, 0.4)
                    self.at(when, partial(self.ask, number, key, node.plaza, tries + 1))
            case Cancel():
                end = node.ends.get((action.request, action.attempt))
                if end is not None:
                    self.at(self.now, partial(end, Outcome.CANCELLED))

    def knows(self, node: Node, cache: Cache) -> bool:
        """Whether a router was told of a cache's last start."""
        router = node.router
        return (
            router is not None and router.state.members.upstreams[cache.name].member.started == cache.started
        )

    def size(self, key: int, kind: Kind) -> float:
        return kind.work * random.Random(key).lognormvariate(-0.32, 0.8)

    def fetch(self, node: Node, fetch: Fetch) -> None:
        """An attempt reaches its target, which serves it, fills it or turns it away."""
        number, key, _, attempt = node.open[fetch.request]
        node.open[fetch.request][3] += 1
        kind, now = KINDS[number], self.now
        work = self.size(key, kind)
        target, source = self.caches[fetch.target], self.caches[fetch.source]
        ends, began = node.ends, now
        uses, outcome, wait = [target], Outcome.SERVED, 0.005
        note: ReplyDetail | None = ReplyDetail.HIT
        if target.here:
            target.sent.append((now, kind.work, self.knows(node, target)))
        if not target.here:
            uses, outcome, note, wait = [], Outcome.CONNECT_FAILED, None, 0.4
        elif target.full(now):
            uses, outcome, note = [], Outcome.REJECTED, None
        elif target.kind == "origin":
            note = None
        elif kind.told.uncacheable or not target.holds(key, now):
            note = ReplyDetail.FILLED
            if target is source or (fetch.only_if_cached and not source.holds(key, now)):
                uses, outcome, note = [], Outcome.MISS, None
            elif fetch.coalesce and target.filling.get(key, 0.0) > now and not kind.told.uncacheable:
                note, wait = ReplyDetail.COALESCED, target.filling[key] - now
            else:
                if source.here:
                    source.sent.append((now, kind.work, self.knows(node, source)))
                wait += 0.01
                if source.full(now) or not source.here:
                    uses, outcome = [], Outcome.REJECTED
                    note = ReplyDetail.SOURCE_REJECTED if source.here else ReplyDetail.SOURCE_UNREACHABLE
                else:
                    uses.append(source)
                    if not source.holds(key, now):
                        wait, note = wait + 0.08, ReplyDetail.FILLED_FROM_ORIGIN
                        source.held[key] = now
        took = wait + work * max((cache.slowness(now) for cache in uses), default=0.0)
        if outcome is Outcome.SERVED and target.kind != "origin":
            target.hits += 0.05 * ((note is ReplyDetail.HIT) - target.hits)
            if note not in (ReplyDetail.HIT, ReplyDetail.COALESCED):
                target.filling[key] = now + took
        if fetch.timeout is not None and took > fetch.timeout:
            took, outcome, note = fetch.timeout, Outcome.TIMEOUT, None
        for cache in uses:
            cache.add(1.0, now)
        told, waited = self.told(note), None
        if self.site.tells == "all" and note in (ReplyDetail.FILLED, ReplyDetail.FILLED_FROM_ORIGIN):
            waited = wait

        def end(outcome: Outcome) -> None:
            if ends.pop((fetch.request, attempt), None) is None:
                return
            for cache in uses:
                cache.add(-1.0, self.now)
            if outcome is Outcome.SERVED and target.kind == "cache" and not kind.told.uncacheable:
                target.held[key] = self.now
            if node.ends is not ends or fetch.request not in node.open:
                return
            final = outcome is Outcome.SERVED
            if final:
                del node.open[fetch.request]
                self.counts["served"] += 1
            load = self.load(target) if self.site.reports and target.kind == "cache" else NO_LOAD_REPORT
            word = told if outcome is Outcome.SERVED or outcome is Outcome.REJECTED else None
            event = AttemptEnded(
                fetch.request, attempt, fetch.target, outcome, self.now - began, final, word, waited, load
            )
            self.hand(node, event)

        ends[fetch.request, attempt] = end
        self.at(now + took, partial(end, outcome))

    def told(self, note: ReplyDetail | None) -> ReplyDetail | None:
        """What an answer says of where its bytes came from, as far as settings tell notes."""
        if self.site.tells == "hit" and note is ReplyDetail.FILLED_FROM_ORIGIN:
            return ReplyDetail.FILLED
        known = self.site.tells == "all" or (self.site.tells == "hit" and note not in SOURCE_NOTES)
        return note if known else None

    def load(self, cache: Cache) -> LoadReport:
        """Its report, made now and then, and a little noisy."""
        if self.now - cache.reported_at > REPORT_S:
            cache.add(0.0, self.now)
            since = min(self.now - cache.reported_at, 1e6)
            use = cache.busy / since * self.chance.uniform(0.9, 1.1) if cache.reported_at > 0 else 0.5
            cache.report = LoadReport(cache.active, min(1.0, use), round(cache.hits, 2), 0.5)
            cache.reported_at = self.now
            cache.busy = 0.0
        return cache.report

    # --- what reached cold members ---

    def windows(self) -> Iterator[tuple[Cache, float, float, float]]:
        """Each window that ends with a send to a cold member: its age, requests of mean work, the rule's N.

        Of routers that were told of its start: what others send, no decision can bound.
        """
        for cache in self.caches.values():
            ramp = cache.ramp
            if cache.started is None or not ramp.overload_window or not ramp.overload_multiple:
                continue
            inside: deque[tuple[float, float]] = deque()
            total = 0.0
            for at, work, told in cache.sent:
                if cache.share(at) >= 1.0:
                    break
                if not told:
                    continue
                inside.append((at, work))
                total += work
                while inside[0][0] <= at - ramp.overload_window:
                    total -= inside.popleft()[1]
                bears = cache.capacity * cache.share(at - ramp.overload_window / 2)
                yield (
                    cache,
                    at - cache.started,
                    total / MEAN,
                    ramp.overload_multiple * bears * ramp.overload_window / MEAN,
                )


def over(sent: float, allowed: float) -> float:
    """How far a window is above N, in parts of the chance that is allowed; above 1 it is over budget."""
    return (sent - allowed) / (2.0 * math.sqrt(allowed) + 2.0)
