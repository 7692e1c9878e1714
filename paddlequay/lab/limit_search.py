"""A search for a limit that is passed: random fleets, loads and faults by seed, and each guard taken out.

python -m paddlequay.lab.limit_search [STEPS] [FIRST_SEED]
python -m paddlequay.lab.limit_search guards [STEPS]
"""

import random
import sys
import time
from dataclasses import replace
from functools import partial

from paddlequay.cluster.buckets import ActiveGrant, BucketTiming, RateBucket, SlotBucket, SlotKind
from paddlequay.cluster.fleet_limits import FleetLimits
from paddlequay.cluster.grant_ledger import Ledger
from paddlequay.cluster.granter import Granter
from paddlequay.cluster.limit_registry import FleetLimit
from paddlequay.cluster.local_limits import LocalLimit
from paddlequay.cluster.messages import QuotaGrant
from paddlequay.cluster.quota_client import QuotaClient
from paddlequay.cluster.quotas import NO_QUOTA, LimitDivision, Quota
from paddlequay.cluster.settings import LimitRule, LimitScope, PartitionMode
from paddlequay.cluster.types import NameDigest, Peer
from paddlequay.lab.limit_world import Proc, World

SECONDS = 12.0  # of each world


def rules_of(rng: random.Random) -> tuple[LimitRule, ...]:
    """Two levels and a limit on places, now and then in the open mode."""
    mode = rng.choice((PartitionMode.STRICT, PartitionMode.STRICT, PartitionMode.OPEN))
    over = rng.choice((1.2, 1.5, 2.0))
    floor = rng.choice((0.0, 0.2, 0.5, 1.0))
    rate = rng.choice((20.0, 60.0, 150.0))
    rules = (
        LimitRule(
            "whole",
            LimitScope.CLASS,
            "c",
            rate,
            rng.choice((3.0, 8.0, 30.0)),
            mode=mode,
            floor_ratio=floor,
            open_factor=over,
        ),
        LimitRule(
            "each",
            LimitScope.TENANT,
            "*",
            rate * rng.choice((0.7, 2)),
            20.0,
            floor_ratio=rng.choice((0.0, 0.3)),
        ),
        LimitRule(
            "out",
            LimitScope.SOURCE,
            "s",
            max_in_flight=rng.choice((3, 12, 24)),
            mode=mode,
            floor_ratio=floor,
            open_factor=over,
        ),
    )
    # Alone, each comes closer to its limit.
    return rng.choice((rules, rules[:1], rules[:1], rules[:1], rules[2:]))


