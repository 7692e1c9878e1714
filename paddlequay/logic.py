"""Every decision of a router for a two-tier cache. Its types, events and actions: `paddlequay/interface.py`.

Ordinary path (Owl's hot-cold policy, companion hashes; docs/design.md): the edge is a hash of object and
part, a miss is filled by way of the hashed parent, a sibling seen holding the object comes first, hot objects
take the top rank and cold ones the lowest. All else in this file says what happens when that path fails.
"""

import math
import random
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain, islice

from paddlequay.fleet.cold import Bucket, Cold
from paddlequay.fleet.origin import Waits
from paddlequay.fleet.room import Room
from paddlequay.hierarchy.homes import Homes, digest, place
from paddlequay.interface import (
    Action,
    AttemptEnded,
    Cancel,
    Cause,
    ClientGone,
    Effect,
    Event,
    Fail,
    Fetch,
    Inherited,
    Log,
    Member,
    MembersChanged,
    Note,
    Outcome,
    Purged,
    Refuse,
    Request,
    RequestClass,
    SetTimer,
    Settings,
    Started,
    State,
    Subscribe,
    Surrender,
    TimerDue,
)
from paddlequay.settings import check

# The design's values (starting values given as open).
HOT_WINDOW_S = 10.0  # reads within this make an object hot; also how long an edge is believed to hold a copy
HOT_READS = 1.0  # earlier reads needed: the second read within the window is the first sign of reuse
SPREAD_READS = 40.0  # reads within the window past which one cache alone would feel the object
RANK_TOP, RANK_LOW = 3, 1  # pass-through is 0
SKIP_FAILURES = 3  # consecutive failures: one is chance, three in a row hardly ever
TRIAL_DELAY_S = 5.0  # a skipped member gets one trial after this long
SAME_FAULT_S = 0.05  # connections lost so close together count once: one that breaks ends all that is on it
ALIVE_S = 1.0  # a plain error says little of a member that has served within this time

# Health and time-outs.
SLOW_SHARE = 0.02  # a time-out lies past the latency that all but this share of answers keep
TIMEOUT_SLACK = 1.5  # room over that latency, so that a general slowing does not turn into cancelled work
TIMEOUT_FLOOR = 1.0  # of the aim: before it a second attempt costs more than it saves
QUANTILE_STEP = 0.03  # how fast the learned latency moves; some hundred answers to settle

# Further attempts and overload.
BUDGET_SHARE = 0.2  # further attempts as a share of first ones, so that a failing tier is not hit harder
BUDGET_RESERVE = 20.0  # attempts saved up at most: covers the burst when one member dies
LIMIT_LEAST, LIMIT_MOST = 2.0, 1000.0  # out at a member by all routers, in mean requests
FILL_SHARE = 0.33  # of the work at edges that is filled, where notes do not tell; parents' limits use it too
LIMIT_CHANCE = 1.5  # roots of its share that a router may be above it: few requests come unevenly
LIMIT_FIND = 0.2  # growth a second of a parent's limit until its first jam: nothing else finds it
LIMIT_GROWTH, LIMIT_CUT, LIMIT_PAUSE_S = 0.05, 0.8, 0.5  # a second; cut at most twice a second, once a jam
ROOM_CPU, ROOM_LINK = 0.4, 0.8  # a member that reports less use of its cores and its link has room for more
REPORT_AGE_S = 2.0  # reports are made every 240 to 990 ms and come late; an older one tells nothing
LIMIT_ROOM = 1.25  # what was out while a member reported room, and this much more, it can hold
LATE_MEMORY_S = 1.0  # by time, not by answers: a router that sends once a second must see a jam as well
LATE_SHARE = 0.15  # of answers past the aim: less is the tail of sizes, not a jam
WAITED_SHARE = 0.25  # of a filled answer's latency, waited for the source: then its lateness is the source's
UNTOLD_SLACK = 1.2  # sizes untold: a large object's later aim is not seen, and it is no sign of a jam
COST_MOST = 8.0  # of the mean request: past it a transfer is too rare to be told apart by its size
WORK_STEP = 0.01  # mean work moves over some hundred requests, so a burst of large ones does not move it
CALM_ANSWERS = 50  # untold sizes: the least mean latency of so many answers stands for the work
COME_BACK_S = (0.05, 0.15)  # at a limit places come free within tens of ms; spread, not to return as one
ASK_AGAIN_S = (0.5, 1.5)  # for the list, after a failed call: discovery may be what is overloaded

# Rules.
WINDOW_MARGIN_S = 0.1  # a keyed repeat must arrive inside its window, so it is sent earlier than its end
AGE_LEAST_S = 0.001  # an age limit of 0 would mean the default

