"""A search through interleavings of a hierarchy: random ones by seed, and all orders in small ones.

Each run scripts topologies that nodes learn of in their own time, purges, requests and, where wanted, deaths,
and delivers pending messages in the order that the search chooses. Violations are looked for at its end.
"""

import random
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from functools import partial

from paddlequay.hierarchy.topology import NodeSpec, Topology, TopologyDelta, TopologyLimits, apply_delta
from paddlequay.lab.hierarchy_simulation import ORIGIN, Guard, HierarchySimulation

LIMITS = TopologyLimits()
ADDRESS = ("127.0.0.1", 1)
OBJECTS = tuple(f"{n:016x}" for n in range(3))
LOWER_NAMES = ("a", "b", "c", "d")
UPPER_NAMES = ("r", "s")
LOWER_GROUP = "aimag"
UPPER_GROUP = "regional"
UPPER_PROBABILITY = 0.4  # of a second tier above the first
DEFAULT_STEP_COUNT = 60


@dataclass(frozen=True, slots=True)
class SearchResult:
    """What one interleaving came to: violations in words, and counts."""

    violations: tuple[str, ...]
    loops: int
    rings: int
    second_fills: int
    fills: int


@dataclass(frozen=True, slots=True)
class SmallScript:
    """A small hierarchy: nodes, two topologies, which nodes know the second, and which are asked."""

    names: tuple[str, ...]
    topologies: tuple[Topology, Topology]
    knows_second: dict[str, bool]
    asked: tuple[str, ...]


def node(
    name: str, parents: tuple[str, ...] = (ORIGIN,), group: str = LOWER_GROUP, weight: float = 1.0
) -> NodeSpec:
    """Returns a cache of a topology."""
    return NodeSpec(name, ADDRESS, group, parents, weight=weight)


def first_topology(names: tuple[str, ...], upper_names: tuple[str, ...] = ()) -> Topology:
    """Returns a topology of one tier under the origin, or of two where `upper_names` are given."""
    origin = NodeSpec(ORIGIN, ADDRESS, "store", is_origin=True)
    upper = tuple(node(name, group=UPPER_GROUP) for name in upper_names)
    lower = tuple(node(name, (*upper_names, ORIGIN)) for name in names)
    return apply_delta(Topology(), TopologyDelta(1, None, (origin, *upper, *lower)), LIMITS)


def changed_topology(
    rng: random.Random, topology: Topology, spare_names: tuple[str, ...], may_remove: bool
) -> Topology:
    """Returns the topology after a random change.

    A node joins, leaves where `may_remove`, changes its weight, or becomes another one's parent. A node that
    has left may not be asked any more, so that its objects are filled a second time; without `may_remove`
    nodes stay, as they do where weight is taken from them first.
    """
    lower = [each for each in topology.nodes.values() if each.group == LOWER_GROUP]
    missing = [name for name in spare_names if name not in topology.nodes]
    changed: tuple[NodeSpec, ...] = ()
    removed: tuple[str, ...] = ()
    kind = rng.randrange(4)
    if kind == 0 and missing:
        changed = (node(rng.choice(missing), lower[0].parents),)
    elif kind == 1 and len(lower) > 2 and may_remove:
        no_parents = [each.name for each in lower if not any(each.name in other.parents for other in lower)]
        name = rng.choice(no_parents or [""])
        removed = (name,) if name else ()
    elif kind == 2 and len(lower) > 1:
        # The other way round in the next topology, two nodes briefly name each other as parents.
        child, parent = rng.sample(lower, 2)
        changed = (
            NodeSpec(child.name, child.address, child.group, (parent.name, *_upper_parents(child, lower))),
            NodeSpec(parent.name, parent.address, parent.group, _upper_parents(parent, lower)),
        )
    else:
        picked = rng.choice(lower)
        changed = (node(picked.name, picked.parents, weight=rng.choice([0.3, 1.0, 4.0])),)
    delta = TopologyDelta(topology.version + 1, topology.version, changed, removed)
    return apply_delta(topology, delta, LIMITS)


