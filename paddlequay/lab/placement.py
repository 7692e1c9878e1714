"""`lab run placement`: measures compiling placement rules, membership changes and table look-ups."""

import gc
import random
import tracemalloc
from collections.abc import Callable
from time import perf_counter, process_time_ns

import numpy as np

from paddlequay.lab.claims import Results, Setup
from paddlequay.placement.checks import read_rules
from paddlequay.placement.compiler import compile_rules
from paddlequay.placement.homes import Homes, placement_key
from paddlequay.placement.table import Table
from paddlequay.routing.interface import Member

MEMBERS_COUNT = 200
SPREAD_RULES = b"otherwise: 4096 shards by object and part; 3 copies over 2 zones."
DEFAULT_RULES = b"otherwise: 65536 shards by object and part; 1 copy."
KEYS_COUNT = 4_000  # few enough that `Homes` caches them all, which is its fastest case


def members(count: int) -> list[Member]:
    """Returns members that are spread over 5 zones and 2 kinds."""
    return [Member(f"e{n}", zone=f"z{n % 5}", kind=f"k{n % 2}", weight=1.0) for n in range(count)]


def elapsed_s(call: Callable[[], object]) -> float:
    """Returns the seconds that a call takes."""
    started_at = perf_counter()
    call()
    return perf_counter() - started_at


def nanoseconds(lookup: Callable[[int, int], object], keys: list[tuple[int, int]]) -> float:
    """Returns the processor time of one call in nanoseconds, without pauses of the garbage collector."""
    gc.collect()
    gc.disable()
    started_at = process_time_ns()
    for key, part in keys:
        lookup(key, part)
    elapsed = process_time_ns() - started_at
    gc.enable()
    return elapsed / len(keys)


def measure_compile(results: Results, name: str, text: bytes, rounds: int) -> Table:
    """Measures a compile for all members, without one of them, and with it added again.

    Returns:
        The table for all members.
    """
    rules = read_rules(name, text)
    listed = members(MEMBERS_COUNT)
    table = compile_rules(rules, listed)
    all_s, removed_s, added_s, moved_ratios = [], [], [], []
    for n in range(rounds):
        out = n * 7 % MEMBERS_COUNT
        fewer = listed[:out] + listed[out + 1 :]
        all_s.append(elapsed_s(lambda: compile_rules(rules, listed).digest))
        removed_s.append(elapsed_s(lambda fewer=fewer: compile_rules(rules, fewer, old=table).digest))  # type: ignore[misc]
        after = compile_rules(rules, fewer, old=table)
        added_s.append(elapsed_s(lambda after=after: compile_rules(rules, listed, old=after).digest))  # type: ignore[misc]
        if after.digest != compile_rules(rules, fewer).digest:
            raise AssertionError(
                f"{name}: the table after a membership change differs from that of a full compile"
            )
        homes = table.shard_maps["otherwise", None].homes
        moved = sum(a != b for a, b in zip(homes, after.shard_maps["otherwise", None].homes, strict=True))
        moved_ratios.append(moved / sum(listed[out].name in each for each in homes))
    for what, times, most in (("all", all_s, 1.0), ("one less", removed_s, 0.1), ("one more", added_s, 0.1)):
        figure = f"{np.median(times) * 1000:.2f} ms ({min(times) * 1000:.2f} to {max(times) * 1000:.2f})"
        results.figures[f"{name}, {MEMBERS_COUNT} members, {what}"] = figure
        results.claim(f"{name}, {what}: seconds", float(np.median(times)), "<=", most)
    results.claim(f"{name}: shards moved over those of the member", max(moved_ratios), "<=", 1.2)
    tracemalloc.start()
    measured = compile_rules(rules, listed)
    results.figures[f"{name}: MB of a table"] = f"{tracemalloc.get_traced_memory()[0] / 1e6:.2f}"
    tracemalloc.stop()
    return measured


def run(setup: Setup) -> Results:
    """Runs the experiment; the look-ups that are compared take turns in each round."""
    results = Results("placement", x="round", y="nanoseconds a look-up", logarithmic=False)
    rounds = 5 if setup.quick else 15
    copied = measure_compile(results, "4,096 shards, 3 copies over 2 zones", SPREAD_RULES, rounds)
    default = measure_compile(results, "65,536 shards", DEFAULT_RULES, rounds)
    homes: Homes[str] = Homes()
    homes.reset((member.name, member.name, 1.0) for member in members(MEMBERS_COUNT))
    rng = random.Random(setup.seed)
    keys = [(rng.getrandbits(64), rng.randrange(64)) for _ in range(KEYS_COUNT)]
    ways: dict[str, Callable[[int, int], object]] = {
        "homes": lambda key, part: next(homes.order(placement_key(key, part))),
        "table": lambda key, part: default.lookup("video", None, 7, key, part),
        "table, 3 copies": lambda key, part: copied.lookup("video", None, 7, key, part),
    }
    times_by_way: dict[str, list[float]] = {name: [] for name in ways}
    for round_number in range(rounds + 1):
        for name, lookup in ways.items():  # in turn, so that all run under the same machine load
            found = nanoseconds(lookup, keys)
            if round_number:  # the first one fills the caches
                times_by_way[name].append(found)
                results.lines.setdefault(name, []).append((round_number, found))
                results.rows.append({"way": name, "turn": round_number, "ns": round(found)})
    for name, times in times_by_way.items():
        results.figures[f"ns a look-up, {name}"] = (
            f"{np.median(times):.0f} ({min(times):.0f} to {max(times):.0f})"
        )
    ratios = [a / b for a, b in zip(times_by_way["table"], times_by_way["homes"], strict=True)]
    spread = f"{np.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
    results.figures["a look-up in a table over the first home"] = spread
    results.claim("a look-up in a table over the first home, median", float(np.median(ratios)), "<=", 1.0)
    return results