def disturb(world: World, rng: random.Random) -> None:
    """One more trouble, or an end to it."""
    proc: Proc = rng.choice(world.procs)
    what = rng.randrange(12)
    if what < 2:
        for each in world.procs:
            each.side = rng.randrange(2) if what else each.me
        world.at(world.now + rng.choice((1.0, 2.5, 4.0)), lambda: heal(world))
    elif what == 2:
        proc.loss, proc.far = rng.choice((0.0, 0.3, 0.7)), rng.choice((0.0, 0.3, 0.7))
    elif what in (10, 11):
        # The busiest is far off, then cut off, and another needs its share: what it still has must be little.
        busy = max(world.procs, key=lambda each: each.demand)
        busy.far = rng.choice((0.0, 0.5))
        proc.demand = max(proc.demand, busy.demand, 40.0)
        world.at(world.now + 0.3, lambda: setattr(busy, "side", 99))
        world.at(world.now + 2.5, lambda: heal(world))
    elif what == 3:
        world.stall(proc, rng.choice((0.1, 0.5, 0.8, 2.0, 4.0)))
    elif what == 4:
        # Just after all that there was has been used, which the new processes know nothing of.
        world.surge(30)
        for each in rng.sample(world.procs, max(1, len(world.procs) // 2)):
            world.at(world.now + 0.02, partial(world.start, each))
        for wait in (0.04, 0.1, 0.2):
            world.at(world.now + wait, partial(world.surge, 30))
    elif what == 5:
        # The holder: what it granted lives on while another takes over.
        for who, *_ in list(world.holder.values()):
            world.stall(world.procs[who], 2.0)
            if rng.random() < 0.5:
                world.at(world.now + rng.random() * 2, partial(world.start, world.procs[who]))
    elif what == 6:
        world.loss, world.twice = rng.choice(((0.0, 0.0), (0.1, 0.1), (0.4, 0.3)))
        world.tail = rng.choice((0.0, 0.02, 0.2))
    else:
        # More than the limit, and on few: whose share that was before goes on with it for as long as it may.
        total = 2 * (world.rules[0].rate_per_s or 40.0)
        for each in world.procs:
            each.demand = rng.choice((0.0, total / len(world.procs), total))
            each.lasts = rng.choice((0.05, 0.3, 0.5, 1.0))
    if rng.random() < 0.5:
        world.surge(rng.choice((4, 30)))
        world.at(world.now + rng.random() * 0.7, lambda: world.surge(30))


def heal(world: World) -> None:
    for each in world.procs:
        each.side, each.far = 0, 0.0


def search(seed: int, kind: type[FleetLimits] = FleetLimits) -> World:
    """One world, run to its end."""
    rng = random.Random(seed)
    stay = rng.choice((0.0, 0.0, 1.0))
    world = World(seed, rng.randint(2, 6), rules_of(rng), kind, stay=stay)
    for proc in world.procs:
        proc.demand = 40.0
        proc.rate = rng.choice((0.95, 1.05, proc.rate))  # the ends of what clocks may do are the hardest
    at = 0.0
    while at < SECONDS:
        at += rng.expovariate(3.0)
        world.at(at, lambda: disturb(world, rng))
    return world.run(SECONDS)


# --- each guard taken out ---


class FromReceipt(FleetLimits):
    """A grant is valid from its receipt."""

    class client_kind(QuotaClient):  # noqa: N801
        def valid_from(self, limit: LocalLimit, grant: QuotaGrant, now: float) -> float | None:
            return None if super().valid_from(limit, grant, now) is None else now


class AnyAnswer(FleetLimits):
    """A grant counts as the answer to the last request, whichever it answers."""

    class client_kind(QuotaClient):  # noqa: N801
        def valid_from(self, limit: LocalLimit, grant: QuotaGrant, now: float) -> float | None:
            return limit.last_request_at if limit.sent_requests else None


class FastFill(FleetLimits):
    """Buckets fill by a clock that may be fast."""

    def min_clock_rate(self) -> float:
        return 1.0


class LowerAtOnce(FleetLimits):
    """A lower share counts as soon as it is granted."""

    class granter_kind(Granter):  # noqa: N801
        def issue(
            self, ledger: Ledger, limit: FleetLimit, sender: Peer, incarnation: int, now: float
        ) -> Quota:
            quota = super().issue(ledger, limit, sender, incarnation, now)
            outstanding = ledger.outstanding[sender, incarnation]
            outstanding.grants = outstanding.grants[-1:]
            return quota


class ForgottenProcess(FleetLimits):
    """The grants of a router's former process are forgotten when the next one requests."""

    class granter_kind(Granter):  # noqa: N801
        def granted_to_others(self, ledger: Ledger, sender: Peer, incarnation: int, now: float) -> Quota:
            ledger.outstanding = {
                process: outstanding
                for process, outstanding in ledger.outstanding.items()
                if process[0] != sender or process[1] == incarnation
            }
            return super().granted_to_others(ledger, sender, incarnation, now)


class NoWait(FleetLimits):
    """A new holder grants at once."""

    class granter_kind(Granter):  # noqa: N801
        def wait_after_acquisition(self, limit: FleetLimit) -> float:
            return 0.0


class NotLate(FleetLimits):
    """The holder counts a grant's validity by its own clock, without the drift."""

    class granter_kind(Granter):  # noqa: N801
        def outstanding_for(self, grant_s: float) -> float:
            return grant_s


class Remembered(FleetLimits):
    """A router that has held the lease once goes on granting under its term."""

    class granter_kind(Granter):  # noqa: N801
        def granting_term(self, lease: NameDigest, now: float) -> int | None:
            held = super().granting_term(lease, now)
            return held if held is not None else self.terms.get(lease, (None, 0.0))[0]


class FullStart(FleetLimits):
    """The buckets of a new process are full."""

    class rate_bucket_kind(RateBucket):  # noqa: N801
        def initial_tokens(self, now: float) -> float:
            return self.division.floor.burst_milli


class FullRaise(FleetLimits):
    """A raised quota brings its burst, and an expired one leaves its tokens."""

    class rate_bucket_kind(RateBucket):  # noqa: N801
        def change_grant(self, grant: ActiveGrant) -> None:
            self.tokens += max(0, grant.quota.burst_milli - self.grant.quota.burst_milli)
            super().change_grant(grant)


class NoClip(FleetLimits):
    """An expired quota leaves its tokens."""

    class rate_bucket_kind(RateBucket):  # noqa: N801
        def fill(self, now: float) -> None:
            if now > self.filled_at:
                gained = self.rate_milli * (now - self.filled_at) * self.timing.min_clock_rate
                self.tokens = max(self.tokens, min(self.capacity_milli, self.tokens + gained))
                self.filled_at = now

        def change_grant(self, grant: ActiveGrant) -> None:
            self.grant = grant


class LateLook(FleetLimits):
    """The end of a grant is found when its router requests again, not at use."""

    class rate_bucket_kind(RateBucket):  # noqa: N801
        def advance(self, now: float, isolated: bool) -> None:
            if self.grant.valid_until <= now < self.grant.valid_until + 10:
                self.fill(now)
            else:
                super().advance(now, isolated)


class Unending(FleetLimits):
    """Requests that end after the grant may start on it."""

    class slot_bucket_kind(SlotBucket):  # noqa: N801
        def free_slot(self, now: float, duration_s: float) -> SlotKind | None:
            if self.grant.quota is NO_QUOTA:
                return super().free_slot(now, duration_s)
            return super().free_slot(now, min(duration_s, self.grant.valid_until - now))


class OpenFloors(FleetLimits):
    """Floor slots of a new process are open at once."""

    class slot_bucket_kind(SlotBucket):  # noqa: N801
        def is_floor_open(self, now: float) -> bool:
            return True


class KeptWhole(FleetLimits):
    """A router that is isolated in the open mode retains all it had."""

    class rate_bucket_kind(RateBucket):  # noqa: N801
        def __init__(self, division: LimitDivision, timing: BucketTiming, now: float) -> None:
            isolated = division.limit if division.isolated != NO_QUOTA else NO_QUOTA
            super().__init__(replace(division, isolated=isolated), timing, now)


GUARDS: tuple[type[FleetLimits], ...] = (
    FromReceipt, AnyAnswer, FastFill, LowerAtOnce, ForgottenProcess, NoWait, NotLate, Remembered,
    FullStart, FullRaise, NoClip, LateLook, Unending, OpenFloors, KeptWhole,
)  # fmt: skip


def found(kind: type[FleetLimits], steps: int, first: int = 0) -> tuple[int, int, list[str]]:
    """Worlds until one passes a limit, or for so many steps: worlds, steps, and what was passed."""
    done = worlds = 0
    while done < steps:
        world = search(first + worlds, kind)
        worlds += 1
        done += world.steps
        over = [f"{name} {audit.most:.3f}" for name, audit in world.audits.items() if audit.over]
        if over:
            return worlds, done, over
    return worlds, done, []


def main(words: list[str]) -> int:
    began = time.monotonic()
    if words[:1] == ["guards"]:
        steps = int(words[1]) if len(words) > 1 else 300_000
        for kind in GUARDS:
            worlds, done, over = found(kind, steps)
            seen = f"passed: {over[0]}" if over else "NOT SEEN"
            print(f"{kind.__name__:18} {seen:24} {worlds} worlds {done} steps", flush=True)
        return 0
    steps, first = (int(word) for word in (words + ["1000000", "0"][len(words) :])[:2])
    done = worlds = passed = 0
    most: dict[tuple[str, str], float] = {}
    while done < steps:
        world = search(first + worlds)
        worlds, done = worlds + 1, done + world.steps
        for audit in world.audits.values():
            passed += audit.over
            key = audit.rule.name, f"{audit.rule.mode.value} {audit.times:g}"
            most[key] = max(most.get(key, 0.0), audit.most)
    print(f"{worlds} worlds, {done} steps, over {passed}, {time.monotonic() - began:.0f} s")
    for (name, mode), value in sorted(most.items()):
        print(f"  {name:6} {mode:10} largest {value:.4f}")
    return 1 if passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
