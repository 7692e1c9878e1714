"""A search through what may happen to leases: random walks by seed, and small worlds gone through to a depth.

`python -m paddlequay.lab.lease_search --steps 1000000 --seed 1` prints what was gone through. With
`--without GUARD` the same search runs with that guard taken out, and should find a fault.
"""

import argparse
import pickle
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from itertools import accumulate

from paddlequay.cluster.leases import Leases
from paddlequay.lab.lease_world import GUARDS, FaultError, Process, World

WALK = 400  # steps of one walk
PENDING_MOST = 60  # messages under way in a walk; older ones are lost
HEALED_WITHIN = 6.0  # true seconds from healing until each wanted lease is held
FULL_DEPTH = 6  # of small worlds: some 90,000 states, a minute; each step more is five times that


KINDS = (
    "deliver", "duplicate", "drop", "advance", "drift", "stop", "continue",
    "restart", "cut", "heal", "heads", "want", "release",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Mood:
    """What a walk has much of."""

    shares: tuple[float, ...]  # of each of `KINDS`
    ends: float  # of advances that go to the end of a lock or of a stay-out
    stalls: float  # of advances that are long
    steps_a_second: float  # of the others

    @property
    def weights(self) -> tuple[float, ...]:
        return tuple(accumulate(self.shares))


MOODS = (
    Mood((50, 4, 4, 26, 1, 1.2, 3, 1, 1, 1.5, 2, 2, 1), 0.1, 0.04, 30),  # a bit of all
    Mood((60, 8, 2, 10, 1, 2, 3, 0.3, 0.5, 2, 1, 8, 5), 0.05, 0.02, 200),  # owners change in a rush
    Mood((60, 4, 2, 16, 3, 1, 3, 0.5, 4, 4, 2, 3, 0.5), 0.4, 0.05, 60),  # holders are cut off
    Mood((55, 4, 4, 18, 1, 1, 3, 5, 1, 2, 8, 2, 1), 0.3, 0.05, 40),  # all start anew often
)


@dataclass(slots=True)
class Report:
    """What a search went through, and what it found."""

    steps: int = 0
    walks: int = 0
    states: int = 0  # of small worlds, each different
    takes: int = 0
    forgotten: int = 0  # restarts after which nobody heard had heard of the last term
    healed_most: float = 0.0
    seconds: float = 0.0
    kinds: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


def search(
    steps: int, seed: int, without: str | None = None, depth: int = FULL_DEPTH, faults_most: int = 1
) -> Report:
    """Walks of `steps` steps in all, then small worlds; ends at `faults_most` faults."""
    kind, process = GUARDS[without] if without is not None else (Leases, Process)
    report = Report()
    start = time.perf_counter()
    while report.steps < steps and len(report.faults) < faults_most:
        walk(seed + report.walks, report, kind, process)
    if len(report.faults) < faults_most and depth:
        for number in range(2):
            small_world(seed + number, depth, report, number == 1, kind, process)
    report.seconds = time.perf_counter() - start
    return report


def walk(seed: int, report: Report, kind: type[Leases] = Leases, process: type[Process] = Process) -> None:
    """One random walk, and how long its world takes to heal."""
    rng = random.Random(seed)
    size = rng.randint(3, 5)
    mood = rng.choice(MOODS)
    names = (1, 2)[: rng.randint(1, 2)]
    world = World(size, rng.getrandbits(32), kind, process, names)
    report.walks += 1
    try:
        for me in range(size):
            for name in names:
                if rng.random() < 0.7:
                    world.want(me, name)
        if rng.random() < 0.8:
            world.settle(4.0, lambda: all(map(world.holders, names)))
        for _ in range(WALK):
            report.kinds[step(world, rng, mood)] += 1
            report.steps += 1
            world.check()
            if len(world.pending) > PENDING_MOST:
                del world.pending[0]
        wanted = set().union(*world.wanted.values())
        healed = world.settle(HEALED_WITHIN, lambda: all(world.holders(name) for name in wanted))
        if healed is None:
            raise FaultError(f"a wanted lease is not held {HEALED_WITHIN} s after all healed")
        report.healed_most = max(report.healed_most, healed)
    except FaultError as fault:
        report.faults.append(f"walk {seed}: {fault}")
    report.takes += world.takes
    report.forgotten += world.forgotten


def step(world: World, rng: random.Random, mood: Mood) -> str:
    """One thing that happens, by its kind."""
    me = rng.randrange(len(world.processes))
    process = world.processes[me]
    name = rng.choice(world.names)
    holders = world.holders(name)
    (what,) = rng.choices(KINDS, cum_weights=mood.weights)
    if what in ("deliver", "duplicate", "drop") and world.pending:
        pick = rng.randrange(len(world.pending))
        message = world.pending[pick] if what == "duplicate" else world.pending.pop(pick)
        if what != "drop":
            world.deliver(message)
    elif what == "advance":
        world.advance(span(world, process, rng, mood))
        for each, other in enumerate(world.processes):
            if other.leases.due() <= other.clock and rng.random() < 0.8:
                world.tick(each)
    elif what == "drift":
        process.rate = world.rate()
    elif what == "stop":
        process.stopped = True
    elif what == "continue":
        # A message may reach it before it looks at the time.
        process.stopped = False
        if rng.random() < 0.5:
            world.tick(me)
    elif what == "restart":
        world.restart(me)
        if rng.random() < 0.3:
            world.restart(rng.randrange(len(world.processes)))
    elif what == "cut":
        # The holder, or some, from the rest, both ways or one.
        some = {each for each in range(len(world.processes)) if rng.random() < 0.4}
        side = {holders[0][0]} if holders and rng.random() < 0.7 else some
        ways = rng.choice((1, 2, 3))
        for one in side:
            for far in set(range(len(world.processes))) - side:
                world.blocked |= {pair for bit, pair in ((1, (one, far)), (2, (far, one))) if ways & bit}
    elif what == "heal":
        world.blocked.clear()
    elif what == "heads":
        world.beat()
    elif what == "want" and not process.stopped:
        world.want(me, name)
    elif what == "release":
        me = holders[0][0] if holders else me
        heir = rng.randrange(len(world.processes)) if rng.random() < 0.5 else None
        if not world.processes[me].stopped:
            world.drop(me, name, heir)
    return what


def span(world: World, process: Process, rng: random.Random, mood: Mood) -> float:
    """Seconds to the next step: mostly short, at times past a stall, at times just past the end of a lock."""
    chance = rng.random()
    if chance < mood.ends and process.leases.acceptor is not None:
        ends = [vote.locked_until for vote in process.leases.acceptor.votes.values()]
        ends = [end for end in (*ends, process.leases.acceptor.votes_from) if end > process.clock]
        if ends:
            return (rng.choice(ends) - process.clock) / process.rate + rng.choice((1e-6, 1e-3))
    if chance > 1 - mood.stalls:
        return rng.uniform(0.1, 2.0)
    return rng.expovariate(mood.steps_a_second)


# --- small worlds ---

SPANS = (0.14, 1.43)


def small_world(
    seed: int,
    depth: int,
    report: Report,
    held: bool,
    kind: type[Leases] = Leases,
    process: type[Process] = Process,
) -> None:
    """Everything that can happen in `depth` steps to two routers that bid and three that vote.

    A step delivers one message, lets time pass by one of `SPANS` (all clocks at their rates), lets all look
    at the time, restarts the third acceptor (once) or has the first router release (once). States met before
    are not gone on from. `held`: the first router holds the lease to begin with.
    """
    world = World(3, seed, kind, process)
    world.advance(2.0)
    for me in range(3):
        world.tick(me)
    world.want(0, 1)
    if held:
        world.settle(1.0, lambda: bool(world.holders(1)) and not world.pending)
    world.want(1, 1)
    for me in (0, 1):
        world.tick(me)
    seen = {frozen(world)}
    layer = [(pickle.dumps(world), frozenset[str]())]
    for left in reversed(range(depth)):
        former, layer = layer, []
        for saved, done in former:
            count = len(pickle.loads(saved).pending)
            ways = [*(f"deliver {number}" for number in range(count)), *(f"pass {span}" for span in SPANS)]
            ways += ["tick", *(once for once in ("restart", "release") if once not in done)]
            for way in ways:
                after: World = pickle.loads(saved)
                try:
                    take(after, way)
                    after.check()
                except FaultError as fault:
                    report.faults.append(f"small world {seed}: {fault}")
                    return
                key = frozen(after)
                if key not in seen:
                    seen.add(key)
                    if left:
                        once = {way} & {"restart", "release"}
                        layer.append((pickle.dumps(after), done | once))
    report.states += len(seen)


def take(world: World, way: str) -> None:
    what, _, which = way.partition(" ")
    if what == "deliver":
        world.deliver(world.pending.pop(int(which)))
    elif what == "pass":
        world.advance(float(which))
    elif what == "tick":
        for me, process in enumerate(world.processes):
            if process.leases.due() <= process.clock:
                world.tick(me)
    elif what == "restart":
        world.restart(2)
    else:
        world.drop(0, 1)


def frozen(world: World) -> int:
    """The state as a number; what is still to be drawn by chance is left out."""
    parts: list[object] = [round(world.time, 6), tuple(sorted(repr(message) for message in world.pending))]
    for process in world.processes:
        leases = process.leases
        parts.append(
            (round(process.clock, 6), leases.highest_counter, tuple(map(repr, leases.proposer.bids.values())))
        )
        if leases.acceptor is not None:
            parts.append((leases.acceptor.promise_floor, tuple(map(repr, leases.acceptor.votes.values()))))
    return hash(tuple(parts))


def main() -> None:
    parser = argparse.ArgumentParser(description="search through what may happen to leases")
    parser.add_argument("--steps", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--depth", type=int, default=FULL_DEPTH, help="of small worlds; 0: none")
    parser.add_argument("--without", choices=sorted(GUARDS))
    given = parser.parse_args()
    report = search(given.steps, given.seed, given.without, given.depth)
    kinds = " ".join(f"{name} {count}" for name, count in report.kinds.most_common())
    print(
        f"{report.steps} steps in {report.walks} walks, {report.states} states of small worlds, "
        f"{report.takes} takes, {report.forgotten} restarts unheard, healed within "
        f"{report.healed_most:.2f} s, {report.seconds:.1f} s\n{kinds}\nfaults: {report.faults or 'none'}"
    )


if __name__ == "__main__":
    main()
