"""A search for exceeded fleet limits, with seeded random fleets, loads and faults.

`python -m paddlequay.lab.limit_search [STEPS] [FIRST_SEED]` searches the production code.
`python -m paddlequay.lab.limit_search guards [STEPS]` searches each variant that lacks a guard.
"""

import random
import sys
import time
from dataclasses import dataclass
from functools import partial

from paddlequay.cluster.fleet_limits import FleetLimits
from paddlequay.cluster.settings import LimitRule, LimitScope, PartitionMode
from paddlequay.lab.limit_guards import WITHOUT_GUARD
from paddlequay.lab.limit_world import LimitRouter, LimitWorld

WORLD_S = 12.0
FAULTS_PER_S = 3.0
ISOLATED_SIDE = 99
SURGE_REQUESTS = 30  # more than any router has tokens and slots for


def draw_rules(rng: random.Random) -> tuple[LimitRule, ...]:
    """Draws one limit, or two on rates and one on requests in flight; some are in the open mode."""
    mode = rng.choice((PartitionMode.STRICT, PartitionMode.STRICT, PartitionMode.OPEN))
    open_factor = rng.choice((1.2, 1.5, 2.0))
    floor_ratio = rng.choice((0.0, 0.2, 0.5, 1.0))
    rate_per_s = rng.choice((20.0, 60.0, 150.0))
    outer = LimitRule(
        "whole",
        LimitScope.CLASS,
        "c",
        rate_per_s,
        rng.choice((3.0, 8.0, 30.0)),
        mode=mode,
        floor_ratio=floor_ratio,
        open_factor=open_factor,
    )
    inner = LimitRule(
        "each",
        LimitScope.TENANT,
        "*",
        rate_per_s * rng.choice((0.7, 2)),
        20.0,
        floor_ratio=rng.choice((0.0, 0.3)),
    )
    in_flight = LimitRule(
        "out",
        LimitScope.SOURCE,
        "s",
        max_in_flight=rng.choice((3, 12, 24)),
        mode=mode,
        floor_ratio=floor_ratio,
        open_factor=open_factor,
    )
    # A limit without others beside it is used more fully.
    return rng.choice(((outer, inner, in_flight), (outer,), (outer,), (outer,), (in_flight,)))