def _upper_parents(spec: NodeSpec, lower: list[NodeSpec]) -> tuple[str, ...]:
    tier = {other.name for other in lower}
    return tuple(parent for parent in spec.parents if parent not in tier)


def find_violations(simulation: HierarchySimulation) -> SearchResult:
    """Returns what a finished simulation came to.

    A second fill is a violation only where a living node, which may be asked, held the object.
    """
    violations = []
    if simulation.unanswered:
        violations.append(f"{simulation.unanswered} never answered: a ring of waits")
    if simulation.stale_replies:
        violations.append(f"answered from before a purge: {simulation.stale_replies[0]}")
    second = simulation.origin.second_fills()
    avoidable = [fill for fill in second if fill.living_holders]
    if avoidable:
        fill = avoidable[0]
        violations.append(f"second fill of {fill.key.object_name} by {fill.node}, {len(avoidable)} in all")
    return SearchResult(
        violations=tuple(violations),
        loops=simulation.count("loops_found"),
        rings=simulation.count("rings_refused"),
        second_fills=len(second),
        fills=len(simulation.origin.fills),
    )


class RandomInterleaving:
    """One random interleaving, drawn from a seed."""

    def __init__(
        self, seed: int, max_deaths: int, disabled_guards: Collection[Guard], may_remove: bool
    ) -> None:
        self.rng = random.Random(seed)
        self.max_deaths = max_deaths
        self.simulation = HierarchySimulation(disabled_guards=disabled_guards)
        upper = UPPER_NAMES if self.rng.random() < UPPER_PROBABILITY else ()
        self.topologies = [first_topology(LOWER_NAMES[: self.rng.choice((2, 3))], upper)]
        for _ in range(self.rng.randrange(1, 5)):
            latest = self.topologies[-1]
            self.topologies.append(changed_topology(self.rng, latest, LOWER_NAMES, may_remove))
        for name in self.topologies[0].nodes:
            if name != ORIGIN:
                self.simulation.add(name, self.topologies[0])
        self.known = dict.fromkeys(
            (*LOWER_NAMES, *upper), 0
        )  # the index of the topology that each node knows
        self.unreceived_purges: list[tuple[str, str]] = []
        self.deaths = 0

    def run(self, step_count: int, has_purges: bool) -> SearchResult:
        """Takes random steps, then delivers everything that is pending in a random order."""
        for _ in range(step_count):
            self._step(has_purges)
        while self.simulation.pending:
            self._deliver_one()
        return find_violations(self.simulation)

    def _step(self, has_purges: bool) -> None:
        simulation = self.simulation
        choice = self.rng.random()
        living = [name for name in simulation.nodes if name not in simulation.dead]
        if choice < 0.22:
            self._request(living)
        elif choice < 0.32:
            self._teach_topology()
        elif choice < 0.36 and has_purges:
            object_name = self.rng.choice(OBJECTS)
            simulation.purge(object_name)
            self.unreceived_purges += [(name, object_name) for name in simulation.nodes]
        elif choice < 0.45 and self.unreceived_purges:
            index = self.rng.randrange(len(self.unreceived_purges))
            simulation.receive_purge(*self.unreceived_purges.pop(index))
        elif choice < 0.48 and self.deaths < self.max_deaths and len(living) > 2:
            simulation.kill(self.rng.choice([name for name in living if name in LOWER_NAMES]))
            self.deaths += 1
        elif choice < 0.5 and simulation.dead:
            simulation.restart(self.rng.choice(sorted(simulation.dead)))
        elif simulation.pending:
            self._deliver_one()

    def _deliver_one(self) -> None:
        self.simulation.deliver(self.rng.randrange(len(self.simulation.pending)))

    def _request(self, living: list[str]) -> None:
        """An edge cache knows some topology that has been out, and asks a node that stands in it."""
        known = self.topologies[self.rng.randint(0, max(self.known.values()))]
        tier = [spec.name for spec in known.caches_of_group(LOWER_GROUP) if spec.name in living]
        if tier:
            self.simulation.request(self.rng.choice(tier), self.rng.choice(OBJECTS))

    def _teach_topology(self) -> None:
        """A node learns of the next topology; a node that it lists runs, and knows the topology itself."""
        simulation = self.simulation
        last = len(self.topologies) - 1
        behind = [name for name, index in self.known.items() if index < last and name not in simulation.dead]
        if not behind:
            return
        name = self.rng.choice(behind)
        self.known[name] += 1
        topology = self.topologies[self.known[name]]
        if name in simulation.nodes:
            simulation.follow(name, topology)
        for listed in topology.nodes:
            if listed not in simulation.nodes and listed != ORIGIN:
                simulation.add(listed, topology, started_at=simulation.now)
                self.known[listed] = self.known[name]


