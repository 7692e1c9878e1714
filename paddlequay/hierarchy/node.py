"""The node in the middle, without sockets: what it answers from memory, what it joins, and when it fills.

Events in, actions out. A driver hands in what is asked (`ask`, `quit`), how fills go (`directed`, `ended`),
news (`follow`, `purged`) and the time (`tick`); it carries out `Reply` and `StartFill`. Whom a fill asks, in
which order, is told by `rungs`; whether one of them may be used now is for the decision module behind the
exchange.
"""

import heapq
from collections.abc import Iterable, Mapping

from paddlequay.hierarchy.copies import CachedCopy, CopyCache, PurgeHistory
from paddlequay.hierarchy.fencing_tokens import FencingTokens
from paddlequay.hierarchy.fill_leases import FillLease, FillLeases, FillSource, LeaseDecision, WaitTarget
from paddlequay.hierarchy.fill_path import MAX_HOPS, FillPath
from paddlequay.hierarchy.fill_requests import (
    FAILURES,
    Action,
    FillRequest,
    FillResult,
    NodeCounters,
    NodeLimits,
    OwnershipClaim,
    PeerIntroduction,
    Reply,
    ReplyStatus,
    StartFill,
)
from paddlequay.hierarchy.migration import MigrationLimits, MigrationPlan
from paddlequay.hierarchy.topology import Topology
from paddlequay.placement.homes import arrival, digest, object_key, placement_key, slot_of
from paddlequay.routing.interface import ReplyDetail

MET_MOST = 64
DETOURS_MOST = 6  # rungs that one fill takes beside its ladder
STAND_INS = 3  # homes that are asked in turn before a node goes to the store itself


def ranked(weights: Mapping[str, float], key: int) -> list[str]:
    """Names in the order of their homes, for the few that a node has as parents."""
    slot = slot_of(key)
    return sorted(weights, key=lambda name: (arrival(digest(name), slot, weights[name]), name))


