"""`lab run tables`: the time and traffic until routers agree on a table, on a simulated lossy network."""

from collections.abc import Callable
from statistics import median

from paddlequay.lab.claims import Results, Setup
from paddlequay.lab.table_world import TableWorld, digest_of

SEEDS_BY_SIZE = {3: 40, 40: 20, 200: 6}  # by the number of routers
LINK_DELAY_S = 0.01
LOSS_RATIO = 0.2
MAX_WAIT_S = 60.0
QUIET_S = 20.0  # time over which the bytes sent without any change are counted
CHECK_S = 0.01


class MeasuredFleet:
    """A simulated fleet whose time and traffic until agreement are measured."""

    def __init__(self, size: int, seed: int) -> None:
        self.world = TableWorld(size, seed, delay_s=(LINK_DELAY_S, LINK_DELAY_S))
        self.world.loss_ratio = LOSS_RATIO
        self.size = size

    def seconds_until(self, is_done: Callable[[], bool]) -> float:
        """Returns the seconds until `is_done` returns true, or `MAX_WAIT_S` if it has not by then."""
        elapsed_s = self.world.run(MAX_WAIT_S, is_done, check_s=CHECK_S)
        return MAX_WAIT_S if elapsed_s is None else elapsed_s

    def sent_bytes(self) -> list[int]:
        """Returns the bytes that each router has sent."""
        return [process.outbox.counts["sent.bytes"] for process in self.world.processes]

    def change(self, endpoints: int, within_s: float) -> float:
        """Returns the seconds until all routers agree on a new list, which reaches each within `within_s`."""
        self.world.change(range(self.size), 1, endpoints, within_s)
        return self.seconds_until(lambda: self.world.agree(digest=digest_of(1, endpoints)))

    def measure(self) -> dict[str, float]:
        """Returns the figures of one fleet, by name."""
        start_s = self.seconds_until(self.world.agree)
        self.world.run(3.0)
        before = self.sent_bytes()
        self.world.run(QUIET_S)
        quiet = self.sent_bytes()
        at_once_s = self.change(2, 0.0)
        sent = [later - earlier for earlier, later in zip(quiet, self.sent_bytes(), strict=True)]
        self.world.run(5.0)
        return {
            "seconds from the start": start_s,
            "seconds, list at once": at_once_s,
            "seconds, list within 2 s": self.change(3, 2.0),
            "bytes of all for a change": sum(sent),
            "bytes of the holder for a change": max(sent),
            "bytes a second of a router, quiet": (sum(quiet) - sum(before)) / QUIET_S / self.size,
        }


def run(setup: Setup) -> Results:
    """Runs the experiment; all figures are of simulated time, so the load of the machine has no effect."""
    results = Results("tables", x="routers", y="seconds until all are alike")
    for size, seeds in SEEDS_BY_SIZE.items():
        if setup.quick and size > 40:
            continue
        found: dict[str, list[float]] = {}
        for seed in range(max(1, seeds // 4) if setup.quick else seeds):
            figures = MeasuredFleet(size, setup.seed + seed).measure()
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