# Bounds of memory.
OBJECTS_MOST, OBJECT_AGE_S = 20000, 30.0  # older reads weigh nothing: objects are new all day long
PURGES_MOST = 5000
HOLDERS_MOST = 3

FILLS = (Note.FILLED, Note.FILLED_FROM_ORIGIN)
SOURCE_NOTES = (Note.SOURCE_REFUSED, Note.SOURCE_UNREACHED, Note.SOURCE_LACKS, Note.ORIGIN_FAILED)
PROVEN_IDLE = (Outcome.REFUSED, Outcome.UNREACHED, Outcome.NOT_SENT, Outcome.MISS)


class Tier(Enum):
    """Where a member stands between clients and the store of everything."""

    EDGE = 0
    PARENT = 1
    ORIGIN = 2


# What an edge can bear, its first report tells within a second; parents, asked by edges, report to no router.
LIMIT_START = {Tier.EDGE: 10.0, Tier.PARENT: 30.0, Tier.ORIGIN: 30.0}


@dataclass(slots=True)
class Server:
    """What the router knows and believes of one member of its list."""

    entry: Member
    tier: Tier
    since: float
    limit: float
    failures: int = 0
    failed_at: float = -math.inf
    skipped: bool = False
    ok_at: float = -math.inf
    trial_at: float = 0.0
    trial: str | None = None
    out: float = 0.0
    late: float = 0.0
    heard_at: float = -math.inf
    cut_at: float = -math.inf
    room_at: float = -math.inf
    bucket: Bucket = field(default_factory=Bucket)
    back_at: float | None = None  # believed to have started anew then: the list has not said so yet

    @property
    def ready(self) -> bool:
        """False from the moment that the list says otherwise: drains are kept at once."""
        return self.entry.state in (None, State.READY)


@dataclass(slots=True)
class Seen:
    """The aging memory of one part of an object: how often it was read, and who holds it."""

    read_at: float
    reads: float = 0.0
    holders: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Attempt:
    """One attempt that is out, or was."""

    target: Server
    source: Server
    sent: float
    fills: bool
    over: bool = False


@dataclass(slots=True)
class Open:
    """A request that is owed its final answer."""

    request: Request
    kind: RequestClass
    deadline: float
    work: float
    cost: float
    luck: float
    seen: Seen
    hot: bool
    attempts: list[Attempt] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    errors: int = 0
    lost: bool = False
    may_have_run: Attempt | None = None
    unfillable: bool = False
    link_full: bool = False
    held_only: bool = False
    streaming: bool = False

    @property
    def cacheable(self) -> bool:
        return not (self.kind.uncacheable or self.request.write)


