"""`lab run fleet`: 200 routers, 1,000 nodes and a million objects in simulated time, with one change."""

import heapq
import itertools
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

import numpy as np

from paddlequay.hierarchy.fill_requests import NodeLimits
from paddlequay.hierarchy.migration import MigrationLimits
from paddlequay.hierarchy.topology import NodeSpec, Topology, TopologyDelta, TopologyLimits, apply_delta
from paddlequay.lab.claims import Results, Setup
from paddlequay.lab.hierarchy_simulation import ORIGIN, UNBOUNDED, HierarchySimulation
from paddlequay.placement.homes import Homes, object_key

GROUP_COUNT = 20
ROUTER_COUNT = 200
ADDRESS = ("127.0.0.1", 1)
ORIGIN_DELAY_S = 0.03
NODE_DELAY_S = 0.005
EVENT_DELAY_S = (0.036, 0.39)  # until a node or a router learns of a change
WARM_AFTER_S = 20.0
COLD_SHARE = 0.062
CHANGED_SHARE = 0.1  # of the lower nodes, that change their weight
POPULARITY_EXPONENT = -0.9
BATCH_COUNT = 1000  # requests that are drawn at once
SLICE_S = 2
DRAIN_S = 10
KEY_STEP = 0x9E3779B97F4A7C15  # spreads the objects' keys over 64 bits
KEY_LIMIT = 1 << 64


@dataclass(frozen=True, slots=True)
class FleetSize:
    """How large a run is; `upper_count` of the nodes are parents of the others."""

    requests_per_s: float
    seconds: float
    node_count: int
    upper_count: int
    object_count: int


QUICK = FleetSize(4000.0, 8.0, 200, 20, 50_000)
FULL = FleetSize(10_000.0, 40.0, 1000, 100, 1_000_000)


class TimedSimulation(HierarchySimulation):
    """A simulation whose messages are delivered in the order of their times."""

    def __init__(self) -> None:
        super().__init__(
            NodeLimits(max_fill_s=UNBOUNDED),
            MigrationLimits(earlier_home_s=60.0, claim_s=10.0, lookups_per_s=200.0, lookup_burst=50.0),
        )
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.numbers = itertools.count()

    def send(self, description: str, deliver: Callable[[], None], delay: float = 0.0) -> None:
        """Delivers a message after the delay of its way."""
        way_s = ORIGIN_DELAY_S if description.endswith("of the store") else NODE_DELAY_S
        self.call_at(self.now + max(delay, way_s), deliver)

    def call_at(self, when: float, act: Callable[[], object]) -> None:
        """Calls a function at a time."""
        heapq.heappush(self.queue, (when, next(self.numbers), act))

    def run_until(self, end: float) -> None:
        """Delivers everything up to a time."""
        while self.queue and self.queue[0][0] <= end:
            when, _, act = heapq.heappop(self.queue)
            self.now = max(self.now, when)
            act()


class RouterView:
    """What routers that know a topology see: the homes of each lower group, by shares in slow start."""

    def __init__(self, topology: Topology) -> None:
        self.homes = [Homes[NodeSpec]() for _ in range(GROUP_COUNT)]
        for group, homes in enumerate(self.homes):
            homes.reset((node.name, node, node.weight) for node in topology.caches_of_group(f"g{group}"))

    def home(self, group: int, key: int, now: float) -> str:
        """Returns the home of an object in a group at a time."""

        def share(node: NodeSpec) -> float:
            return cold_share(now - node.started_at) if node.started_at else 1.0

        return next(self.homes[group].order(key, share)).name


def cold_share(age_s: float) -> float:
    """Returns the share of its load that a node gets at an age in seconds."""
    return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * age_s / WARM_AFTER_S)


