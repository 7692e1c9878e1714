"""A search for faults of the leases: seeded random walks, and exhaustive searches of small worlds.

`python -m paddlequay.lab.lease_search --steps 1000000 --seed 1` prints a report. With `--without GUARD` the
same search runs on leases without that guard, and is expected to find a fault.
"""

import argparse
import pickle
import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import accumulate

from paddlequay.cluster.types import NameDigest, Peer
from paddlequay.lab.lease_guards import COMPLETE, WITHOUT_GUARD, Variant
from paddlequay.lab.lease_world import LeaseFaultError, LeaseProcess, LeaseWorld

STEPS_PER_WALK = 400
MAX_PENDING_MESSAGES = 60  # of a walk; beyond it the oldest message is lost
MAX_HEALING_S = 6.0  # true seconds from the end of all faults until each requested lease is held
FULL_DEPTH_STEPS = 6  # of small worlds: some 90,000 states in a minute; a further step takes five times that

STEP_KINDS = (
    "deliver", "duplicate", "drop", "advance", "drift", "stop", "continue",
    "restart", "cut", "heal", "heads", "want", "release",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Scenario:
    """The frequencies of the steps of a random walk.

    Attributes:
        step_weights: The weight of each of `STEP_KINDS`.
        lock_end_ratio: The share of advances that end just after a lock or a restart delay has ended.
        stall_ratio: The share of advances that are long.
        steps_per_s: The mean number of the other advances in a second.
    """

    step_weights: tuple[float, ...]
    lock_end_ratio: float
    stall_ratio: float
    steps_per_s: float

    @property
    def cumulative_weights(self) -> tuple[float, ...]:
        """The cumulative weights, as `random.choices` takes them."""
        return tuple(accumulate(self.step_weights))


SCENARIOS = (
    Scenario((50, 4, 4, 26, 1, 1.2, 3, 1, 1, 1.5, 2, 2, 1), 0.1, 0.04, 30),  # a mixture of all steps
    Scenario((60, 8, 2, 10, 1, 2, 3, 0.3, 0.5, 2, 1, 8, 5), 0.05, 0.02, 200),  # owners change often
    Scenario((60, 4, 2, 16, 3, 1, 3, 0.5, 4, 4, 2, 3, 0.5), 0.4, 0.05, 60),  # holders are isolated
    Scenario((55, 4, 4, 18, 1, 1, 3, 5, 1, 2, 8, 2, 1), 0.3, 0.05, 40),  # routers restart often
)


@dataclass(slots=True)
class Report:
    """The extent of a search, and the faults that it found.

    Attributes:
        states: The number of distinct states of small worlds.
        forgotten_terms: The number of restarts after which the process had received no ballot counter as high
            as that of a lease's last term.
        max_healing_s: The longest time from the end of all faults until each requested lease was held.
        step_counts: The number of steps of each kind.
    """

    steps: int = 0
    walks: int = 0
    states: int = 0
    acquisitions: int = 0
    forgotten_terms: int = 0
    max_healing_s: float = 0.0
    seconds: float = 0.0
    step_counts: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


def search(
    steps: int, seed: int, without: str | None = None, depth: int = FULL_DEPTH_STEPS, max_faults: int = 1
) -> Report:
    """Runs random walks of `steps` steps in total, then small worlds; ends at `max_faults` faults."""
    variant = WITHOUT_GUARD[without] if without is not None else COMPLETE
    report = Report()
    start = time.perf_counter()
    while report.steps < steps and len(report.faults) < max_faults:
        walk(seed + report.walks, report, variant)
    if len(report.faults) < max_faults and depth:
        for number in range(2):
            search_small_world(seed + number, depth, report, starts_held=number == 1, variant=variant)
    report.seconds = time.perf_counter() - start
    return report


def walk(seed: int, report: Report, variant: Variant = COMPLETE) -> None:
    """Runs one random walk, and measures how long its world takes to recover after the faults end."""
    report.walks += 1
    random_walk = RandomWalk(seed, variant)
    world = random_walk.world
    try:
        random_walk.prepare()
        for _ in range(STEPS_PER_WALK):
            report.step_counts[random_walk.step()] += 1
            report.steps += 1
            world.check()
            if len(world.pending) > MAX_PENDING_MESSAGES:
                del world.pending[0]
        report.max_healing_s = max(report.max_healing_s, random_walk.heal())
    except LeaseFaultError as fault:
        report.faults.append(f"walk {seed}: {fault}")
    report.acquisitions += world.acquisitions
    report.forgotten_terms += world.forgotten_terms


class RandomWalk:
    """A world, and the random generator that selects its steps."""

    def __init__(self, seed: int, variant: Variant) -> None:
        self.rng = random.Random(seed)
        self.size = self.rng.randint(3, 5)
        self.scenario = self.rng.choice(SCENARIOS)
        self.names: tuple[NameDigest, ...] = (1, 2)[: self.rng.randint(1, 2)]
        self.world = LeaseWorld(
            self.size, self.rng.getrandbits(32), variant.leases, variant.process, self.names
        )

    def prepare(self) -> None:
        """Has some routers request leases, and usually waits until all leases are held."""
        for me in range(self.size):
            for name in self.names:
                if self.rng.random() < 0.7:
                    self.world.request(me, name)
        if self.rng.random() < 0.8:
            self.world.settle(4.0, lambda: all(map(self.world.holders, self.names)))

    def heal(self) -> float:
        """Ends all faults; returns the seconds until each requested lease is held.

        Raises:
            LeaseFaultError: A requested lease is not held within `MAX_HEALING_S`.
        """
        wanted = set().union(*self.world.wanted.values())
        healing_s = self.world.settle(MAX_HEALING_S, lambda: all(self.world.holders(name) for name in wanted))
        if healing_s is None:
            raise LeaseFaultError(f"a requested lease is not held {MAX_HEALING_S} s after all faults ended")
        return healing_s

    def step(self) -> str:
        """Takes one random step; returns its kind."""
        me = self.rng.randrange(self.size)
        process = self.world.processes[me]
        name = self.rng.choice(self.names)
        holders = [holder for holder, _ in self.world.holders(name)]
        (kind,) = self.rng.choices(STEP_KINDS, cum_weights=self.scenario.cumulative_weights)
        match kind:
            case "deliver" | "duplicate" | "drop":
                self._handle_message(kind)
            case "advance":
                self._advance(process)
            case "drift":
                process.clock_rate = self.world.draw_clock_rate()
            case "stop":
                process.stopped = True
            case "continue":
                self._continue(me, process)
            case "restart":
                self._restart(me)
            case "cut":
                self._cut_links(holders)
            case "heal":
                self.world.blocked_links.clear()
            case "heads":
                self.world.exchange_counters()
            case "want" if not process.stopped:
                self.world.request(me, name)
            case "release":
                self._release(holders[0] if holders else me, name)
        return kind

    def _handle_message(self, kind: str) -> None:
        """Delivers, duplicates or drops one pending message."""
        pending = self.world.pending
        if not pending:
            return
        index = self.rng.randrange(len(pending))
        message = pending[index] if kind == "duplicate" else pending.pop(index)
        if kind != "drop":
            self.world.deliver(message)

    def _advance(self, process: LeaseProcess) -> None:
        self.world.advance(self._draw_advance(process))
        for each, other in enumerate(self.world.processes):
            if other.leases.due() <= other.clock and self.rng.random() < 0.8:
                self.world.tick(each)

    def _draw_advance(self, process: LeaseProcess) -> float:
        """Draws the seconds to advance: usually few, at times many or until just after a lock ends."""
        chance = self.rng.random()
        acceptor = process.leases.acceptor
        if chance < self.scenario.lock_end_ratio and acceptor is not None:
            ends = [*(vote.locked_until for vote in acceptor.votes.values()), acceptor.votes_from]
            ends = [end for end in ends if end > process.clock]
            if ends:
                until_end = (self.rng.choice(ends) - process.clock) / process.clock_rate
                return until_end + self.rng.choice((1e-6, 1e-3))
        if chance > 1 - self.scenario.stall_ratio:
            return self.rng.uniform(0.1, 2.0)
        return self.rng.expovariate(self.scenario.steps_per_s)

    def _continue(self, me: Peer, process: LeaseProcess) -> None:
        """Resumes a process; in half of the cases a message may reach it before its first tick."""
        process.stopped = False
        if self.rng.random() < 0.5:
            self.world.tick(me)

    def _restart(self, me: Peer) -> None:
        self.world.restart(me)
        if self.rng.random() < 0.3:
            self.world.restart(self.rng.randrange(self.size))

    def _cut_links(self, holders: list[Peer]) -> None:
        """Blocks the links between the holder, or some routers, and the rest, in one or both directions."""
        random_side = {each for each in range(self.size) if self.rng.random() < 0.4}
        side = {holders[0]} if holders and self.rng.random() < 0.7 else random_side
        directions = self.rng.choice((1, 2, 3))
        for near in side:
            for far in set(range(self.size)) - side:
                if directions & 1:
                    self.world.blocked_links.add((near, far))
                if directions & 2:
                    self.world.blocked_links.add((far, near))

    def _release(self, me: Peer, name: NameDigest) -> None:
        successor = self.rng.randrange(self.size) if self.rng.random() < 0.5 else None
        if not self.world.processes[me].stopped:
            self.world.release(me, name, successor)


ADVANCES_S = (0.14, 1.43)
ONE_TIME_STEPS = frozenset(("restart", "release"))


def search_small_world(
    seed: int, depth: int, report: Report, starts_held: bool, variant: Variant = COMPLETE
) -> None:
    """Searches all sequences of `depth` steps of three acceptors, two of which bid for a lease.

    A step delivers one message, advances true time by one of `ADVANCES_S` (each clock at its own rate), ticks
    all processes that are due, restarts the third acceptor (once) or has the first router release the lease
    (once). A state that was reached before is not searched again. With `starts_held` the first router holds
    the lease at the start.
    """
    start = _start_of_small_world(seed, starts_held, variant)
    visited = {state_hash(start)}
    layer = [(pickle.dumps(start), frozenset[str]())]
    for steps_left in reversed(range(depth)):
        previous_layer = layer
        layer = []
        for snapshot, done_once in previous_layer:
            for step in _possible_steps(snapshot, done_once):
                world: LeaseWorld = pickle.loads(snapshot)
                try:
                    take_step(world, step)
                    world.check()
                except LeaseFaultError as fault:
                    report.faults.append(f"small world {seed}: {fault}")
                    return
                key = state_hash(world)
                if key in visited:
                    continue
                visited.add(key)
                if steps_left:
                    layer.append((pickle.dumps(world), done_once | ({step} & ONE_TIME_STEPS)))
    report.states += len(visited)


def _start_of_small_world(seed: int, starts_held: bool, variant: Variant) -> LeaseWorld:
    world = LeaseWorld(3, seed, variant.leases, variant.process)
    world.advance(2.0)
    for me in range(3):
        world.tick(me)
    world.request(0, 1)
    if starts_held:
        world.settle(1.0, lambda: bool(world.holders(1)) and not world.pending)
    world.request(1, 1)
    for me in (0, 1):
        world.tick(me)
    return world


def _possible_steps(snapshot: bytes, done_once: frozenset[str]) -> Iterator[str]:
    world: LeaseWorld = pickle.loads(snapshot)
    for number in range(len(world.pending)):
        yield f"deliver {number}"
    for seconds in ADVANCES_S:
        yield f"pass {seconds}"
    yield "tick"
    for once in ("restart", "release"):
        if once not in done_once:
            yield once


def take_step(world: LeaseWorld, step: str) -> None:
    """Takes one step of a small world, such as `deliver 0` or `pass 1.43`."""
    kind, _, argument = step.partition(" ")
    match kind:
        case "deliver":
            world.deliver(world.pending.pop(int(argument)))
        case "pass":
            world.advance(float(argument))
        case "tick":
            for me, process in enumerate(world.processes):
                if process.leases.due() <= process.clock:
                    world.tick(me)
        case "restart":
            world.restart(2)
        case "release":
            world.release(0, 1)


def state_hash(world: LeaseWorld) -> int:
    """Returns a hash of the state of a world, without the states of its random generators."""
    parts: list[object] = [round(world.time, 6), tuple(sorted(repr(message) for message in world.pending))]
    for process in world.processes:
        leases = process.leases
        bids = tuple(map(repr, leases.proposer.bids.values()))
        parts.append((round(process.clock, 6), leases.highest_counter, bids))
        if leases.acceptor is not None:
            votes = tuple(map(repr, leases.acceptor.votes.values()))
            parts.append((leases.acceptor.promise_floor, votes))
    return hash(tuple(parts))


def main() -> None:
    """Runs the search that the command line asks for, and prints the report."""
    parser = argparse.ArgumentParser(description="search for faults of the leases")
    parser.add_argument("--steps", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--depth", type=int, default=FULL_DEPTH_STEPS, help="steps of a small world; 0 skips them"
    )
    parser.add_argument("--without", choices=sorted(WITHOUT_GUARD))
    arguments = parser.parse_args()
    report = search(arguments.steps, arguments.seed, arguments.without, arguments.depth)
    step_counts = " ".join(f"{name} {count}" for name, count in report.step_counts.most_common())
    print(
        f"{report.steps} steps in {report.walks} walks, {report.states} states of small worlds, "
        f"{report.acquisitions} acquisitions, {report.forgotten_terms} restarts without the last term, "
        f"healed within {report.max_healing_s:.2f} s, {report.seconds:.1f} s\n{step_counts}\n"
        f"faults: {report.faults or 'none'}"
    )


if __name__ == "__main__":
    main()