class Router:
    """One router's decisions; `handle` is its only entry and keeps no clock, thread or file."""

    def __init__(self, settings: Settings, seed: int) -> None:
        check(settings)
        self.settings = settings
        self.random = random.Random(seed)
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.tiers = {settings.origin_kind: Tier.ORIGIN, settings.parent_kind: Tier.PARENT, None: Tier.EDGE}
        self.servers: dict[str, Server] = {}
        self.sharers: dict[Tier, float] = {}
        self.homes: dict[Tier, Homes[Server]] = {Tier.EDGE: Homes(), Tier.PARENT: Homes()}
        self.cold = {Tier.EDGE: Cold(settings.cold_edge), Tier.PARENT: Cold(settings.cold_parent)}
        self.origins: list[Server] = []
        self.room = Room()
        self.origin_waits = Waits()
        self.open: dict[str, Open] = {}
        self.seen: OrderedDict[tuple[int | None, int | None], Seen] = OrderedDict()
        self.purges: OrderedDict[tuple[str, int | None], float] = OrderedDict()
        self.all_purged = -math.inf
        # Not told how long old copies live: a purge binds for good, which costs refetches and never a rule.
        self.purge_done = math.inf if settings.purge_done is None else settings.purge_done
        self.slowness = {kind.name: 1.0 for kind in settings.classes}
        self.work = {kind.name: kind.aim / 2 for kind in settings.classes}
        self.calm: dict[str, tuple[int, float]] = {}
        self.mean_work = sum(self.work.values()) / len(self.work)
        self.budget = BUDGET_RESERVE
        self.begun = False
        self.actions: list[Action] = []
        self.now = 0.0
        self.cause: Cause = "no_source"  # why the last step found nothing

    def handle(self, event: Event, now: float) -> list[Action]:
        """What to do about one event."""
        self.actions = []
        self.now = now
        if not self.begun:
            self.begun = True
            if self.settings.must_ask:
                self.actions.append(Subscribe())
        match event:
            case MembersChanged():
                self.on_members(event)
            case Request():
                self.on_request(event)
            case AttemptEnded():
                self.on_ended(event)
            case Started() if event.request in self.open:
                self.open[event.request].streaming = True
            case ClientGone():
                self.close(event.request)
            case Surrender() if event.request in self.open:
                self.give_up(self.open[event.request], "surrender")
            case Inherited():
                self.on_inherited(event)
            case Purged():
                self.on_purged(event)
            case TimerDue(token="subscribe"):
                self.actions.append(Subscribe())
        return self.actions

    # --- the list ---

    def on_members(self, event: MembersChanged) -> None:
        """Follow the list; what has left or drains is out of use at once."""
        if event.failed:
            return self.actions.append(SetTimer(self.random.uniform(*ASK_AGAIN_S), "subscribe"))
        if event.full:
            listed = {entry.name for entry in event.members}
            for name in [name for name in self.servers if name not in listed]:
                self.drop(name)
        for entry in event.members:
            known = self.servers.get(entry.name)
            if entry.state is State.GONE:
                self.drop(entry.name)
            elif known is None or (entry.started or 0) > (known.entry.started or 0) or (
                entry.state in (None, State.READY) and not known.ready
            ):
                # Back from a drain it is as new: it has been restarted or is about to be used as if it were,
                # and old failures would keep it skipped, old limits and copies unused or hoped for.
                self.drop(entry.name)
                tier = self.tiers.get(entry.kind, Tier.EDGE)
                self.servers[entry.name] = Server(entry, tier, self.now, LIMIT_START[tier])
            else:
                known.entry = entry
        self.rebuild()

    def rebuild(self) -> None:
        """The views that requests use, and how many routers' worth of sending meets at each member."""
        ready = [server for server in self.servers.values() if server.ready]
        zones = (None, self.settings.zone)
        everywhere = [server for server in ready if server.tier is Tier.EDGE]
        edges = [server for server in everywhere if server.entry.zone in zones]
        parents = [server for server in ready if server.tier is Tier.PARENT]
        weighted = self.settings.weights in ("nominal", "rough")
        for tier, servers in ((Tier.EDGE, edges), (Tier.PARENT, parents)):
            self.homes[tier].reset(
                (each.entry.name, each, (each.entry.weight or 1.0) if weighted else 1.0) for each in servers
            )
            self.cold[tier].reset(map(self.started, servers), self.now)
        self.origins = [server for server in ready if server.tier is Tier.ORIGIN]
        fills = FILL_SHARE * max(1, len(everywhere)) / (self.settings.routers or 1)
        self.sharers[Tier.EDGE] = self.room.routers = self.settings.routers_here or 1
        self.sharers[Tier.PARENT] = max(1, len(parents)) / fills
        self.sharers[Tier.ORIGIN] = max(1, len(self.origins)) / fills

    def names_of_edges(self) -> list[str]:
        """Whom requests go to first: their connections can be made beforehand."""
        return list(self.homes[Tier.EDGE].members)

    def drop(self, name: str) -> None:
        """Forget a member that is gone or has started anew: neither its health nor its copies live on."""
        self.room.forget(name)
        if name in self.servers:
            self.rescue(self.servers.pop(name))

    # --- one process after another ---

    def knowledge(self) -> dict[str, float]:
        """What a process that replaces this one could only learn anew while it turns requests away."""
        told = {"edge_rate": self.cold[Tier.EDGE].rate, "fill_rate": self.cold[Tier.PARENT].rate}
        for kind in self.kinds:
            told[f"work {kind}"], told[f"slow {kind}"] = self.work[kind], self.slowness[kind]
        for name, server in self.servers.items():
            told[f"limit {name}"] = server.limit
        return told

    def on_inherited(self, event: Inherited) -> None:
        """Start from an older process's limits, work and rates; health and copies show within a request.

        A limit that was cut below the first one is not taken over: it regains slowly, a start finds anew.
        """
        told = event.knowledge
        for cold, name in zip(self.cold.values(), ("edge_rate", "fill_rate"), strict=True):
            cold.rate = told.get(name, cold.rate)
        for kind in self.kinds:
            self.work[kind] = told.get(f"work {kind}", self.work[kind])
            self.slowness[kind] = told.get(f"slow {kind}", self.slowness[kind])
        self.mean_work = sum(self.work.values()) / len(self.work)
        for name, server in self.servers.items():
            server.limit = min(LIMIT_MOST, max(server.limit, told.get(f"limit {name}", 0.0)))

    # --- requests ---

    def on_request(self, request: Request) -> None:
        if request.id in self.open:
            return
        kind = self.kinds.get(request.class_name)
        if kind is None:
            return self.actions.append(Fail(request.id))
        work = self.work[kind.name]
        if request.size_kb and self.settings.flow_kb_per_s:
            work = request.size_kb / self.settings.flow_kb_per_s
            self.work[kind.name] += WORK_STEP * (work - self.work[kind.name])
        self.mean_work += WORK_STEP * (work - self.mean_work)
        cost = min(COST_MOST, work / self.mean_work)
        item = Open(
            request, kind, self.now + request.left, work, cost, self.random.random(), *self.read(request)
        )
        self.open[request.id] = item
        self.budget = min(BUDGET_RESERVE, self.budget + BUDGET_SHARE)
        self.advance(item)

    def read(self, request: Request) -> tuple[Seen, bool]:
        """Count a read in the bounded table; True when the part is hot."""
        place = (request.key, request.part)
        seen = self.seen.get(place)
        if seen is None:
            seen = self.seen[place] = Seen(self.now)
            oldest = self.now - OBJECT_AGE_S
            while len(self.seen) > OBJECTS_MOST or next(iter(self.seen.values())).read_at < oldest:
                self.seen.popitem(last=False)
        self.seen.move_to_end(place)
        since = self.now - seen.read_at
        hot = seen.reads >= HOT_READS and since < HOT_WINDOW_S
        seen.reads = 1.0 + seen.reads * math.exp(-since / HOT_WINDOW_S)
        seen.read_at = self.now
        return seen, hot

    def advance(self, item: Open) -> None:
        """Send the next attempt of a request, or give it its final answer at once."""
        if item.attempts and not self.may_repeat(item):
            return self.give_up(item, "spent")
        # What one lost connection ended is bounded by what was out on it, and no sign of load: it may be sent
        # once more beyond the budget, which a single connection with thirty requests on it used up.
        free = len(item.attempts) == 1 and item.lost
        poor = bool(item.attempts) and self.budget < 1.0 and not free
        item.unfillable = item.unfillable or poor
        self.cause = "no_source"
        step = self.next_rung(item) if item.cacheable else self.pass_untouched(item)
        if step is None:
            return self.give_up(item, self.cause)
        target, source = step
        if item.attempts and target is not source and not free:
            self.budget -= 1.0
        self.send(item, target, source)

    def may_repeat(self, item: Open) -> bool:
        """A further attempt must be within the budget, the limits, and the class's word on repeats."""
        spent = len(item.attempts) >= (self.settings.max_attempts or math.inf)
        if spent or self.now >= item.deadline or item.streaming:
            return False
        ran = item.may_have_run
        if ran is None or item.kind.effect is Effect.SAFE:
            return True
        window = item.kind.repeat_window or 0.0
        return item.kind.effect is Effect.KEYED and self.now < ran.sent + window - WINDOW_MARGIN_S

    def same_group(self, item: Open, server: Server) -> bool:
        """Whether the server drops repeats of what may have run already."""
        ran = item.may_have_run
        if ran is None or item.kind.effect is Effect.SAFE or item.kind.repeat_group == "all":
            return True
        if item.kind.repeat_group == "zone":
            return server.entry.zone == ran.target.entry.zone
        return server.entry.cell == ran.target.entry.cell

    def pass_untouched(self, item: Open) -> tuple[Server, Server] | None:
        """Uncacheable: straight to the origin, or by an edge with the origin, then a parent, as source."""
        if self.settings.direct:
            for origin in self.origins:
                if origin.entry.name not in item.failed and self.same_group(item, origin):
                    return origin, origin
        if item.unfillable:
            return None
        edge = self.pick_edge(item)[0]
        rest = [*self.origins, *self.ranked(Tier.PARENT, digest(item.request.id))]
        # One that is skipped comes last: charges fell to a parent that had failed all fills for seconds.
        for source in sorted(rest, key=lambda source: source.skipped):
            if edge is not None and source.entry.name not in item.failed:
                return edge, source
        return (edge, edge) if edge is not None and not self.origins else None

    def next_rung(self, item: Open) -> tuple[Server, Server] | None:
        """The ladder: sibling, hashed parent, next parent, origin; then an old copy; then past the edges.

        Only what fails or is missing is passed by this way. What is merely busy sheds its load: handed on, it
        would reach the parents and the origin as client traffic and as second fills, and jam them as well.
        """
        edge, edge_busy = self.pick_edge(item)
        self.cause = "edge_busy" if edge_busy else "no_edge" if edge is None else "no_source"
        if edge is None and (edge_busy or not self.settings.direct):
            return None
        source = None if item.unfillable else self.pick_source(item, edge)
        self.cause = "link_full" if item.link_full else self.cause
        if edge is None:
            return (source, self.origins[0] if self.origins else source) if source is not None else None
        if source is not None:
            return edge, source
        looked = any(attempt.target is attempt.source for attempt in item.attempts)
        if item.link_full and self.share_of(edge) < 1.0:
            # A look takes of what a cold member bears as much as a fill, and one that is empty holds nothing.
            looked = looked or not self.room.holds(edge.entry.name, item.luck, self.now)
        return None if looked else (edge, edge)

    def dear(self, item: Open) -> float:
        """The bytes of a request's class for its worth, beside the class kept that has most, in (0, 1]."""
        if not (self.room.crowd and item.cacheable):
            return 1.0  # nothing is shed by it, and there may be no class that is kept
        kept = (kind for kind in self.kinds.values() if not kind.uncacheable)
        most = max(self.work[kind.name] / (kind.worth or 1.0) for kind in kept)
        return self.work[item.kind.name] / (item.kind.worth or 1.0) / most

    def ranked(self, tier: Tier, key: int) -> Iterator[Server]:
        """The homes of a key in order, by size where weights mean that, and by what a cold member can give.

        The scaled share moves objects to a newcomer once each as it warms, the same ones at every router;
        turning away what is too much for it would fill the same objects in two places.
        """
        if tier is Tier.EDGE and self.room.crowd:
            return self.homes[tier].order(key, lambda e: self.share_of(e) * self.room.share(e.entry.name))
        return self.homes[tier].order(key, self.share_of)

    def pick_edge(self, item: Open) -> tuple[Server | None, bool]:
        """The hash of object and part, over two above a rate, the next where it fails; and was one busy?"""
        ranked = self.ranked(Tier.EDGE, place(item.request.key, item.request.part))
        fit = (e for e in ranked if self.same_group(item, e) and e.entry.name not in item.failed)
        first = sorted(islice(fit, 2), key=lambda e: e.out) if item.seen.reads > SPREAD_READS else []
        busy = None
        for edge in chain(first, fit):
            if self.open_to(edge, item):
                if not self.busy(edge, item):
                    return edge, busy is not None
                busy = busy or edge
                if not self.room.fills(item.luck, self.now, self.dear(item)):
                    break  # the next one would have to fill it through a link that is full
        if busy is not None and self.room.bears(busy.entry.name, item.luck, self.now):
            return busy, False
        return None, busy is not None

    def pick_source(self, item: Open, edge: Server | None) -> Server | None:
        """A sibling seen holding the part, the parents in hash order, the origin."""
        held = self.held(item.seen)
        fills = edge is None or edge.entry.name not in held
        if edge is not None and fills and self.settings.siblings in ("any", "location"):
            for sibling in [self.servers[name] for name in held if name not in item.failed]:
                if sibling.ready and not sibling.skipped and self.share_of(sibling) >= 1.0:
                    return sibling
        if fills and not self.room.fills(item.luck, self.now, self.dear(item), kept=edge is not None):
            item.link_full = item.unfillable = True  # what the home holds may still do
            return None
        shed = False
        item.held_only = fills and self.origin_waits.sheds(self.aim(item), item.luck, self.now)
        parents = self.ranked(Tier.PARENT, place(item.request.key))
        for source in chain(parents, () if item.held_only else self.origins):
            if source.entry.name in item.failed or not self.open_to(source, item):
                continue
            if not fills or not self.busy(source, item):
                return source if source.tier is Tier.PARENT or not shed else None
            shed = True
        return None

    def busy(self, server: Server, item: Open) -> bool:
        """Whether its limit is reached: large transfers reach it first, and a share under one sheds some."""
        late = server.late > LATE_SHARE and not self.room.told(server.entry.name, self.now)
        if not late and (self.now - server.room_at < REPORT_AGE_S or server.out == 0):
            return False  # nothing out, no jam: a share under one request would shed by chance, not by load
        share = server.limit / self.sharers[server.tier]
        limit = share + LIMIT_CHANCE * math.sqrt(share)
        return item.cost * item.luck > limit or (server.out > 0 and server.out + item.cost > limit)

    def held(self, seen: Seen) -> list[str]:
        """Who is believed to hold a part: lately seen so, and neither gone nor started anew since."""
        lately = [name for name, at in seen.holders.items() if self.now - at < HOT_WINDOW_S]
        known = [name for name in lately if name in self.servers]
        return [name for name in known if self.servers[name].since <= seen.holders[name]]

    def open_to(self, server: Server, item: Open) -> bool:
        """Whether a server may be used now: not skipped (or due its trial), not too cold for more."""
        if server.skipped and (server.trial is not None or self.now < server.trial_at):
            return False
        cold, work = self.cold.get(server.tier), self.work[item.kind.name]
        return cold is None or cold.admits(server.bucket, self.started(server), work, item.luck, self.now)

    def share_of(self, server: Server) -> float:
        """The share of its capacity that a member can give at least; 1 when warm."""
        cold = self.cold.get(server.tier)
        return 1.0 if cold is None else cold.share(self.started(server), self.now)

    def started(self, server: Server) -> float | None:
        """A member's last start, as told or as believed."""
        return server.entry.started if server.back_at is None else server.back_at

    # --- sending ---

    def send(self, item: Open, target: Server, source: Server) -> None:
        """One attempt, with its time-out, rank and age limit chosen."""
        fills = target is not source and target.entry.name not in self.held(item.seen)
        work = self.work[item.kind.name]
        attempt = Attempt(target, source, self.now, fills)
        for server in {target.entry.name: target, source.entry.name: source}.values():
            server.bucket.take(work)
            if server.skipped and server.trial is None:
                server.trial = item.request.id
        target.out += item.cost
        if fills:
            source.out += item.cost
        item.attempts.append(attempt)
        item.may_have_run = item.may_have_run or attempt
        sibling = source is not target and source.tier is Tier.EDGE
        cut_off = item.held_only and fills and source.tier is Tier.PARENT
        for origin in self.origins:
            if origin.skipped and source.tier is Tier.PARENT and target is not origin:
                # What parents lack would wait at an origin that does not answer, in places that hits need.
                cut_off = not self.open_to(origin, item)
                origin.trial = origin.trial if cut_off else item.request.id
        if item.cacheable and target.tier is Tier.EDGE:
            holders = item.seen.holders
            holders.pop(target.entry.name, None)
            holders[target.entry.name] = self.now
            if len(holders) > HOLDERS_MOST:
                del holders[next(iter(holders))]
        self.actions.append(
            Fetch(
                request=item.request.id,
                target=target.entry.name,
                source=source.entry.name,
                keep=(RANK_TOP if item.hot else RANK_LOW) if item.cacheable else 0,
                timeout=self.timeout(item),
                max_age=self.max_age(item, old=cut_off or target is source),
                join=bool(self.settings.joins) and item.cacheable,
                only_held=sibling or cut_off,
                renew=item.hot and bool(item.kind.fresh),
            )
        )

    def aim(self, item: Open) -> float:
        """When the answer is wanted, by the work where it is told, else by the class's."""
        return item.kind.aim + (item.kind.aim_stretch or 0.0) * item.work

    def timeout(self, item: Open) -> float:
        """Past the learned latency of nearly all answers; all that is left where no repeat would fit."""
        left = item.deadline - self.now
        wait = self.aim(item) * max(TIMEOUT_FLOOR, self.slowness[item.kind.name] * TIMEOUT_SLACK)
        return left if left < 2 * wait else wait

    def max_age(self, item: Open, old: bool) -> float | None:
        """Purges bind until all older copies are cleared; an old copy is for when the sources fail."""
        limit = None
        if old and item.kind.fresh and item.kind.grace:
            limit = item.kind.fresh + item.kind.grace
        purged = self.all_purged
        for name in (("group", item.request.group), ("key", item.request.key)):
            purged = max(purged, self.purges.get(name, -math.inf))
        if self.now - purged <= self.purge_done and purged > -math.inf:
            since = max(AGE_LEAST_S, self.now - purged)
            limit = min(limit or item.kind.fresh or math.inf, since)
        return limit

    def on_purged(self, event: Purged) -> None:
        """Remember a purge until the copies are cleared; too many fold into one purge of everything."""
        name = ("group", event.group or 0) if event.key is None else ("key", event.key)
        self.purges[name] = max(self.purges.get(name, -math.inf), self.now - event.age)
        self.purges.move_to_end(name)
        while self.purges and (
            len(self.purges) > PURGES_MOST
            or self.now - next(iter(self.purges.values())) > self.purge_done
        ):
            at = self.purges.popitem(last=False)[1]
            if self.now - at <= self.purge_done:
                self.all_purged = max(self.all_purged, at)

    # --- answers ---

    def on_ended(self, event: AttemptEnded) -> None:
        """Settle an attempt: health first, then the request's next step."""
        item = self.open.get(event.request)
        if item is None or event.attempt >= len(item.attempts) or item.attempts[event.attempt].over:
            return
        attempt = item.attempts[event.attempt]
        attempt.over = True
        self.report(attempt.target, dict(event.load))
        self.judge(item, attempt, event)
        self.release(item, attempt)
        if event.outcome in PROVEN_IDLE and item.may_have_run is attempt:
            item.may_have_run = None
        if event.final:
            self.close(event.request)
        elif event.outcome is not Outcome.SERVED:
            self.advance(item)

    def release(self, item: Open, attempt: Attempt) -> None:
        """Free what an attempt held: its share of the limits and a trial."""
        attempt.target.out = max(0.0, attempt.target.out - item.cost)
        if attempt.fills:
            attempt.source.out = max(0.0, attempt.source.out - item.cost)
        for server in (attempt.target, attempt.source, *self.origins):
            if server.trial == item.request.id:
                server.trial = None

    def judge(self, item: Open, attempt: Attempt, event: AttemptEnded) -> None:
        """Credit or blame: whom the note names, else the named source of a fill, else the edge."""
        target, source = attempt.target, attempt.source
        if event.outcome is Outcome.SERVED:
            self.succeed(target)
            filled = attempt.fills if event.note is None else event.note in FILLS
            work = self.work[item.kind.name]
            share = filled * (FILL_SHARE if event.note is None else 1.0)
            self.cold[Tier.EDGE].served(work, self.now, self.room.used())
            self.cold[Tier.PARENT].served(work * share, self.now)
            if filled:
                self.succeed(source)
            if event.note is Note.FILLED_FROM_ORIGIN and self.origins:
                self.succeed(self.origins[0])
                if event.waited is not None:
                    # No wait is longer than its answer took: a spoilt one would close the origin for minutes.
                    self.origin_waits.heard(min(event.waited, event.latency), self.now)
            if event.note is Note.HIT and attempt.fills:
                source.bucket.take(-work)
            # A late answer that did not wait for its fill says nothing of who filled it: one edge that bore
            # all of its location was late, and the parents' limits were cut for it.
            by_source = filled and (event.waited is None or event.waited > WAITED_SHARE * event.latency)
            self.learn(item, attempt.source if by_source else attempt.target, event.latency)
            return
        if event.outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            item.failed.append(target.entry.name)
            return
        item.seen.holders.pop(target.entry.name, None)
        if event.outcome is Outcome.MISS:
            self.succeed(target)
            item.failed.append(source.entry.name)
            item.unfillable = item.unfillable or source.tier is Tier.PARENT
            item.seen.holders.pop(source.entry.name, None)
            return
        item.lost = event.outcome is Outcome.RESET
        blamed = self.blame(attempt, event)
        plain = event.outcome is Outcome.ERROR and event.note is None
        item.errors += plain
        item.failed.append(blamed.entry.name)
        cut_off = event.note is Note.ORIGIN_FAILED
        # Another parent would have to ask the same origin: what is held may still do.
        item.unfillable = item.unfillable or cut_off
        if event.silent:
            # The connection brought nothing for anybody: no word on the source, nor on anybody's load.
            return self.fail(blamed, True)
        if event.outcome is Outcome.TIMEOUT and attempt.fills and self.room.well(target.entry.name, self.now):
            self.origin_waits.heard(event.latency, self.now)
        if event.outcome in (Outcome.TIMEOUT, Outcome.REFUSED):
            self.pace(blamed, True)
        away = cut_off or event.note is Note.SOURCE_UNREACHED
        if event.outcome is Outcome.REFUSED and self.settings.notes and not away:
            return  # full, not failing: skipped, it would fill up the next one with its load and its fills
        if event.outcome is Outcome.TIMEOUT and blamed.ok_at > attempt.sent:
            # Slow, not silent: skipping it would move its load to members as busy, and its fills to a parent
            # that must fetch them anew. The limit answers for slowness, and time-outs grow, for a fill cut
            # short is lost work that its next reader asks for again.
            self.slow_down(item, math.inf)
            return
        if plain and (item.errors > 1 or self.now - blamed.ok_at < ALIVE_S):
            return  # the request is at fault: bad clients' got healthy members skipped one after the other
        self.fail(blamed, event.outcome in (Outcome.RESET, Outcome.UNREACHED))

    def blame(self, attempt: Attempt, event: AttemptEnded) -> Server:
        """Whom the note names; else the edge for a lost connection, the named source for a fill."""
        if event.note is Note.ORIGIN_FAILED and self.origins:
            return self.origins[0]
        if event.note in SOURCE_NOTES:
            return attempt.source
        own = event.note is Note.FILLS_FULL or event.outcome in (Outcome.UNREACHED, Outcome.RESET)
        own = own or event.silent or (bool(self.settings.notes) and event.outcome is not Outcome.TIMEOUT)
        return attempt.source if attempt.fills and not own else attempt.target

    def succeed(self, server: Server) -> None:
        if server.skipped:
            self.actions.append(Log(f"{server.entry.name} answers again"))
        server.ok_at = self.now
        server.failures = 0
        server.skipped = False

    def fail(self, server: Server, broke: bool) -> None:
        """Skip after consecutive failures; a failed trial puts the next one off."""
        if broke and self.now - server.failed_at < SAME_FAULT_S:
            return
        server.failed_at = self.now
        server.failures += 1
        if server.failures >= SKIP_FAILURES:
            if not server.skipped:
                self.actions.append(Log(f"{server.entry.name} skipped after {server.failures} failures"))
                server.skipped = True
                self.rescue(server)
            server.trial_at = self.now + TRIAL_DELAY_S

    def learn(self, item: Open, by: Server, latency: float) -> None:
        """Latency against the aim: time-outs follow it, and lateness lowers the limits of who was used."""
        kind = item.kind.name
        ratio = latency / self.aim(item)
        self.slow_down(item, ratio)
        if not item.request.size_kb:
            count, total = self.calm.get(kind, (0, 0.0))
            self.calm[kind] = (count + 1, total + latency)
            if count + 1 >= CALM_ANSWERS:
                # The least, not the mean: a jam's latency must not pass for the size, or nothing is late.
                self.work[kind] = min(self.work[kind], (total + latency) / (count + 1))
                del self.calm[kind]
        late = ratio > (1.0 if item.request.size_kb else UNTOLD_SLACK)
        self.pace(by, late)

    def report(self, server: Server, load: dict[str, float]) -> None:
        """A member's own word on its load: where it has room, no belief of ours may say that it is full."""
        if server.tier is Tier.EDGE:
            if server.skipped and load.get("x0") == 0.0:
                # Empty after silence: it has started anew, and the list will say so seconds later. At full
                # pace until then, all routers of a plaza pushed the first one that was back over.
                server.back_at = self.now
                self.actions.append(Log(f"{server.entry.name} is back empty"))
                self.rebuild()
            self.room.heard(server.entry.name, load, self.now)
        if "cpu" not in load:
            return
        if load["cpu"] < ROOM_CPU and (server.tier is not Tier.EDGE or load.get("x1", 0.0) < ROOM_LINK):
            server.room_at = self.now
            out = server.out * self.sharers[server.tier]
            server.limit = min(LIMIT_MOST, max(server.limit, LIMIT_ROOM * out))
        else:
            server.room_at = -math.inf

    def slow_down(self, item: Open, ratio: float) -> None:
        """Move the learned latency of nearly all answers, as a multiple of the aim."""
        slow = self.slowness[item.kind.name]
        step = 1.0 - SLOW_SHARE if ratio > slow else -SLOW_SHARE
        self.slowness[item.kind.name] = slow + QUANTILE_STEP * slow * step

    def pace(self, server: Server, late: bool) -> None:
        """Lower a member's limit while many of its answers are late, once for each jam; else let it grow."""
        since, server.heard_at = self.now - server.heard_at, self.now
        server.late += (late - server.late) * (1.0 - math.exp(-since / LATE_MEMORY_S))
        out = server.out * self.sharers[server.tier]
        if server.late <= LATE_SHARE:
            if out > server.limit / 2:
                finding = server.cut_at == -math.inf and server.tier is not Tier.EDGE
                growth = LIMIT_FIND if finding else LIMIT_GROWTH
                server.limit = min(LIMIT_MOST, server.limit * math.exp(growth * min(since, 1.0)))
        elif late and self.now - server.cut_at >= LIMIT_PAUSE_S:
            server.cut_at = self.now
            server.limit = max(LIMIT_LEAST, min(server.limit, out + 1.0) * LIMIT_CUT)

    def rescue(self, server: Server) -> None:
        """Recall what waits at a member just found failing: it can go elsewhere while there is time."""
        for item in self.open.values() if self.settings.can_cancel else ():
            last = item.attempts[-1] if item.attempts else None
            if last is None or last.over or item.streaming or item.kind.effect is not Effect.SAFE:
                continue
            if last.target is server or (last.source is server and last.fills):
                self.actions.append(Cancel(item.request.id, len(item.attempts) - 1))

    # --- final answers ---

    def give_up(self, item: Open, cause: Cause) -> None:
        """The final answer at once: a refusal where a repeat is harmless, else a failure."""
        kind = item.kind
        keyed_anywhere = kind.effect is Effect.KEYED and kind.repeat_group == "all"
        if item.may_have_run is None or kind.effect is Effect.SAFE or keyed_anywhere:
            wait = self.random.uniform(*COME_BACK_S)
            most = self.settings.max_retry_after
            self.actions.append(Refuse(item.request.id, None if most is None else min(most, wait), cause))
        else:
            self.actions.append(Fail(item.request.id))
        self.close(item.request.id)

    def close(self, request: str) -> None:
        """End a request; outcomes still to come are no news."""
        if request in self.open:
            item = self.open.pop(request)
            for attempt in item.attempts:
                if not attempt.over:
                    self.release(item, attempt)
