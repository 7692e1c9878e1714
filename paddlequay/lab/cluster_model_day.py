"""Days of faults on the fleet model: single gray failures one by one, and whole days drawn from a seed."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from paddlequay.cluster.node import Node
from paddlequay.cluster.settings import ClusterSettings, LimitRule, LimitScope
from paddlequay.cluster.types import PeerState
from paddlequay.lab.cluster_model_drive import Auditor
from paddlequay.lab.cluster_model_world import Box, Net, World

# What a fault may still lead to after it ends: suspicion and death by what was seen in it, and refutation.
AFTER = 8.0
FAR_S, STOP_S = 1.0, 4.0
SECONDS = 28.0  # of a day, by default


def rules(size: int, rate: float = 200.0, burst: float = 5.0, places: float = 0.5) -> tuple[LimitRule, ...]:
    """A rate and places, strict. A burst of five for each router gives it a floor, a lower one does not.

    Charges last 0.28 s in the mean: `places`, as a share of the rate, bind below that.
    """
    return (
        LimitRule("charges", LimitScope.CLASS, "charge", rate, max(20.0, burst * size)),
        LimitRule("places", LimitScope.SOURCE, "parent", max_in_flight=int(rate * places)),
    )


def settings(size: int, limits: tuple[LimitRule, ...]) -> ClusterSettings:
    # The holder answers each router above its floor 2.5 times a second with 70 bytes; others need less.
    return ClusterSettings("quay", tuple(range(min(5, size))), limits=limits, bytes_per_s=16_000 + 320 * size)


def made(
    seed: int,
    size: int,
    net: Net | None = None,
    load: float = 2.0,
    rate: float = 200.0,
    attempts: float = 40.0,
    shape: Callable[[Box], None] = lambda box: None,
    node: type[Node] = Node,
    clocks: float | None = None,
    burst: float = 5.0,
    places: float = 0.5,
) -> Auditor:
    """A fleet with demand for `load` of the limit in all, and attempts a second at each router."""
    limits = rules(size, rate, burst, places)
    world = World(seed, settings(size, limits), size, net, shape=shape, node=node, clocks=clocks)
    auditor = Auditor(world, limits)
    for box in world.boxes:
        if load:
            auditor.charge(box, load * rate / size)
        if attempts:
            world.at(1.0, auditor.attempts, box, attempts)
    return auditor


# --- one by one ---


def gray(name: str, seed: int, size: int = 12) -> Mapping[str, Any]:
    """One failure of router 7 (or of its zone) from second 8 to 20, and what the others find."""
    who, begin, end = 7, 8.0, 20.0

    def shape(box: Box) -> None:
        if box.me == who and name == "clock 2% fast":
            box.rate = 1.02

    auditor = made(seed, size, shape=shape, clocks=0.0 if name == "clock 2% fast" else None)
    world = auditor.world
    victim = world.boxes[who]
    others = [box for box in world.boxes if box is not victim]
    world.run(begin)
    if name == "killed":
        world.kill(victim)
    elif name == "restarted empty":
        world.kill(victim)
        world.start(victim)
    elif name == "stops for 4 s":
        world.stop(victim, STOP_S)
    elif name == "stops for 0.5 s a second":
        for second in range(int(end - begin)):
            world.at(begin + second, world.stop, victim, 0.5)
    elif name == "five times late":
        victim.slow = True
    elif name == "datagrams take 1 s":
        victim.far = FAR_S
    elif name == "hears nobody":
        world.cuts |= {(other.me, who) for other in others}
    elif name == "is not heard":
        world.cuts |= {(who, other.me) for other in others}
    elif name == "half lost":
        victim.loss = 0.5
    elif name == "foreign 500/s":
        for box in world.boxes:
            world.noise(box, 500.0, end)
    elif name == "zone flaps":
        world.flap(victim.zone, end)
    world.run(end)
    dead = [by for _, by, of, state in auditor.stood if of == who and state is PeerState.DEAD]
    wrong = {
        (by, of) for at, by, of, stood in auditor.stood
        if stood is PeerState.DEAD and of != who and world.boxes[of].zone != victim.zone and at > begin
    }  # fmt: skip
    selves = [at - begin for at, by, cut in auditor.selves if by == who and cut and at > begin]
    return {
        "failure": name,
        "suspected_s": rounded(auditor.first(who, PeerState.SUSPECT, begin)),
        "dead_first_s": rounded(auditor.first(who, PeerState.DEAD, begin)),
        "dead_95_s": rounded(auditor.first(who, PeerState.DEAD, begin, 0.95)),
        "knows_itself_s": rounded(min(selves, default=None)),
        "dead_by": len(set(dead)),
        "others_dead": len({of for by, of in wrong if by != who}),
        "false_words": len(auditor.false_words),
        "used": round(auditor.used(begin + 4, end) / 200.0, 3),
        "most_of_limit": round(auditor.over, 3),
        "two_holders": auditor.two_holders,
        "terms_back": auditor.terms_back,
    }


def rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 2)


GRAY = (
    "killed",
    "restarted empty",
    "stops for 4 s",
    "stops for 0.5 s a second",
    "five times late",
    "clock 2% fast",
    "datagrams take 1 s",
    "hears nobody",
    "is not heard",
    "half lost",
    "foreign 500/s",
    "zone flaps",
)


# --- a drawn day ---


@dataclass(frozen=True, slots=True)
class Day:
    """What one seed came to; equal for equal seeds."""

    digest: str
    events: int
    faults: Mapping[str, int]
    over: float
    two_holders: int
    terms_back: int
    wrong_deaths: int
    false_words: int
    admitted: int
    takes: int
    whole_again: bool  # once all faults have ended: all alive to all, the limit used

    @property
    def broken(self) -> list[str]:
        """Which of the things that must hold did not."""
        told = {
            "limit": self.over > 1 + 1e-6,
            "holders": self.two_holders > 0,
            "terms": self.terms_back > 0,
            "healing": not self.whole_again,
        }
        return [name for name, found in told.items() if found]


class Faults:
    """Draws faults for a fleet, each with its end."""

    def __init__(self, auditor: Auditor, until: float) -> None:
        self.auditor, self.world, self.rng, self.until = auditor, auditor.world, auditor.rng, until
        self.counts: Counter[str] = Counter()
        self.kinds: tuple[Callable[[Box, float], None], ...] = (
            self.stop, self.die, self.restart, self.crowd, self.far, self.lossy, self.one_way,
            self.noise, self.flap, self.split, self.parent, self.shift, self.surge, self.mass,
        )  # fmt: skip

    def next(self) -> None:
        """One more, and the next in a while."""
        world = self.world
        if world.now >= self.until:
            return
        box, lasts = self.rng.choice(world.boxes), self.rng.choice((0.5, 1.5, 3.0, 6.0))
        kind = self.rng.choice(self.kinds)
        self.counts[kind.__name__] += 1
        world.say("fault", kind.__name__, box.me, lasts)
        kind(box, min(lasts, self.until - world.now))
        world.at(world.now + self.rng.expovariate(1.2), self.next)

    def excused(self, box: Box, lasts: float) -> None:
        box.excused = max(box.excused, self.world.now + lasts + AFTER)

    def later(self, lasts: float, do: Callable[[], None]) -> None:
        self.world.at(self.world.now + lasts, do)

    def stop(self, box: Box, lasts: float) -> None:
        self.excused(box, lasts)
        if box.node is not None:
            self.world.stop(box, lasts)

    def die(self, box: Box, lasts: float) -> None:
        self.excused(box, lasts)
        if box.node is not None:
            self.world.kill(box)
            self.later(lasts, lambda: self.back(box))

    def back(self, box: Box) -> None:
        if box.node is None:
            self.world.start(box)

    def restart(self, box: Box, lasts: float) -> None:
        self.die(box, 0.0)

    def mass(self, box: Box, lasts: float) -> None:
        """Half of all start anew at one moment, after all that there was to use was used."""
        self.surge(box, lasts)
        for each in self.rng.sample(self.world.boxes, self.world.size // 2):
            self.later(0.02, lambda each=each: self.die(each, self.rng.choice((0.0, 0.0, 0.3))))  # type: ignore[misc]
        self.later(0.5, lambda: self.surge(box, lasts))

    def surge(self, box: Box, lasts: float) -> None:
        for each in self.world.boxes:
            for _ in range(10):
                self.world.at(self.world.now + self.rng.random() * 0.01, self.auditor.ask, each)

    def crowd(self, box: Box, lasts: float) -> None:
        self.excused(box, lasts)
        box.slow = True
        self.later(lasts, lambda: setattr(box, "slow", False))

    def far(self, box: Box, lasts: float) -> None:
        self.excused(box, lasts + FAR_S)
        box.far = FAR_S
        self.later(lasts, lambda: setattr(box, "far", 0.0))

    def lossy(self, box: Box, lasts: float) -> None:
        self.excused(box, lasts)
        box.loss = self.rng.choice((0.1, 0.5, 0.9))
        self.later(lasts, lambda: setattr(box, "loss", 0.0))

    def one_way(self, box: Box, lasts: float) -> None:
        """Some or all others do not hear it, or it does not hear them."""
        others = [other for other in self.world.boxes if other is not box]
        others = self.rng.sample(others, self.rng.choice((1, len(others) // 2, len(others))))
        pairs = {(box.me, other.me) for other in others}
        if self.rng.random() < 0.5:
            pairs = {(there, here) for here, there in pairs}
        for each in (box, *others):
            self.excused(each, lasts)
        self.world.cuts |= pairs
        self.later(lasts, lambda: self.world.cuts.difference_update(pairs))

    def noise(self, box: Box, lasts: float) -> None:
        self.world.noise(box, 300.0, self.world.now + lasts)

    def flap(self, box: Box, lasts: float) -> None:
        for each in self.world.boxes:
            self.excused(each, lasts + 4)
        self.world.flap(box.zone, min(self.world.now + lasts, self.until - 2.0))

    def split(self, box: Box, lasts: float) -> None:
        for each in self.world.boxes:
            self.excused(each, lasts)
            each.side = self.rng.randrange(2)
        self.later(lasts, self.join)

    def join(self) -> None:
        for each in self.world.boxes:
            each.side = 0

    def parent(self, box: Box, lasts: float) -> None:
        parent = self.rng.choice(self.auditor.parents)
        self.auditor.turn(parent, False, self.rng.random() < 0.5)
        self.later(lasts, lambda: self.auditor.turn(parent, True))

    def shift(self, box: Box, lasts: float) -> None:
        """All demand moves to a few routers."""
        few = self.rng.sample(self.world.boxes, self.rng.choice((1, 3)))
        for each in self.world.boxes:
            self.auditor.charge(each, 400.0 / len(few) if each in few else 2.0)


def day(
    seed: int, size: int = 12, seconds: float = SECONDS, node: type[Node] = Node, load: float = 1.5
) -> Day:
    """A day in short: faults of every kind until 12 s before its end, drawn from the seed."""
    burst, places = ((5.0, 0.5), (1.0, 0.5), (5.0, 0.12))[seed % 3]
    net = Net(loss=0.01, repeat=0.02)
    auditor = made(seed, size, net, load, attempts=5.0, node=node, burst=burst, places=places)
    world = auditor.world
    faults = Faults(auditor, seconds - 12.0)
    world.at(3.0, faults.next)
    world.run(seconds)
    all_alive = all(
        box.node is not None and box.node.liveness.state_of(other.me) is PeerState.ALIVE
        for box in world.boxes
        for other in world.boxes
    )
    # Charges last 0.28 s in the mean; with little burst for each, up to a quarter lies idle besides.
    most = min(sum(auditor.demand.values()), 200.0, places * 200.0 / 0.28 * 0.8)
    used = auditor.used(seconds - 3.0, seconds)
    return Day(
        world.log.hexdigest(),
        world.logged,
        dict(sorted(faults.counts.items())),
        auditor.over,
        auditor.two_holders,
        auditor.terms_back,
        auditor.wrong_deaths,
        len(auditor.false_words),
        len(auditor.admitted),
        sum(len(takes) for takes in auditor.takes.values()),
        all_alive and used > 0.6 * most,
    )
