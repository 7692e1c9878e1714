"""`lab run homes`: what a decision costs with many members, how evenly homes spread, and what a change
moves."""

import json
import random
import subprocess
import sys
from bisect import bisect
from pathlib import Path
from time import process_time
from typing import Any

import numpy as np

from paddlequay.lab.claims import Results, Setup
from paddlequay.placement.homes import Homes, arrival, digest, slot_of

SIZES = ((4, 3), (60, 20), (1000, 200))
# Run in the version that is measured, this one or an earlier one: arguments go by place, as names differ.
COST = """
import json, random, sys, time
try:
    from paddlequay.routing.interface import *
    from paddlequay.routing.interface import Idempotency, MemberState, ReplyDetail, RoutingSettings
except ModuleNotFoundError:
    from paddlequay.interface import *
    from paddlequay.interface import Effect as Idempotency, Note as ReplyDetail, Settings as RoutingSettings
    from paddlequay.interface import State as MemberState
from paddlequay.policy import Router

edges, parents, count, seed = map(int, sys.argv[1:])
classes = (RequestClass("v", 0.6, 3.0, Idempotency("safe")),)
router = Router(RoutingSettings("z", classes, 4, 4, "p", "o", "location", True, True, True, None, None, None,
                                None, True, 6), 1)
members = [Member(f"e{i}", "z", "b", 0, MemberState.READY) for i in range(edges)]
members += [Member(f"p{i}", "h", "p", 0, MemberState.READY) for i in range(parents)]
router.handle(MembersChanged((*members, Member("o", "h", "o", 0, MemberState.READY)), True), 1.0)
rng = random.Random(seed)
keys = [int(rng.paretovariate(0.8)) % 100000 * 0x9E3779B97F4A7C15 % (1 << 64) for _ in range(count)]
now, halves = 1.0, []
for half in range(2):
    began = time.process_time()
    for i in range(half * count // 2, (half + 1) * count // 2):
        now += 0.005
        (fetch, *_) = router.handle(Request(f"q{i}", "v", 3.0, key=keys[i], part=i % 7), now)
        router.handle(AttemptEnded(f"q{i}", 0, fetch.target, Outcome.SERVED, 0.1, True, ReplyDetail.HIT), now)
    halves.append((time.process_time() - began) / (count // 2) * 1e6)
print(json.dumps(halves))
"""


def cost(root: Path, edges: int, parents: int, count: int, seed: int) -> tuple[float, float]:
    """Microseconds of processor time a request, in the first half of the requests and in the second."""
    words = [sys.executable, "-c", COST, *map(str, (edges, parents, count, seed))]
    done = subprocess.run(words, cwd=root, capture_output=True, text=True, check=True)
    first, second = json.loads(done.stdout)
    return first, second


class Ring:
    """Consistent hashing (Karger et al., 1997) with points on a ring, to compare with."""

    def __init__(self, names: list[str], points: int = 128) -> None:
        self.ring = sorted((digest(f"{name} {n}"), name) for name in names for n in range(points))
        self.at = [at for at, _ in self.ring]

    def home(self, key: int) -> str:
        mixed = digest(str(key))
        return self.ring[bisect(self.at, mixed) % len(self.ring)][1]


