"""What runs on the fleet of `cluster_model_world`: charges, attempts at parents, and an auditor by true time.

The auditor asks nobody whether a rule was kept: charges are counted at the moment of use, parents are up or
down by the draw, and each router is asked for its leases at each instant at which one of them could have
come to hold one. Between two calls of a router its hold on a lease can only end.
"""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from paddlequay.cluster.fleet_limits import Permit
from paddlequay.cluster.node import ClusterEvent, Node
from paddlequay.cluster.settings import LimitRule, LimitScope
from paddlequay.cluster.types import (
    Fault,
    LeaseAcquired,
    LeaseLost,
    NameDigest,
    Peer,
    PeerChanged,
    PeerState,
    SelfChanged,
    VerdictChanged,
)
from paddlequay.cluster.verdict_rules import DOWN_FAULTS
from paddlequay.lab.cluster_model_world import Box, World
from paddlequay.lab.limit_audit import LimitAudit
from paddlequay.placement.homes import digest

WHAT = ((LimitScope.CLASS, "charge"), (LimitScope.SOURCE, "parent"))
REFUSED_S, SILENT_S = 0.005, 0.25  # after which an attempt at a dead parent ends: refused, or timed out
NOISE = 0.01  # of attempts at a parent that serves which fail nevertheless
OLD_S = (
    2.4  # evidence's life with drift, and what a news note waits; with parents up for longer no word falls
)


@dataclass(slots=True)
class Parent:
    name: str
    subject: NameDigest
    up: bool = True
    since: float = -1e9  # of its being up or down
    silent: bool = True  # while it is down: does not answer, rather than refusing


