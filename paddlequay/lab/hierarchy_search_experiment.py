"""`lab run model`: searches interleavings of the hierarchy with all guards, and with each guard disabled."""

import time

from paddlequay.lab.claims import Results, Setup
from paddlequay.lab.hierarchy_search import SearchResult, random_run, small_runs
from paddlequay.lab.hierarchy_simulation import Guard


def count_violations(found: list[SearchResult]) -> dict[str, int]:
    """Returns the number of violations by kind, and of all fills."""
    return {
        "rings": sum("never answered" in violation for each in found for violation in each.violations),
        "stale": sum("before a purge" in violation for each in found for violation in each.violations),
        "second": sum("second fill" in violation for each in found for violation in each.violations),
        "fills": sum(each.fills for each in found),
    }


def run(setup: Setup) -> Results:
    """Checks all orders of delivery in small worlds, and random worlds with and without each guard."""
    results = Results(
        "model", x="random worlds", y="worlds with a second fill while a living node held the object"
    )
    runs = 3000 if setup.quick else 60_000
    small = list(small_runs())
    counts = count_violations(small)
    results.figures["orders of delivery in small worlds, all"] = len(small)
    results.claim(
        "small worlds with a ring, a second fill or staleness",
        counts["rings"] + counts["second"] + counts["stale"],
        "==",
        0,
    )
    for deaths, drops in ((0, False), (2, False), (2, True)):
        found: list[SearchResult] = []
        began = time.monotonic()
        what = f"{deaths} deaths{', nodes dropped' if drops else ''}"
        for seed in range(runs):
            found.append(random_run(setup.seed * 1_000_000 + seed, max_deaths=deaths, may_remove=drops))
            if (seed + 1) % (runs // 10) == 0:
                results.lines.setdefault(what, []).append((seed + 1, count_violations(found)["second"]))
                setup.say(f"{what}: {seed + 1} of {runs} worlds")
        counts = count_violations(found)
        took = time.monotonic() - began
        results.rows.append(
            {"worlds": runs, "deaths": deaths, "drops": drops, "seconds": round(took, 1)} | counts
        )
        results.figures[f"{what}: second fills with a living holder"] = (
            f"{counts['second']} of {counts['fills']}"
        )
        results.claim(f"{what}: rings and stale answers", counts["rings"] + counts["stale"], "==", 0)
        if not deaths:
            results.claim(
                "no deaths: second fills over all fills", counts["second"] / counts["fills"], "<=", 0.0005
            )
    for guard in Guard:
        counts = count_violations([random_run(seed, disabled_guards=(guard,)) for seed in range(500)])
        results.rows.append({"worlds": 500, "guard_out": guard.value} | counts)
        violation_count = counts["rings"] + counts["stale"] + counts["second"]
        results.claim(f"faults found without the guard: {guard.value}", violation_count, ">=", 1)
    return results