class Node:
    """One cache of the hierarchy."""

    def __init__(
        self,
        name: str,
        limits: NodeLimits,
        moves: MigrationLimits,
        started: float = 0.0,
        group: str = "",
    ) -> None:
        self.name, self.limits, self.started = name, limits, started
        self.shape = Topology()
        self.group = group  # of its own, known also while no shape names it yet
        self.moves = MigrationPlan(name, moves)
        self.copies = CopyCache(limits.bytes)
        self.purges = PurgeHistory(limits.purge_memory)
        self.leases: FillLeases[FillRequest] = FillLeases(limits.fills, limits.joiners)
        self.terms = FencingTokens()
        self.waiting = 0
        self.ends: list[tuple[float, int, FillRequest]] = []
        self.serial = 0
        self.stamp = 0
        self.seen = NodeCounters()
        self.actions: list[Action] = []
        self.met: dict[str, tuple[str, int]] = {}  # claimants that the shape does not name yet
        self.barred: set[str] = set()  # whom operators leave out

    # --- news ---

    def follow(self, shape: Topology, now: float) -> None:
        """Act on a shape from now on. Fills under way go on: what they bring is as good as before."""
        self.shape = shape
        self.met = {name: at for name, at in self.met.items() if name not in shape.nodes}
        own = shape.nodes.get(self.name)
        self.group = own.group if own is not None else self.group
        if self.moves.follow(shape, self.group, now):
            self.seen.add("homes_changed")

    def purged(self, name: str | None, group: int | None, issued: float, now: float) -> None:
        """An object, or a group, was purged at `issued`, in Unix seconds."""
        self.purges.add(name, group, issued, now)
        self.seen.add("purged_copies", self.copies.purge(name, group, issued))
        self.seen.add("purged_fills", self.leases.purge(name, group, issued))

    # --- what is asked ---

    def ask(self, want: FillRequest, now: float) -> list[Action]:
        """Take a want; its answer comes in these actions or in later ones, exactly once."""
        self.actions = []
        self.seen.add("asked")
        if want.channel is not None and not self.terms.takes(*want.channel, now):
            self.seen.add("old_terms")
            self.answer(want, ReplyStatus.NONE, detail="OLD_TERM")
            return self.actions
        if want.trail is not None and (self.name in want.trail.hops or len(want.trail.hops) >= MAX_HOPS):
            # The loop is found where it closes: the one before takes its next rung at once.
            self.seen.add("loops_found")
            self.answer(want, ReplyStatus.NONE, detail="LOOP")
            return self.actions
        if want.trail is not None and want.claim is not None:
            self.claimed(want, want.trail.last, want.claim, now)
        self.serve(want, now)
        return self.actions

    def claimed(self, want: FillRequest, by: str, claim: OwnershipClaim, now: float) -> None:
        """Another node says that it is the home: it fills, and is asked from now on."""
        if not self.moves.claim(want.place, by, claim.version, now):
            return self.seen.add("claims_old")
        self.seen.add("claims_believed")
        if by not in self.shape.nodes and claim.version > self.shape.version:
            # News of it is on its way. Unknown it could not be asked, and this node would fill a second time.
            if self.met.get(by) != claim.address:
                self.actions.append(PeerIntroduction(by, claim.address))
            self.met[by] = claim.address
            while len(self.met) > MET_MOST:
                del self.met[next(iter(self.met))]

    def serve(self, want: FillRequest, now: float) -> None:
        copy = self.copies.get(want.place)
        group = copy.group if copy is not None else None
        purged = self.purges.floor(want.name, group)
        if copy is not None and copy.minted >= max(want.floor, purged):
            return self.answer(want, ReplyStatus.HIT, copy, "HIT")
        if copy is not None and want.grace and copy.minted >= max(want.floor - want.grace, purged):
            if want.renew:
                self.renew(want, now)
            return self.answer(want, ReplyStatus.HIT, copy, "STALE")
        may = self.leases.may(want.place, want.trail, look=not want.fill)
        if may is LeaseDecision.JOIN:
            self.seen.add("joined")
            self.wait(want)
            self.leases.join(want.place, want, want.trail)
        elif may is LeaseDecision.DIE:
            # It may be no ring: whom the fill here waits for, the asker can ask in its turn.
            self.seen.add("rings_refused")
            self.answer(want, ReplyStatus.NONE, detail="LOOP", hint=self.leases.current[want.place].target)
        elif not want.fill:
            self.answer(want, ReplyStatus.NONE, detail="UP_MISS")
        elif may is LeaseDecision.FULL or self.waiting >= self.limits.waiting:
            self.seen.add("full")
            self.answer(want, ReplyStatus.SHED, detail="NO_FILL")
        else:
            self.wait(want)
            self.begin(want, now)

    def wait(self, want: FillRequest) -> None:
        want.waits = True
        self.waiting += 1
        self.serial += 1
        heapq.heappush(self.ends, (want.until, self.serial, want))
        if len(self.ends) > 2 * self.waiting + 1000:
            # Answered ones stay until their time is over: many quick answers must not pile up.
            self.ends = [end for end in self.ends if not end[2].over]
            heapq.heapify(self.ends)

    def unwait(self, want: FillRequest) -> None:
        self.waiting -= want.waits
        want.waits = False

    def renew(self, want: FillRequest, now: float) -> None:
        """Fill anew behind an answer that an ageing copy gave."""
        if self.leases.may(want.place, want.trail) is LeaseDecision.BEGIN:
            behind = FillRequest(
                None, want.name, want.part, want.class_name, now, now, trail=want.trail, over=True
            )
            self.seen.add("renewed")
            self.begin(behind, now)

    def begin(self, want: FillRequest, now: float) -> None:
        """One fill for all who want this place from now on."""
        trail = want.trail
        if trail is None:
            # Unique by the node's name and a stamp that never comes twice here.
            self.stamp = max(self.stamp + 1, int(now * 1e6))
            trail = FillPath(self.stamp, ())
        trail = trail.through(self.name)
        purged = self.purges.of_object(want.name)
        lease = self.leases.begin(want.place, trail, now, want)
        lease.floor = max(want.floor, purged)
        lease.rungs.extend(self.rungs(want, trail, now))
        self.seen.add("fills")
        self.actions.append(
            StartFill(
                number=lease.number,
                place=want.place,
                class_name=want.class_name,
                floor=lease.floor,
                claim=self.moves.version,
                longest=self.limits.fill_longest,
            )
        )

    def rungs(self, want: FillRequest, trail: FillPath, now: float) -> Iterable[FillSource]:
        """Whom a fill asks in turn.

        A home asks those who may hold the object from before, then its parents in the order of their homes,
        then the store. Who is not the home asks the home first. Whoever stands in the trail is passed over:
        it waits for this fill.
        """
        key = placement_key(
            object_key(want.name)
        )  # as routers have it, so that they ask whom this node takes for the home
        own = self.shape.nodes.get(self.name)
        rungs: dict[str, FillSource] = {}
        claimant = self.moves.claimed(want.place, now)
        if claimant is not None and self.usable(claimant, trail):
            rungs[claimant] = FillSource(claimant)
        home = self.moves.homes.first_home(key)
        if home == self.name:
            new = now - self.started < self.limits.new
            for name in self.moves.earlier(key, lambda each: self.usable(each, trail), new, now):
                rungs.setdefault(name, FillSource(name, held=True))
        else:
            # Where the home fails, the next on the hash stands in for it, at all nodes alike.
            for name in self.moves.homes.first_home_names(key, STAND_INS):
                if name == self.name:
                    break
                if self.usable(name, trail):
                    rungs.setdefault(name, FillSource(name))
        parents = {node.name: node.weight for node in self.shape.parents_of(self.name)} if own else {}
        for name in ranked(parents, key):
            if self.usable(name, trail):
                rungs.setdefault(name, FillSource(name))
        stores = {node.name: node.weight for node in self.shape.stores() if node.ready}
        for name in ranked(stores, key):
            rungs.setdefault(name, FillSource(name, store=True))
        return rungs.values()

    def usable(self, name: str, trail: FillPath) -> bool:
        """Whether a node may be asked at all: listed, not draining, not left out, not waiting for this."""
        node = self.shape.nodes.get(name)
        ready = node.ready if node is not None else name in self.met
        if not ready or name in self.barred:
            return False
        if name in trail.hops:
            self.seen.add("loops_cut")  # asking it would close a loop: it waits for this
            return False
        return True

    def quit(self, want: FillRequest) -> None:
        """Who asked no longer waits. The fill runs on: what it brings is kept."""
        want.over = True
        self.unwait(want)

    # --- fills ---

    def step(self, number: int, hint: str = "") -> tuple[FillSource, FillPath] | None:
        """Whom a fill asks next, and the trail that goes with it; None where nobody is left.

        `hint`: the one that was asked waits for this other one. Followed from node to node hints lead to a
        fill that waits for the store, which may be joined, or back here: then the ring is real, and this
        fill is the one that goes on to the store. Before that it asks who has claimed the object meanwhile.
        """
        lease = self.leases.by_number.get(number)
        if lease is None:
            return None
        rung = self.beside(lease, hint) if hint else None
        if hint == self.name and lease.toward is WaitTarget.LOOK and lease.detours < DETOURS_MOST:
            # Two looked at each other. By now the other one has gone on, and holds or fills the object.
            lease.detours += DETOURS_MOST // 2
            rung = FillSource(lease.target, held=True)
        if rung is None and lease.rungs:
            claimant = self.moves.claimed(lease.place, lease.began) if lease.rungs[0].store else None
            rung = self.beside(lease, claimant) if claimant is not None else None
            rung = rung or lease.rungs.popleft()
        if rung is None:
            return None
        toward = WaitTarget.STORE if rung.store else WaitTarget.LOOK if rung.held else WaitTarget.NODE
        return rung, lease.turn(toward, rung.target)

    def beside(self, lease: FillLease[FillRequest], name: str) -> FillSource | None:
        """A rung beside the ladder; the same one may come twice: by then it may wait for the store."""
        if name == self.name or lease.detours >= DETOURS_MOST or not self.usable(name, lease.trail):
            return None
        lease.detours += 1
        self.seen.add("detours")
        return FillSource(name)

    def unreached(self, number: int, target: str) -> None:
        """One that a fill asked could not be reached: its claim no longer holds."""
        lease = self.leases.by_number.get(number)
        if lease is not None:
            self.moves.release(lease.place, target)

    def ended(self, number: int, got: FillResult, now: float) -> list[Action]:
        """A fill is over: each who waits gets its answer, or a fill of its own where this one is too old."""
        self.actions = []
        lease = self.leases.end(number)
        if lease is None:
            return self.actions
        copy = got.copy
        if copy is None:
            self.seen.add("fills_failed")
            for want in lease.joined:
                self.failed(want, lease, got, now)
            return self.actions
        # What was purged while it was under way is not kept, and answers only who asked before the purge.
        if copy.minted >= self.purges.floor(lease.place[0], copy.group):
            self.keep(lease, copy)
        else:
            self.seen.add("fills_purged")
        for count, want in enumerate(lease.joined):
            purged = lease.purged_before(count, copy.group)
            self.filled(want, lease, copy, got, purged, now)
        return self.actions

    def keep(self, lease: FillLease[FillRequest], copy: CachedCopy) -> None:
        wants = [want for want in lease.joined if want.keep]
        if wants:
            copy.rank = max(want.rank for want in wants)
            if not self.copies.put(lease.place, copy):
                self.seen.add("not_kept")

    def filled(
        self,
        want: FillRequest,
        lease: FillLease[FillRequest],
        copy: CachedCopy,
        got: FillResult,
        purged: float,
        now: float,
    ) -> None:
        if want.over:
            return
        if copy.minted < max(want.floor, purged):
            # One who came after a purge, or needs a newer copy than the fill was asked for.
            want.floor = max(want.floor, purged)
            if want.restarts < self.limits.restarts and want.fill:
                want.restarts += 1
                self.again(want, now)
            else:
                self.answer(want, ReplyStatus.NONE, detail="UP_MISS")
            return
        first = want is lease.joined[0]
        detail = ("MISS_ORIGIN" if got.from_store else "MISS") if first else "COLLAPSED"
        self.answer(want, ReplyStatus.HIT, copy, detail, now - lease.began)

    def failed(self, want: FillRequest, lease: FillLease[FillRequest], got: FillResult, now: float) -> None:
        if want.over:
            return
        # Who joined may have time, or ways, that the first one had not.
        helps = not got.refused and got.note is not ReplyDetail.ORIGIN_FAILED and want.until > now + 0.05
        if helps and want is not lease.joined[0] and want.fill and want.restarts < self.limits.restarts:
            want.restarts += 1
            return self.again(want, now)
        if got.refused:
            return self.answer(want, ReplyStatus.SHED, detail="UP_BUSY")
        note = FAILURES.get(got.note) if got.note is not None else None
        self.answer(
            want, ReplyStatus.FAULT if note == "ORIGIN_ERR" else ReplyStatus.NONE, detail=note or "UP_DOWN"
        )

    def again(self, want: FillRequest, now: float) -> None:
        self.unwait(want)
        self.seen.add("fills_again")
        # Its entry among the ends is still there, and harmless: that looks at `over` only.
        self.serve(want, now)

    def tick(self, now: float) -> list[Action]:
        """Answer whose time is over; what still comes for them is kept and answers nobody."""
        self.actions = []
        while self.ends and (self.ends[0][0] <= now or self.ends[0][2].over):
            want = heapq.heappop(self.ends)[2]
            if not want.over:
                self.seen.add("late")
                self.answer(want, ReplyStatus.LATE)
        return self.actions

    def answer(
        self,
        want: FillRequest,
        word: ReplyStatus,
        copy: CachedCopy | None = None,
        detail: str = "",
        lag: float = 0.0,
        hint: str = "",
    ) -> None:
        if want.over:
            return
        if word is ReplyStatus.HIT and copy is not None and want.known is not None and want.known == copy.tag:
            word = ReplyStatus.VALID
        self.quit(want)
        self.seen.add(f"answered.{word.value}")
        self.actions.append(Reply(want, word, copy, detail, lag, hint))