class Auditor:
    """Watches a world from outside; all it finds is in true time."""

    def __init__(self, world: World, rules: Sequence[LimitRule], parents: int = 4) -> None:
        self.world, self.rng = world, world.rng
        self.audits = {rule.name: LimitAudit(rule) for rule in rules}
        self.demand: dict[Peer, float] = {}
        self.admitted: list[float] = []
        self.parents = [Parent(f"p{n}", digest(f"p{n}")) for n in range(parents)]
        self.by_subject = {parent.subject: parent for parent in self.parents}
        self.takes: dict[NameDigest, list[tuple[float, Peer, int]]] = defaultdict(list)
        self.losses: dict[NameDigest, list[tuple[float, Peer]]] = defaultdict(list)
        self.two_holders = self.terms_back = 0
        self.words: dict[NameDigest, dict[Peer, float]] = defaultdict(dict)  # since when a router has one
        self.false_words: list[tuple[float, Peer, str]] = []
        self.stood: list[tuple[float, Peer, Peer, PeerState]] = []  # who believes what of whom
        self.selves: list[tuple[float, Peer, bool]] = []  # who knows itself cut off
        self.wrong_deaths = 0
        self.counts: Counter[str] = Counter()
        world.watch.append(self.look)

    # --- charges ---

    def charge(self, box: Box, per_s: float) -> None:
        """From now on, in place of what it had; 0: none."""
        running = self.demand.get(box.me, 0.0) > 0
        self.demand[box.me] = per_s
        if per_s and not running:
            self.world.at(self.world.now + self.rng.expovariate(per_s), self.charges, box)

    def charges(self, box: Box) -> None:
        per_s = self.demand[box.me]
        if per_s:
            self.world.at(self.world.now + self.rng.expovariate(per_s), self.charges, box)
            self.ask(box)

    def ask(self, box: Box) -> None:
        """One charge; a process that stands still is asked when it goes on."""
        world, node = self.world, box.node
        if node is None or node.limits is None:
            self.counts["unreached"] += 1
            return
        ready = world.ready(box)
        if ready > world.now:
            return world.at(ready + self.rng.random() * 0.002, self.ask, box)
        lasts = world.longest * self.rng.uniform(0.1, 1.0)
        answer = node.limits.admit_all(WHAT, box.clock(world.now), lasts)
        self.counts["admitted" if isinstance(answer, Permit) else "refused"] += 1
        if isinstance(answer, Permit):
            held = lasts / box.rate
            self.admitted.append(world.now)
            for audit in self.audits.values():
                audit.add(world.now, world.now + held)
            world.say(box.me, "admitted")
            world.at(world.now + held, self.ended, box, node, answer)
        world.flush(box, ())

    def ended(self, box: Box, node: Node, permit: Permit) -> None:
        if box.node is node and node.limits is not None and self.world.alive(box):
            node.limits.release(permit, box.clock(self.world.now))

    def used(self, begin: float, end: float) -> float:
        """Charges a second let through."""
        return sum(begin <= at < end for at in self.admitted) / (end - begin)

    # --- attempts ---

    def attempts(self, box: Box, per_s: float) -> None:
        """At each parent in turn by chance, for good."""
        self.world.at(self.world.now + self.rng.expovariate(per_s), self.attempts, box, per_s)
        if self.world.alive(box):
            self.attempt(box, self.rng.choice(self.parents))

    def attempt(self, box: Box, parent: Parent) -> None:
        """Its end is known now where the parent serves, else by when it is refused or timed out."""
        reached = parent.up and not box.dark  # parents are beyond the zone's links
        noise = self.rng.random() < NOISE
        if reached and not noise:
            return self.saw(box, box.lives, parent, True, None)
        silent = parent.silent or box.dark
        fault = Fault.SILENT if silent else Fault.FAILING
        wait = SILENT_S if silent else REFUSED_S
        self.world.at(self.world.now + wait, self.saw, box, box.lives, parent, False, fault)

    def saw(self, box: Box, life: int, parent: Parent, ok: bool, fault: Fault | None) -> None:
        node = box.node
        if node is None or node.verdicts is None or box.lives != life or not self.world.alive(box):
            return
        now = box.clock(self.world.now)
        actions = node.verdicts.record_attempt(parent.subject, 0, "parent", ok, fault, now)
        self.world.flush(box, node.execute(actions, now))

    def turn(self, parent: Parent, up: bool, silent: bool = True) -> None:
        """A parent dies, or is back."""
        parent.up, parent.since, parent.silent = up, self.world.now, silent
        self.words[parent.subject].clear()
        self.world.say("parent", parent.name, up)

    # --- what is found ---

    def look(self, box: Box, events: Sequence[ClusterEvent]) -> None:
        now = self.world.now
        for each in events:
            if isinstance(each, LeaseAcquired):
                takes = self.takes[each.lease]
                self.terms_back += bool(takes) and each.term <= takes[-1][2]
                takes.append((now, box.me, each.term))
            elif isinstance(each, LeaseLost):
                self.losses[each.lease].append((now, box.me))
            elif isinstance(each, VerdictChanged):
                self.worded(box, each)
            elif isinstance(each, PeerChanged):
                self.stands(box, each)
            elif isinstance(each, SelfChanged):
                self.selves.append((now, box.me, not (each.receives and each.reaches)))
        if box.me in self.world.settings.acceptors:
            self.look_at_leases(box)

    def look_at_leases(self, box: Box) -> None:
        """Every router that may hold is asked at this instant, also one that stands still."""
        now, node = self.world.now, box.node
        assert node is not None
        if node.leases is None or node.limits is None:
            return
        for lease in node.limits.leases:
            if node.holds(lease, box.clock(now)) is None:
                continue
            for number in self.world.settings.acceptors:
                other = self.world.boxes[number]
                if other is not box and other.node is not None:
                    self.two_holders += other.node.holds(lease, other.clock(now)) is not None

    def worded(self, box: Box, word: VerdictChanged) -> None:
        parent = self.by_subject[word.subject]
        if word.fault not in DOWN_FAULTS:
            self.words[word.subject].pop(box.me, None)
            return
        self.words[word.subject].setdefault(box.me, self.world.now)
        # Beyond a dark zone's links all parents are dead for it, and for the fleet if that is most of it.
        old = self.world.now - OLD_S
        dim = [each.me for each in self.world.boxes if each.dark or each.lit > old]
        if parent.up and parent.since < old and box.me not in dim and 2 * len(dim) < self.world.size:
            self.false_words.append((self.world.now, box.me, parent.name))

    def stands(self, box: Box, change: PeerChanged) -> None:
        now, peer = self.world.now, self.world.boxes[change.peer]
        self.stood.append((now, box.me, change.peer, change.state))
        runs = peer.node is not None and peer.stopped <= now
        if change.state is PeerState.DEAD and runs and now > max(peer.excused, box.excused):
            self.wrong_deaths += 1

    # --- sums ---

    @property
    def over(self) -> float:
        """The most of any limit, as a multiple of what it allows; over 1 is a breach."""
        return max((audit.max_ratio / audit.allowed_ratio for audit in self.audits.values()), default=0.0)

    def first(self, peer: Peer, state: PeerState, since: float, most: float = 1.0) -> float | None:
        """Seconds until a share `most` of the other routers held a peer so; 1: the first of them."""
        seen: dict[Peer, float] = {}
        for at, by, of, stood in self.stood:
            if of == peer and stood is state and at >= since:
                seen.setdefault(by, at - since)
        times = sorted(seen.values())
        need = 1 if most >= 1 else int(most * (self.world.size - 1) + 0.999)
        return times[need - 1] if len(times) >= need else None

    def worded_within(self, parent: Parent, share: float) -> float | None:
        """Seconds from a parent's death until a share of the living have the word."""
        times = sorted(at - parent.since for at in self.words[parent.subject].values())
        need = int(share * sum(box.node is not None for box in self.world.boxes) + 0.999)
        return times[need - 1] if len(times) >= need else None