def random_run(
    seed: int,
    step_count: int = DEFAULT_STEP_COUNT,
    max_deaths: int = 0,
    disabled_guards: Collection[Guard] = (),
    has_purges: bool = True,
    may_remove: bool = False,
) -> SearchResult:
    """Returns what one random interleaving came to."""
    return RandomInterleaving(seed, max_deaths, disabled_guards, may_remove).run(step_count, has_purges)


def small_runs(disabled_guards: Collection[Guard] = (), max_runs: int = 100_000) -> Iterator[SearchResult]:
    """Returns what every order of delivery in small hierarchies comes to.

    A run is given by its choices; the next one changes the last choice that has an alternative left.
    """
    for script in small_scripts():
        choices: list[int] = []
        while max_runs > 0:
            max_runs -= 1
            simulation = _prepare(script, disabled_guards)
            taken: list[tuple[int, int]] = []  # each choice, and out of how many
            while simulation.pending:
                count = len(simulation.pending)
                choice = choices[len(taken)] if len(taken) < len(choices) else 0
                taken.append((choice, count))
                simulation.deliver(choice)
            yield find_violations(simulation)
            while taken and taken[-1][0] + 1 >= taken[-1][1]:
                taken.pop()
            if not taken:
                break
            choices = [choice for choice, _ in taken]
            choices[-1] += 1


def _prepare(script: SmallScript, disabled_guards: Collection[Guard]) -> HierarchySimulation:
    """Returns a simulation in which requests, and the topology for nodes that do not know it, are pending."""
    first, second = script.topologies
    simulation = HierarchySimulation(disabled_guards=disabled_guards)
    for name in script.names:
        simulation.add(name, first)
        if script.knows_second[name]:
            simulation.follow(name, second)
    for name in script.asked:
        simulation.request(name, OBJECTS[0])
    for name in script.names:
        if not script.knows_second[name]:
            simulation.send(f"news for {name}", partial(simulation.follow, name, second))
    return simulation


def small_scripts() -> Iterator[SmallScript]:
    """Returns scripts of two nodes that name each other, a home that moves, and a third node that joins."""
    before = first_topology(("a", "b"))
    a_below_b = (NodeSpec("a", ADDRESS, LOWER_GROUP, ("b", ORIGIN)), node("b"))
    b_below_a = (node("a"), NodeSpec("b", ADDRESS, LOWER_GROUP, ("a", ORIGIN)))
    named = (
        apply_delta(before, TopologyDelta(2, 1, a_below_b), LIMITS),
        apply_delta(before, TopologyDelta(3, 1, b_below_a), LIMITS),
    )
    grown = (before, apply_delta(before, TopologyDelta(2, 1, (node("c"),)), LIMITS))
    moved = (before, apply_delta(before, TopologyDelta(2, 1, (node("a", weight=50.0),)), LIMITS))
    back = (moved[1], apply_delta(moved[1], TopologyDelta(3, 2, (node("b", weight=5000.0),)), LIMITS))
    for topologies in (named, moved, back):
        for knows_second in ({"a": True, "b": False}, {"a": False, "b": True}):
            for asked in (("a", "b"), ("b", "a"), ("a", "b", "a")):
                yield SmallScript(("a", "b"), topologies, knows_second, asked)
    for asked in (("a", "c"), ("b", "c"), ("a", "b")):
        yield SmallScript(("a", "b", "c"), grown, {"a": False, "b": True, "c": True}, asked)