def tree_home(names: list[str], key: int, fan: int = 8) -> str:
    """Rendezvous down a tree of groups, to compare with: cheap, but a change moves more than it must."""
    slot = slot_of(key)
    while len(names) > 1:
        size = -(-len(names) // fan)
        groups = [names[at : at + size] for at in range(0, len(names), size)]
        names = min(groups, key=lambda group: arrival(digest(f"{group[0]}/{size}"), slot, len(group)))
        if size == 1:
            break
    return names[0]


def slots_homes(names: list[str]) -> Homes[str]:
    homes: Homes[str] = Homes()
    homes.reset((name, name, 1.0) for name in names)
    return homes


def moved(count: int, keys: list[int]) -> dict[str, float]:
    """Share of the keys that move when one member joins, over the optimum, for each way."""
    names = [f"n{n}" for n in range(count)]
    more = [*names, "new"]
    found = {}
    homes = slots_homes(names)
    before = [homes.first_home(key) for key in keys]
    homes.put("new", "new")
    after = [homes.first_home(key) for key in keys]
    # What the newcomer takes must move: all else that moves does so in vain.
    ways: list[tuple[str, list[Any], list[Any]]] = [
        ("slots", before, after),
        ("ring", list(map(Ring(names).home, keys)), list(map(Ring(more).home, keys))),
        ("tree", [tree_home(names, key) for key in keys], [tree_home(more, key) for key in keys]),
        ("modulo", [names[key % count] for key in keys], [more[key % (count + 1)] for key in keys]),
    ]
    for name, old, new in ways:
        taken = sum(home == "new" for home in new)
        found[name] = sum(a != b for a, b in zip(old, new, strict=True)) / max(1, taken)
    return found


def spread(count: int, keys: list[int]) -> dict[str, float]:
    """The fullest member's share over the mean."""
    names = [f"n{n}" for n in range(count)]
    homes, ring = slots_homes(names), Ring(names)
    found = {}
    for name, home in (("slots", homes.first_home), ("ring", ring.home)):
        counts = np.unique([home(key) for key in keys], return_counts=True)[1]
        found[name] = float(counts.max() / (len(keys) / count))
    return found


def run(setup: Setup, base: Path | None) -> Results:
    """The experiment; `base` is the root of an earlier version to compare with."""
    results = Results("homes", x="members", y="microseconds a request", logarithmic=True)
    rounds, count = (3, 4000) if setup.quick else (7, 20_000)
    here = Path(__file__).parent.parent.parent
    programs = {"now": here} | ({"before": base} if base is not None else {})
    medians: dict[tuple[str, int], float] = {}
    for edges, parents in SIZES:
        costs: dict[str, list[tuple[float, float]]] = {name: [] for name in programs}
        for turn in range(rounds):
            for name, root in programs.items():  # one after the other, so that both see the same machine
                asked = min(count, 600) if name == "before" and edges >= 1000 else count
                costs[name].append(cost(root, edges, parents, asked, setup.seed + turn))
        setup.say(f"{edges} caches and {parents} parents: done")
        for name, found in costs.items():
            cold = float(np.median([first for first, _ in found]))
            warm = float(np.median([second for _, second in found]))
            medians[name, edges] = (cold + warm) / 2
            spans = [min(map(sum, found)) / 2, max(map(sum, found)) / 2]
            results.rows.append(
                {
                    "program": name,
                    "caches": edges,
                    "parents": parents,
                    "us_first_half": round(cold, 1),
                    "us_second_half": round(warm, 1),
                    "us_least": round(spans[0], 1),
                    "us_most": round(spans[1], 1),
                }
            )
            results.lines.setdefault(name, []).append((edges + parents, medians[name, edges]))
            results.figures[f"us a request, {name}, {edges}+{parents}"] = (
                f"{medians[name, edges]:.1f} (first half {cold:.1f}, second {warm:.1f})"
            )
    if base is not None:
        ratio = medians["now", 4] / medians["before", 4]
        results.claim("cost at 4+3 over that of before", ratio, "<=", 1.0)
        ratio = medians["now", 1000] / medians["before", 4]
        results.claim("cost at 1,000+200 over 4+3 of before", ratio, "<=", 3.0)
    results.claim("cost at 1,000+200 over 4+3", medians["now", 1000] / medians["now", 4], "<=", 3.0)
    rng = random.Random(setup.seed)
    keys = [rng.getrandbits(64) for _ in range(4000 if setup.quick else 40_000)]
    for size in (4, 60, 200):
        shares = moved(size, keys)
        for name, share in shares.items():
            results.rows.append({"program": name, "caches": size, "moved_over_optimum": round(share, 4)})
        results.figures[f"moved over the optimum, {size} members"] = ", ".join(
            f"{name} {share:.3f}" for name, share in shares.items()
        )
        results.claim(f"moved over the optimum, {size} members", shares["slots"], "<=", 1.05)
        fullest = spread(size, keys)
        results.figures[f"fullest over the mean, {size} members"] = ", ".join(
            f"{name} {share:.3f}" for name, share in fullest.items()
        )
    began = process_time()
    homes = slots_homes([f"n{n}" for n in range(1000)])
    homes.put("new", "new")
    results.figures["ms to take in 1,000 members and one more"] = f"{(process_time() - began) * 1000:.1f}"
    return results
