"""`lab run homes`: the cost of a decision with many members, the balance of homes and what a change moves."""

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

SIZES = ((4, 3), (60, 20), (1000, 200))  # caches and parents
# Runs in the version that is measured, this one or an earlier one: arguments are positional, as names differ.
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
    """Returns the processor time of a request in µs, in the first half of the requests and in the second."""
    command = [sys.executable, "-c", COST, *map(str, (edges, parents, count, seed))]
    done = subprocess.run(command, cwd=root, capture_output=True, text=True, check=True)
    first, second = json.loads(done.stdout)
    return first, second


class Ring:
    """Consistent hashing (Karger et al., 1997) with points on a ring, for comparison."""

    def __init__(self, names: list[str], points: int = 128) -> None:
        self.points = sorted((digest(f"{name} {n}"), name) for name in names for n in range(points))
        self.positions = [position for position, _ in self.points]

    def home(self, key: int) -> str:
        """Returns the member whose point follows a key."""
        mixed = digest(str(key))
        return self.points[bisect(self.positions, mixed) % len(self.points)][1]


def tree_home(names: list[str], key: int, fan: int = 8) -> str:
    """Returns the home by rendezvous down a tree of groups: cheap, but a change moves more than it must."""
    slot = slot_of(key)
    while len(names) > 1:
        size = -(-len(names) // fan)
        groups = [names[at : at + size] for at in range(0, len(names), size)]
        names = min(groups, key=lambda group: arrival(digest(f"{group[0]}/{size}"), slot, len(group)))
        if size == 1:
            break
    return names[0]


def slot_homes(names: list[str]) -> Homes[str]:
    """Returns the project's homes over members of equal weight."""
    homes: Homes[str] = Homes()
    homes.reset((name, name, 1.0) for name in names)
    return homes


def moved(count: int, keys: list[int]) -> dict[str, float]:
    """Returns by way the share of keys that move when a member joins, over the optimum."""
    names = [f"n{n}" for n in range(count)]
    more = [*names, "new"]
    found = {}
    homes = slot_homes(names)
    before = [homes.first_home(key) for key in keys]
    homes.put("new", "new")
    after = [homes.first_home(key) for key in keys]
    # The keys of the new member must move, no others.
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
    """Returns by way the share of the fullest member over the mean."""
    names = [f"n{n}" for n in range(count)]
    homes, ring = slot_homes(names), Ring(names)
    found = {}
    for name, home in (("slots", homes.first_home), ("ring", ring.home)):
        counts = np.unique([home(key) for key in keys], return_counts=True)[1]
        found[name] = float(counts.max() / (len(keys) / count))
    return found


def run(setup: Setup, base: Path | None) -> Results:
    """Runs the experiment; `base` is the root of an earlier version for comparison."""
    results = Results("homes", x="members", y="microseconds a request", logarithmic=True)
    medians = measure_costs(setup, base, results)
    if base is not None:
        ratio = medians["now", 4] / medians["before", 4]
        results.claim("cost at 4+3 over that of before", ratio, "<=", 1.0)
        ratio = medians["now", 1000] / medians["before", 4]
        results.claim("cost at 1,000+200 over 4+3 of before", ratio, "<=", 3.0)
    results.claim("cost at 1,000+200 over 4+3", medians["now", 1000] / medians["now", 4], "<=", 3.0)
    measure_changes(setup, results)
    started_at = process_time()
    homes = slot_homes([f"n{n}" for n in range(1000)])
    homes.put("new", "new")
    elapsed_ms = (process_time() - started_at) * 1000
    results.figures["ms to take in 1,000 members and one more"] = f"{elapsed_ms:.1f}"
    return results


def measure_costs(setup: Setup, base: Path | None, results: Results) -> dict[tuple[str, int], float]:
    """Measures the cost of a request for all sizes; returns its median in µs by program and caches."""
    rounds, count = (3, 4000) if setup.quick else (7, 20_000)
    programs = {"now": Path(__file__).parent.parent.parent}
    if base is not None:
        programs["before"] = base
    medians: dict[tuple[str, int], float] = {}
    for edges, parents in SIZES:
        costs: dict[str, list[tuple[float, float]]] = {name: [] for name in programs}
        for round_number in range(rounds):
            for name, root in programs.items():  # one after the other, so that both run on the same load
                requests = min(count, 600) if name == "before" and edges >= 1000 else count
                costs[name].append(cost(root, edges, parents, requests, setup.seed + round_number))
        setup.say(f"{edges} caches and {parents} parents: done")
        for name, halves in costs.items():
            medians[name, edges] = record_cost(results, name, edges, parents, halves)
    return medians


def record_cost(
    results: Results, name: str, edges: int, parents: int, halves: list[tuple[float, float]]
) -> float:
    """Records the costs of a program at one size; returns their median in µs."""
    cold = float(np.median([first for first, _ in halves]))
    warm = float(np.median([second for _, second in halves]))
    median = (cold + warm) / 2
    means = [sum(each) / 2 for each in halves]
    results.rows.append(
        {
            "program": name,
            "caches": edges,
            "parents": parents,
            "us_first_half": round(cold, 1),
            "us_second_half": round(warm, 1),
            "us_least": round(min(means), 1),
            "us_most": round(max(means), 1),
        }
    )
    results.lines.setdefault(name, []).append((edges + parents, median))
    results.figures[f"us a request, {name}, {edges}+{parents}"] = (
        f"{median:.1f} (first half {cold:.1f}, second {warm:.1f})"
    )
    return median


def measure_changes(setup: Setup, results: Results) -> None:
    """Measures what a new member moves, and how evenly keys are spread."""
    rng = random.Random(setup.seed)
    keys = [rng.getrandbits(64) for _ in range(4000 if setup.quick else 40_000)]
    for size in (4, 60, 200):
        shares = moved(size, keys)
        for name, share in shares.items():
            results.rows.append({"program": name, "caches": size, "moved_over_optimum": round(share, 4)})
        results.figures[f"moved over the optimum, {size} members"] = describe(shares)
        results.claim(f"moved over the optimum, {size} members", shares["slots"], "<=", 1.05)
        results.figures[f"fullest over the mean, {size} members"] = describe(spread(size, keys))


def describe(shares: dict[str, float]) -> str:
    """Returns shares by way in words."""
    return ", ".join(f"{name} {share:.3f}" for name, share in shares.items())
