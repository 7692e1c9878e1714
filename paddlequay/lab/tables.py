"""`lab run tables`: how soon routers agree on a table, in what bytes, on a simulated clock with losses."""

from collections.abc import Callable
from statistics import median

from paddlequay.lab.claims import Results, Setup
from paddlequay.lab.table_world import World, digest_of

SIZES = {3: 40, 40: 20, 200: 6}  # routers, and how many seeds
LINK, LOSS = 0.01, 0.2
LONGEST = 60.0
QUIET = 20.0  # seconds over which what is sent without any change is counted


class Fleet:
    """One fleet; what each step took is kept by name."""

    def __init__(self, size: int, seed: int) -> None:
        self.world = World(size, seed, delay=(LINK, LINK))
        self.world.loss = LOSS
        self.size = size

    def until(self, done: Callable[[], bool]) -> float:
        took = self.world.run(LONGEST, done, step=0.01)
        return LONGEST if took is None else took

    def sent(self) -> list[int]:
        return [process.outbox.counts["sent.bytes"] for process in self.world.processes]

    def change(self, listed: int, within: float) -> float:
        """Seconds from another list, that comes to each within so many, until all use its table."""
        self.world.change(range(self.size), 1, listed, within)
        return self.until(lambda: self.world.alike(digest=digest_of(1, listed)))

    def measured(self) -> dict[str, float]:
        started = self.until(self.world.alike)
        self.world.run(3.0)
        before = self.sent()
        self.world.run(QUIET)
        quiet = self.sent()
        at_once = self.change(2, 0.0)
        sent = [b - a for a, b in zip(quiet, self.sent(), strict=True)]
        self.world.run(5.0)
        return {
            "seconds from the start": started,
            "seconds, list at once": at_once,
            "seconds, list within 2 s": self.change(3, 2.0),
            "bytes of all for a change": sum(sent),
            "bytes of the holder for a change": max(sent),
            "bytes a second of a router, quiet": (sum(quiet) - sum(before)) / QUIET / self.size,
        }


def run(setup: Setup) -> Results:
    """The experiment: every figure is of simulated time, so that a loaded machine changes none."""
    results = Results("tables", x="routers", y="seconds until all are alike")
    for size, seeds in SIZES.items():
        if setup.quick and size > 40:
            continue
        found: dict[str, list[float]] = {}
        for seed in range(max(1, seeds // 4) if setup.quick else seeds):
            figures = Fleet(size, setup.seed + seed).measured()
            results.rows.append({"routers": size, "seed": setup.seed + seed} | figures)
            for name, figure in figures.items():
                found.setdefault(name, []).append(figure)
        for name, each in found.items():
            results.figures[f"{size} routers: {name}"] = f"{median(each):.2f} (most {max(each):.2f})"
            if name.startswith("seconds"):
                results.lines.setdefault(name, []).append((size, median(each)))
        changes = [*found["seconds, list at once"], *found["seconds, list within 2 s"]]
        results.claim(f"{size} routers: seconds for a change, most", max(changes), "<=", 15.0)
        results.claim(f"{size} routers: seconds for a change, median", median(changes), "<=", 5.0)
    return results