def first_topology(size: FleetSize) -> Topology:
    """Returns a topology of lower groups that have up to 20 nodes of an upper group as parents."""
    nodes_per_group = (size.node_count - size.upper_count) // GROUP_COUNT
    upper = [f"up{n}" for n in range(size.node_count - nodes_per_group * GROUP_COUNT)]
    nodes = [NodeSpec(ORIGIN, ADDRESS, "stores", is_origin=True)]
    nodes += [NodeSpec(name, ADDRESS, "upper", (ORIGIN,)) for name in upper]
    for group in range(GROUP_COUNT):
        parents = (*upper[group % 5 :: 5][:20], ORIGIN)
        nodes += [NodeSpec(f"g{group}n{n}", ADDRESS, f"g{group}", parents) for n in range(nodes_per_group)]
    return apply_delta(Topology(), TopologyDelta(1, None, tuple(nodes)), TopologyLimits())


class FleetRun:
    """One run: a tenth of the lower nodes change their weight half-way, and one node joins each group."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.size = QUICK if setup.quick else FULL
        self.rng = np.random.default_rng(setup.seed)
        self.before = first_topology(self.size)
        self.simulation = TimedSimulation()
        for name in self.before.nodes:
            if name != ORIGIN:
                self.simulation.add(name, self.before)
        self.start = self.simulation.now
        self.change_at = self.start + self.size.seconds / 2
        self.after = self._changed_topology()
        self.change_costs: list[float] = []  # processor seconds of each node
        self.requests: Counter[tuple[str, int]] = Counter()  # by node and slice
        self.request_count = 0
        self._schedule_change()

    def run(self) -> None:
        """Sends all requests and delivers everything."""
        # Each router learns of the change in its own time; until then it asks by the topology before.
        knows_at = self.change_at + self.rng.uniform(*EVENT_DELAY_S, ROUTER_COUNT)
        old_view = RouterView(self.before)
        new_view = RouterView(self.after)
        ranks = np.arange(1, self.size.object_count + 1, dtype=float) ** POPULARITY_EXPONENT
        popularity = np.cumsum(ranks / ranks.sum())
        simulation = self.simulation
        end = self.start + self.size.seconds
        due = self.start
        while due < end:
            gaps = self.rng.exponential(1 / self.size.requests_per_s, BATCH_COUNT)
            objects = np.searchsorted(popularity, self.rng.random(BATCH_COUNT))
            routers = self.rng.integers(0, ROUTER_COUNT, BATCH_COUNT)
            for gap, rank, router in zip(gaps, objects, routers, strict=True):
                due += float(gap)
                simulation.run_until(due)
                simulation.now = max(simulation.now, due)
                view = new_view if simulation.now >= knows_at[router] else old_view
                self._request(view, int(router) % GROUP_COUNT, int(rank), int((due - self.start) // SLICE_S))
            progress = f"{due - self.start:.1f} of {self.size.seconds:g} s simulated"
            self.setup.say(f"{progress}, {self.request_count} asked")
        simulation.run_until(simulation.now + DRAIN_S)

    def mean_load(self, names: list[str], slices: list[int]) -> float:
        """Returns the mean of the requests that some nodes got in some slices."""
        return float(np.mean([self.requests[name, at] for name in names for at in slices]))

    @property
    def warm_names(self) -> list[str]:
        """The lower nodes that have run from the start."""
        return [node.name for node in self.before.nodes.values() if node.group.startswith("g")]

    @property
    def new_names(self) -> list[str]:
        """The nodes that join half-way."""
        return [f"g{group}new" for group in range(GROUP_COUNT)]

    def _changed_topology(self) -> Topology:
        changed = [
            replace(node, weight=float(self.rng.choice([0.5, 2.0])))
            for node in self.before.nodes.values()
            if node.group.startswith("g") and self.rng.random() < CHANGED_SHARE
        ]
        new = [
            replace(self.before.nodes[f"g{group}n0"], name=name, started_at=self.change_at, weight=1.0)
            for group, name in enumerate(self.new_names)
        ]
        return apply_delta(self.before, TopologyDelta(2, 1, (*changed, *new)), TopologyLimits())

    def _schedule_change(self) -> None:
        """Starts the new nodes at the change; the others learn of it in their own time."""
        for name in self.new_names:
            self.simulation.call_at(self.change_at, lambda name=name: self._start(name))  # type: ignore[misc]
        for name in self.before.nodes:
            if name != ORIGIN:
                learns_at = self.change_at + float(self.rng.uniform(*EVENT_DELAY_S))
                self.simulation.call_at(learns_at, lambda name=name: self._learn(name))  # type: ignore[misc]

    def _start(self, name: str) -> None:
        self.simulation.add(name, self.after, started_at=self.change_at)

    def _learn(self, name: str) -> None:
        started_at = time.process_time()
        self.simulation.follow(name, self.after)
        self.change_costs.append(time.process_time() - started_at)

    def _request(self, view: RouterView, group: int, rank: int, time_slice: int) -> None:
        object_name = f"{(rank + 1) * KEY_STEP % KEY_LIMIT:016x}"
        home = view.home(group, object_key(object_name), self.simulation.now)
        self.requests[home, time_slice] += 1
        self.simulation.request(home, object_name)
        self.request_count += 1


def cold_peaks(fleet: FleetRun, slices: list[int], mean: float) -> list[float]:
    """Returns the load of each new node in each slice over its share of the mean of warm nodes."""
    peaks = []
    for name in fleet.new_names:
        for at in slices:
            age_s = (at + 1) * SLICE_S - fleet.size.seconds / 2
            if age_s > 0:
                peaks.append(fleet.requests[name, at] / (cold_share(age_s) * mean))
    return peaks


def add_rows(results: Results, fleet: FleetRun, slices: list[int]) -> None:
    """Adds the mean load of warm and of new nodes in each slice."""
    for at in slices:
        row = {
            "second": at * SLICE_S,
            "warm_mean": fleet.mean_load(fleet.warm_names, [at]),
            "new_mean": fleet.mean_load(fleet.new_names, [at]),
        }
        results.rows.append(row)
        for key in ("warm_mean", "new_mean"):
            results.lines.setdefault(key, []).append((row["second"], row[key]))


def run(setup: Setup) -> Results:
    """Runs the fleet and returns its figures and claims."""
    results = Results("fleet", x="seconds", y="asks in two seconds, a member in the mean")
    fleet = FleetRun(setup)
    started_at = time.monotonic()
    fleet.run()
    simulation = fleet.simulation
    second_fills = simulation.origin.second_fills()
    avoidable = [fill for fill in second_fills if fill.living_holders]
    fills = len(simulation.origin.fills)
    *slices, _ = sorted({at for _, at in fleet.requests})  # the last one is not complete
    peaks = cold_peaks(fleet, slices, fleet.mean_load(fleet.warm_names, slices))
    add_rows(results, fleet, slices)
    cost_ms = float(np.mean(fleet.change_costs)) * 1000
    max_cost_ms = max(fleet.change_costs) * 1000
    sizes = (ROUTER_COUNT, len(fleet.after.nodes), fleet.size.object_count, fleet.request_count)
    results.figures |= {
        "routers, nodes, objects, asked": ", ".join(map(str, sizes)),
        "fills at the store": fills,
        "second fills, of these with a living holder": f"{len(second_fills)}, {len(avoidable)}",
        "answers": len(simulation.replies),
        "ms a node for a reshaping": f"{cost_ms:.2f}, most {max_cost_ms:.2f}",
        "peak on a cold node over its share of the mean": f"{max(peaks):.2f}",
        "wall seconds": f"{time.monotonic() - started_at:.1f}",
    }
    results.claim("asks never answered", simulation.unanswered, "==", 0)
    results.claim("second fills with a living holder, of all fills", len(avoidable) / fills, "<=", 0.001)
    # The mean over all new nodes: a node's objects are few and unequal.
    results.claim("cold nodes' mean over their share of the mean", float(np.mean(peaks)), "<=", 2.0)
    results.claim("ms a node for a reshaping", cost_ms, "<=", 20.0)
    return results
