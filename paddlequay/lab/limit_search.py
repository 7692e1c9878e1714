"""A search for a limit that is passed: random fleets, loads and faults by seed, and each guard taken out.

python -m paddlequay.lab.limit_search [STEPS] [FIRST_SEED]
python -m paddlequay.lab.limit_search guards [STEPS]
"""

import random
import sys
import time
from functools import partial

from paddlequay.cluster.buckets import Bucket, Places, Times
from paddlequay.cluster.granter import Book, Granter, Kept
from paddlequay.cluster.limits import Limits, Line
from paddlequay.cluster.messages import QuotaGrant
from paddlequay.cluster.quotas import NOTHING, Share, Whole
from paddlequay.cluster.settings import By, LimitRule, Mode
from paddlequay.cluster.types import NameDigest, Peer
from paddlequay.lab.limit_world import Proc, World

SECONDS = 12.0  # of each world


def rules_of(rng: random.Random) -> tuple[LimitRule, ...]:
    """Two levels and a limit on places, now and then in the open mode."""
    mode = rng.choice((Mode.STRICT, Mode.STRICT, Mode.OPEN))
    over = rng.choice((1.2, 1.5, 2.0))
    floor = rng.choice((0.0, 0.2, 0.5, 1.0))
    rate = rng.choice((20.0, 60.0, 150.0))
    rules = (
        LimitRule(
            "whole", By.CLASS, "c", rate, rng.choice((3.0, 8.0, 30.0)), mode=mode, floor=floor, over=over
        ),
        LimitRule("each", By.TENANT, "*", rate * rng.choice((0.7, 2)), 20.0, floor=rng.choice((0.0, 0.3))),
        LimitRule(
            "out",
            By.SOURCE,
            "s",
            at_once=rng.choice((3, 12, 24)),
            mode=mode,
            floor=floor,
            over=over,
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
        total = 2 * (world.rules[0].rate or 40.0)
        for each in world.procs:
            each.demand = rng.choice((0.0, total / len(world.procs), total))
            each.lasts = rng.choice((0.05, 0.3, 0.5, 1.0))
    if rng.random() < 0.5:
        world.surge(rng.choice((4, 30)))
        world.at(world.now + rng.random() * 0.7, lambda: world.surge(30))


def heal(world: World) -> None:
    for each in world.procs:
        each.side, each.far = 0, 0.0


def search(seed: int, kind: type[Limits] = Limits) -> World:
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


class FromReceipt(Limits):
    """A grant lives from when it came."""

    def since(self, line: Line, note: QuotaGrant, now: float) -> float | None:
        return None if super().since(line, note, now) is None else now


class AnyAnswer(Limits):
    """A grant is taken for the last Need, whichever it answers."""

    def since(self, line: Line, note: QuotaGrant, now: float) -> float | None:
        return line.asked_at if line.sent else None


class FastFill(Limits):
    """Buckets fill by a clock that may be fast."""

    def pace(self) -> float:
        return 1.0


class LowerAtOnce(Limits):
    """A lower share counts as soon as it is told."""

    class granters(Granter):  # noqa: N801
        def granted(self, book: Book, kept: Kept, sender: Peer, incarnation: int, now: float) -> Share:
            share = super().granted(book, kept, sender, incarnation, now)
            out = book.out[sender, incarnation]
            out.grants = out.grants[-1:]
            return share


class ForgottenProcess(Limits):
    """What a router's former process had is forgotten when the next one asks."""

    class granters(Granter):  # noqa: N801
        def others(self, book: Book, sender: Peer, incarnation: int, now: float) -> Share:
            book.out = {
                key: out for key, out in book.out.items() if key[0] != sender or key[1] == incarnation
            }
            return super().others(book, sender, incarnation, now)


class NoWait(Limits):
    """A new holder grants at once."""

    class granters(Granter):  # noqa: N801
        def waits(self, kept: Kept) -> float:
            return 0.0


class NotLate(Limits):
    """The holder counts a life by its own clock, without the drift."""

    class granters(Granter):  # noqa: N801
        def late(self, life: float) -> float:
            return life


class Remembered(Limits):
    """Who has held the lease once goes on granting under its term."""

    class granters(Granter):  # noqa: N801
        def holding(self, lease: NameDigest, now: float) -> int | None:
            held = super().holding(lease, now)
            return held if held is not None else self.terms.get(lease, (None, 0.0))[0]


class FullStart(Limits):
    """The buckets of a new process are full."""

    class bucket(Bucket):  # noqa: N801
        def born(self, now: float) -> float:
            return self.whole.floor.burst


class FullRaise(Limits):
    """A raised share brings its burst, and a lapsed one leaves its tokens."""

    class bucket(Bucket):  # noqa: N801
        def change(self, extra: Share, until: float) -> None:
            self.tokens += max(0, extra.burst - self.extra.burst)
            super().change(extra, until)


class NoClip(Limits):
    """A lapsed share leaves its tokens."""

    class bucket(Bucket):  # noqa: N801
        def fill(self, now: float) -> None:
            if now > self.at:
                more = self.rate * (now - self.at) * self.times.pace
                self.tokens, self.at = max(self.tokens, min(self.cap, self.tokens + more)), now

        def change(self, extra: Share, until: float) -> None:
            self.extra, self.until = extra, until


class LateLook(Limits):
    """That a grant is over is found when its router asks again, not at use."""

    class bucket(Bucket):  # noqa: N801
        def advance(self, now: float, cut_off: bool) -> None:
            if self.until <= now < self.until + 10:
                self.fill(now)
            else:
                super().advance(now, cut_off)


class Unending(Limits):
    """Requests that end after the grant may start on it."""

    class places(Places):  # noqa: N801
        def kind(self, now: float, lasts: float) -> int | None:
            return super().kind(now, min(lasts, self.until - now) if self.extra is not NOTHING else lasts)


class OpenFloors(Limits):
    """Floor places of a new process are open at once."""

    class places(Places):  # noqa: N801
        def opened(self, now: float) -> bool:
            return True


class KeptWhole(Limits):
    """A router that is cut off in the open mode keeps all it had."""

    class bucket(Bucket):  # noqa: N801
        def __init__(self, whole: Whole, times: Times, now: float) -> None:
            kept = whole.limit if whole.kept != NOTHING else NOTHING
            super().__init__(Whole(whole.limit, whole.floor, whole.pool, kept, whole.unit), times, now)


GUARDS: tuple[type[Limits], ...] = (
    FromReceipt, AnyAnswer, FastFill, LowerAtOnce, ForgottenProcess, NoWait, NotLate, Remembered,
    FullStart, FullRaise, NoClip, LateLook, Unending, OpenFloors, KeptWhole,
)  # fmt: skip


def found(kind: type[Limits], steps: int, first: int = 0) -> tuple[int, int, list[str]]:
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