class LimitFaultInjector:
    """Applies random faults to a world, and ends some of them."""

    def __init__(self, world: LimitWorld, rng: random.Random) -> None:
        self.world = world
        self.rng = rng

    def apply_next(self) -> None:
        """Applies one random fault, in half of the cases together with a surge of requests."""
        router = self.rng.choice(self.world.routers)
        match self.rng.randrange(12):
            case 0:
                self._isolate_all()
            case 1:
                self._split()
            case 2:
                router.loss_ratio = self.rng.choice((0.0, 0.3, 0.7))
                router.extra_delay_s = self.rng.choice((0.0, 0.3, 0.7))
            case 3:
                self.world.stall(router, self.rng.choice((0.1, 0.5, 0.8, 2.0, 4.0)))
            case 4:
                self._restart_half_after_a_surge()
            case 5:
                self._stall_holders()
            case 6:
                self._change_links()
            case 10 | 11:
                self._isolate_the_busiest(router)
            case _:
                self._change_demand()
        if self.rng.random() < 0.5:
            self.world.surge(self.rng.choice((4, SURGE_REQUESTS)))
            self.world.schedule(self.world.now + self.rng.random() * 0.7, self._surge)

    def _surge(self) -> None:
        self.world.surge(SURGE_REQUESTS)

    def _heal(self) -> None:
        heal(self.world)

    def _heal_later(self) -> None:
        self.world.schedule(self.world.now + self.rng.choice((1.0, 2.5, 4.0)), self._heal)

    def _isolate_all(self) -> None:
        for router in self.world.routers:
            router.partition_side = router.me
        self._heal_later()

    def _split(self) -> None:
        for router in self.world.routers:
            router.partition_side = self.rng.randrange(2)
        self._heal_later()

    def _restart_half_after_a_surge(self) -> None:
        """Restarts half of the routers after all tokens were used, which the new processes do not know."""
        world = self.world
        self._surge()
        for router in self.rng.sample(world.routers, max(1, len(world.routers) // 2)):
            world.schedule(world.now + 0.02, partial(world.start, router))
        for wait_s in (0.04, 0.1, 0.2):
            world.schedule(world.now + wait_s, self._surge)

    def _stall_holders(self) -> None:
        """Stalls the holders, whose grants stay valid while other routers take over their leases."""
        world = self.world
        for record in list(world.leases.records.values()):
            holder = world.routers[record.holder]
            world.stall(holder, 2.0)
            if self.rng.random() < 0.5:
                world.schedule(world.now + self.rng.random() * 2, partial(world.start, holder))

    def _change_links(self) -> None:
        self.world.loss_ratio, self.world.duplicate_ratio = self.rng.choice(
            ((0.0, 0.0), (0.1, 0.1), (0.4, 0.3))
        )
        self.world.long_delay_ratio = self.rng.choice((0.0, 0.02, 0.2))

    def _isolate_the_busiest(self, other: LimitRouter) -> None:
        """Isolates the busiest router, after delays of its messages, while another router needs its quota."""
        world = self.world
        busiest = max(world.routers, key=lambda each: each.demand_per_s)
        busiest.extra_delay_s = self.rng.choice((0.0, 0.5))
        other.demand_per_s = max(other.demand_per_s, busiest.demand_per_s, 40.0)
        world.schedule(world.now + 0.3, lambda: setattr(busiest, "partition_side", ISOLATED_SIDE))
        world.schedule(world.now + 2.5, self._heal)

    def _change_demand(self) -> None:
        """Moves demand above the limit to a few routers, while others still have the quotas."""
        world = self.world
        total = 2 * (world.rules[0].rate_per_s or 40.0)
        for router in world.routers:
            router.demand_per_s = self.rng.choice((0.0, total / len(world.routers), total))
            router.duration_s = self.rng.choice((0.05, 0.3, 0.5, 1.0))


def heal(world: LimitWorld) -> None:
    """Ends partitions and extra delays."""
    for router in world.routers:
        router.partition_side = 0
        router.extra_delay_s = 0.0


def run_world(seed: int, limits_class: type[FleetLimits] = FleetLimits) -> LimitWorld:
    """Runs the world of a seed to its end, with random rules, load and faults."""
    rng = random.Random(seed)
    slot_grant_extension_s = rng.choice((0.0, 0.0, 1.0))
    size = rng.randint(2, 6)
    world = LimitWorld(
        seed, size, draw_rules(rng), limits_class, slot_grant_extension_s=slot_grant_extension_s
    )
    fault_injector = LimitFaultInjector(world, rng)
    for router in world.routers:
        router.demand_per_s = 40.0
        # Clock rates at their bounds are the hardest case.
        router.clock_rate = rng.choice((0.95, 1.05, router.clock_rate))
    fault_at = 0.0
    while fault_at < WORLD_S:
        fault_at += rng.expovariate(FAULTS_PER_S)
        world.schedule(fault_at, fault_injector.apply_next)
    return world.run(WORLD_S)


@dataclass(frozen=True, slots=True)
class Finding:
    """The number of worlds and steps searched, and the limits that the last world exceeded."""

    worlds: int
    steps: int
    exceeded: tuple[str, ...] = ()


def search_until_exceeded(limits_class: type[FleetLimits], max_steps: int, first_seed: int = 0) -> Finding:
    """Runs worlds until one exceeds a limit, or for `max_steps` steps in total."""
    steps = 0
    worlds = 0
    while steps < max_steps:
        world = run_world(first_seed + worlds, limits_class)
        worlds += 1
        steps += world.steps
        exceeded = tuple(
            f"{name} {audit.max_ratio:.3f}" for name, audit in world.audits.items() if audit.is_exceeded
        )
        if exceeded:
            return Finding(worlds, steps, exceeded)
    return Finding(worlds, steps)


def search_without_guards(max_steps: int) -> None:
    """Searches each variant that lacks a guard, and prints whether it exceeded a limit."""
    for limits_class in WITHOUT_GUARD:
        finding = search_until_exceeded(limits_class, max_steps)
        outcome = f"exceeded: {finding.exceeded[0]}" if finding.exceeded else "NOT FOUND"
        print(
            f"{limits_class.__name__:24} {outcome:24} {finding.worlds} worlds {finding.steps} steps",
            flush=True,
        )


def search_and_print(max_steps: int, first_seed: int) -> bool:
    """Searches the production code, prints the highest use of each limit, and returns whether all held."""
    started_at = time.monotonic()
    steps = 0
    worlds = 0
    exceeded = 0
    max_ratios: dict[tuple[str, str], float] = {}
    while steps < max_steps:
        world = run_world(first_seed + worlds)
        worlds += 1
        steps += world.steps
        for audit in world.audits.values():
            exceeded += audit.is_exceeded
            key = audit.rule.name, f"{audit.rule.mode.value} {audit.allowed_ratio:g}"
            max_ratios[key] = max(max_ratios.get(key, 0.0), audit.max_ratio)
    print(f"{worlds} worlds, {steps} steps, exceeded {exceeded}, {time.monotonic() - started_at:.0f} s")
    for (name, mode), max_ratio in sorted(max_ratios.items()):
        print(f"  {name:6} {mode:10} largest {max_ratio:.4f}")
    return exceeded == 0


def main(arguments: list[str]) -> int:
    """Runs the search that the command line asks for; returns the exit status."""
    if arguments[:1] == ["guards"]:
        search_without_guards(int(arguments[1]) if len(arguments) > 1 else 300_000)
        return 0
    max_steps = int(arguments[0]) if arguments else 1_000_000
    first_seed = int(arguments[1]) if len(arguments) > 1 else 0
    return 0 if search_and_print(max_steps, first_seed) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
