"""Real decisions in virtual time, with caches whose answers take as long as their objects are large.

A way out is shared by its transfers in equal parts, none faster than at full pace; fills of a location share
its link, the origin slows down as it crowds. Sizes are told to nobody. One seed gives one day, exactly.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from rig_shared_uplink import Clock, Pipe

from paddlequay.policy import Router
from paddlequay.routing.interface import (
    NO_LOAD_REPORT,
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    Fetch,
    LoadReport,
    Member,
    MembersChanged,
    MemberState,
    Outcome,
    Reject,
    ReplyDetail,
    Request,
    RequestClass,
    RoutingSettings,
    SlowStart,
)

FILL_PACE = 2.5  # times as fast as a transfer to a client
NEAR, FAR, CLIENT_S = 0.001, 0.01, 0.004  # seconds to a cache, to parent or origin, and to a client
ORIGIN_S = 0.03
ORIGIN_SHARE = 0.1  # of an object's sending time that the origin needs for it
REPORT_S = 0.5
QUEUE = 8.0  # transfers held at most, as a multiple of those that fit
GONE = "gone"
Waiting = Callable[[ReplyDetail, float], None]


@dataclass(frozen=True)
class Kind:
    """A class, and what its requests are: mean seconds of sending, spread of sizes, objects, share."""

    kind: RequestClass
    work: float
    sigma: float = 0.0
    objects: int = 0
    share: float = 1.0


@dataclass(eq=False)
class Cache:
    """An edge cache: what it holds, its way out, what it fills, and its load report."""

    out: Pipe
    held: set[int] = field(default_factory=set)
    filling: dict[int, list[Waiting]] = field(default_factory=dict)
    state: str = ""
    hits: float = 1.0
    report: LoadReport = NO_LOAD_REPORT
    busy: float = 0.0


@dataclass(eq=False)
class Asked:
    """One request, and what became of it."""

    router: Router
    request: Request
    kind: Kind
    work: float
    at: float
    fetches: list[Fetch] = field(default_factory=list)
    began: list[float] = field(default_factory=list)
    over: set[int] = field(default_factory=set)
    drops: dict[int, Callable[[], None]] = field(default_factory=dict)
    end: str = ""
    cause: str = ""
    timeouts: int = 0
    took: float = math.inf

    @property
    def answered(self) -> bool:
        return self.end == "served"


class World:
    """Routers of one location, its caches, the link, two parents and the origin."""

    def __init__(
        self, kinds: list[Kind], seed: int, load: float, routers: int = 4, edges: int = 4, fits: float = 6.0
    ) -> None:
        self.clock, self.rng, self.kinds = Clock(), random.Random(seed), kinds
        self.settings = RoutingSettings(
            zone="here",
            classes=tuple(each.kind for each in kinds),
            router_count=routers,
            zone_router_count=routers,
            parent_kind="parent",
            origin_kind="origin",
            sibling_fills="location",
            bypass_allowed=True,
            coalesces_fills=True,
            detailed_replies=True,
            can_cancel=True,
            max_attempts=6,
            max_retry_after=0.3,
            edge_slow_start=SlowStart(0.17, 15.0, 2.5, 2.0),
            parent_slow_start=SlowStart(0.062, 20.0, 2.0, 2.0),
            purge_completion=6.0,
        )
        self.routers = [Router(self.settings, seed * 100 + number) for number in range(routers)]
        self.caches = {f"edge-{n}": Cache(Pipe(self.clock, fits)) for n in range(edges)}
        mean = sum(each.share * each.work * bool(each.objects) for each in kinds)
        self.rate = load * edges * fits / mean * sum(each.share for each in kinds)
        self.link = Pipe(self.clock, edges * fits * 0.4 / FILL_PACE, FILL_PACE)
        self.origin = Pipe(self.clock, edges * fits * 0.6 * ORIGIN_SHARE)
        # What is read often has been read before: the parents hold it from the beginning.
        self.parents_hold = {
            key_of(each, rank) for each in kinds for rank in range(1, int(each.objects**0.8) + 1)
        }
        self.origin_slow = 1.0
        self.sizes: dict[tuple[str, int], float] = {}
        self.factors: Callable[[Kind], float | None] = lambda kind: None  # of an object wanted once, if it is
        self.asked: list[Asked] = []
        self.open: dict[str, Asked] = {}
        listed = [Member(name, "here", "box", 0, MemberState.READY) for name in self.caches]
        listed += [Member(f"parent-{n}", "hub", "parent", 0, MemberState.READY) for n in range(2)]
        listed += [Member("origin-0", "hub", "origin", 0, MemberState.READY)]
        for router in self.routers:
            router.handle(MembersChanged(tuple(listed), full=True), 0.0)
        self.clock.later(REPORT_S, self.report)

    # --- the day ---

    def play(self, seconds: float) -> list[Asked]:
        self.until = seconds
        self.clock.later(self.rng.expovariate(self.rate), self.come)
        self.clock.run()
        return self.asked

    def come(self) -> None:
        if self.clock.now >= self.until:
            return
        self.clock.later(self.rng.expovariate(self.rate), self.come)
        kind = self.rng.choices(self.kinds, [each.share for each in self.kinds])[0]
        key, work = self.pick(kind)
        self.count = len(self.asked)
        request = Request(f"q{self.count}", kind.kind.name, kind.kind.deadline - 0.025, key, 0, 1)
        asked = Asked(self.rng.choice(self.routers), request, kind, work, self.clock.now)
        self.asked.append(asked)
        self.open[request.id] = asked
        self.clock.later(kind.kind.deadline, lambda: self.overdue(asked))
        self.tell(asked.router, request)

    def pick(self, kind: Kind) -> tuple[int, float]:
        """An object and the seconds that sending it takes: popular ones as by Zipf, some new ones."""
        if not kind.objects:
            return self.rng.getrandbits(60), kind.work
        factor = self.factors(kind)
        if factor is not None:
            return self.rng.getrandbits(60), kind.work * factor
        rank = int(kind.objects ** self.rng.random())
        key = key_of(kind, rank)
        size = self.sizes.get((kind.kind.name, rank))
        if size is None:
            draw = self.rng.gauss(-(kind.sigma**2) / 2, kind.sigma)
            size = self.sizes[kind.kind.name, rank] = kind.work * math.exp(draw)
        return key, size

    def report(self) -> None:
        """Makes the load reports that the caches' answers carry until the next ones are made."""
        link = self.link.active / self.link.fits
        for cache in self.caches.values():
            cache.out.settle()
            use, cache.busy = (cache.out.busy - cache.busy) / REPORT_S, cache.out.busy
            active = float(cache.out.active + len(cache.filling))
            cache.report = LoadReport(active, use, cache.hits, link)
        if self.clock.now < self.until:
            self.clock.later(REPORT_S, self.report)

    # --- what routers say ---

    def tell(self, router: Router, event: Event) -> None:
        for action in router.handle(event, self.clock.now):
            self.act(action)

    def act(self, action: Action) -> None:
        match action:
            case Fetch():
                self.fetch(self.open[action.request], action)
            case Cancel():
                self.ended(self.open[action.request], action.attempt, Outcome.CANCELLED)
            case Reject():
                self.final(self.open[action.request], "refused", action.cause.value)
            case Fail():
                self.final(self.open[action.request], "failed")

    def final(self, asked: Asked, end: str, cause: str = "") -> None:
        asked.end, asked.cause, asked.took = end, cause, self.clock.now - asked.at
        del self.open[asked.request.id]
        for drop in asked.drops.values():
            drop()
        asked.drops.clear()

    def overdue(self, asked: Asked) -> None:
        if not asked.end:
            self.final(asked, "overdue")
            self.tell(asked.router, ClientDisconnected(asked.request.id))

    def fetch(self, asked: Asked, fetch: Fetch) -> None:
        number = len(asked.fetches)
        asked.fetches.append(fetch)
        asked.began.append(self.clock.now)
        left = asked.at + asked.request.time_left - self.clock.now
        self.clock.later(min(left, fetch.timeout or left), lambda: self.timed_out(asked, number))
        way = NEAR if fetch.target in self.caches else FAR
        self.clock.later(way, lambda: self.arrive(asked, number, fetch))

    def timed_out(self, asked: Asked, number: int) -> None:
        if not asked.end and number not in asked.over:
            asked.timeouts += 1
            self.ended(asked, number, Outcome.TIMEOUT)

    def ended(
        self,
        asked: Asked,
        number: int,
        outcome: Outcome,
        note: ReplyDetail | None = None,
        waited: float | None = None,
    ) -> None:
        """The one end of an attempt."""
        if asked.end or number in asked.over:
            return
        asked.over.add(number)
        if (drop := asked.drops.pop(number, None)) is not None:
            drop()
        fetch, final = asked.fetches[number], outcome is Outcome.SERVED
        cache = self.caches.get(fetch.target)
        spoke = cache is not None and outcome not in (Outcome.TIMEOUT, Outcome.CANCELLED)
        if final:
            self.final(asked, "served")
        self.tell(
            asked.router,
            AttemptEnded(
                fetch.request,
                number,
                fetch.target,
                outcome,
                self.clock.now - asked.began[number],
                final,
                note,
                waited,
                cache.report if cache is not None and spoke else NO_LOAD_REPORT,
                outcome is Outcome.TIMEOUT and cache is not None and bool(cache.state),
            ),
        )

    # --- what caches do ---

    def arrive(self, asked: Asked, number: int, fetch: Fetch) -> None:
        """An attempt has reached whom it asks."""
        cache = self.caches.get(fetch.target)
        if asked.end or number in asked.over or (cache is not None and cache.state):
            return
        place = asked.request.key or 0
        if cache is None:
            self.straight(asked, number)
        elif cache.out.active + len(cache.filling) >= QUEUE * cache.out.fits:
            self.ended(asked, number, Outcome.REJECTED)
        elif place in cache.held:
            cache.hits += (1.0 - cache.hits) * 0.05
            self.send(cache, asked, number, ReplyDetail.HIT)
        elif fetch.source == fetch.target:
            self.ended(asked, number, Outcome.MISS)
        elif place in cache.filling:
            cache.filling[place].append(
                lambda note, waited: self.send(cache, asked, number, ReplyDetail.COALESCED)
            )
        else:
            cache.hits -= cache.hits * 0.05
            self.fill(cache, asked, number, fetch, place)

    def straight(self, asked: Asked, number: int) -> None:
        """Past the caches: what the origin does for each, or what comes in through the link for one alone."""
        if asked.kind.kind.uncacheable:
            self.clock.later(
                ORIGIN_S * self.origin_slow,
                lambda: self.origin_add(asked.work, lambda: self.ended(asked, number, Outcome.SERVED)),
            )
        else:
            passed = self.link.add(asked.work * FILL_PACE, lambda: self.ended(asked, number, Outcome.SERVED))
            asked.drops[number] = lambda: self.link.drop(passed)

    def origin_add(self, work: float, act: Callable[[], None]) -> None:
        self.origin.add(work * self.origin_slow, act)

    def fill(self, cache: Cache, asked: Asked, number: int, fetch: Fetch, place: int) -> None:
        """A miss, which goes on when its client has left; who asks for the same meanwhile waits for it."""
        sibling = self.caches.get(fetch.source)
        if sibling is not None:
            if sibling.state or place not in sibling.held:
                self.ended(asked, number, Outcome.MISS, ReplyDetail.SOURCE_MISS)
                return
        elif place not in self.parents_hold and fetch.only_if_cached:
            self.ended(asked, number, Outcome.MISS, ReplyDetail.SOURCE_MISS)
            return
        cache.filling[place] = [lambda note, waited: self.send(cache, asked, number, note, waited)]
        began = self.clock.now

        def arrived(note: ReplyDetail, waited: float) -> None:
            cache.held.add(place)
            for each in cache.filling.pop(place, ()):
                each(note, waited)

        def through_link(note: ReplyDetail) -> None:
            waited = self.clock.now - began
            self.link.add(asked.work, lambda: arrived(note, waited))

        def from_origin() -> None:
            self.parents_hold.add(place)
            through_link(ReplyDetail.FILLED_FROM_ORIGIN)

        if sibling is not None:
            self.clock.later(asked.work / FILL_PACE, lambda: arrived(ReplyDetail.FILLED, 0.0))
        elif place in self.parents_hold:
            self.clock.later(2 * FAR, lambda: through_link(ReplyDetail.FILLED))
        else:
            wait = 2 * FAR + ORIGIN_S * self.origin_slow
            # Its first bytes go on while the rest comes: what is waited for is the origin's own work.
            self.clock.later(wait, lambda: self.origin_add(ORIGIN_SHARE * asked.work, from_origin))

    def send(
        self, cache: Cache, asked: Asked, number: int, note: ReplyDetail, waited: float | None = None
    ) -> None:
        """The bytes, through the cache's way out."""
        if asked.end or number in asked.over or cache.state:
            return

        def sent() -> None:
            asked.drops.pop(number, None)
            self.clock.later(CLIENT_S, lambda: self.ended(asked, number, Outcome.SERVED, note, waited))

        transfer = cache.out.add(asked.work, sent)
        asked.drops[number] = lambda: cache.out.drop(transfer)

    def vanish(self, name: str) -> None:
        """A machine is gone without a word: what was on its way from it never comes."""
        cache = self.caches[name]
        cache.state = GONE
        cache.out.settle()
        cache.out.ends.clear()
        cache.out.given_up.clear()
        cache.out.plan()


def key_of(kind: Kind, rank: int) -> int:
    """A key of its own for each object of a class, the same on every day."""
    return (int.from_bytes(kind.kind.name.encode()[:4]) << 28) + rank
