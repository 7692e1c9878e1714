"""A search through interleavings: random worlds by seed, and small worlds gone through one by one.

Each run scripts shapes that nodes learn of in their own time, purges, asks and, where wanted, deaths, and
then delivers what is pending in an order that the search chooses. What must hold is looked at in the end.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial

from paddlequay.hierarchy.topology import Delta, NodeSpec, Topology, TopologyLimits, next_shape
from paddlequay.lab.world import STORE, World

LIMITS = TopologyLimits()
OBJECTS = tuple(f"{n:016x}" for n in range(3))


@dataclass(frozen=True, slots=True)
class Found:
    """What one interleaving came to."""

    faults: tuple[str, ...]
    loops: int
    rings: int
    second: int
    fills: int


def node(
    name: str, parents: tuple[str, ...] = (STORE,), group: str = "aimag", weight: float = 1.0
) -> NodeSpec:
    return NodeSpec(name, ("127.0.0.1", 1), group, parents, weight=weight)


def first(names: tuple[str, ...], above: tuple[str, ...] = ()) -> Topology:
    """A tier of nodes, and one above it where wanted."""
    store = NodeSpec(STORE, ("127.0.0.1", 1), "store", store=True)
    upper = tuple(node(name, group="regional") for name in above)
    lower = tuple(node(name, (*above, STORE) if above else (STORE,)) for name in names)
    return next_shape(Topology(), Delta(1, None, (store, *upper, *lower)), LIMITS)


def reshaped(rng: random.Random, shape: Topology, spare: tuple[str, ...], drops: bool) -> Topology:
    """One change: a node comes, goes where `drops`, weighs otherwise, or gets another parent.

    Who leaves the shape may not be asked any more, so that what it alone held is filled a second time: for
    leaving without that it is first given next to no weight, and dropped once all know.
    """
    lower = [each for each in shape.nodes.values() if each.group == "aimag"]
    missing = [name for name in spare if name not in shape.nodes]
    kind = rng.randrange(4)
    if kind == 0 and missing:
        delta = Delta(shape.version + 1, shape.version, (node(rng.choice(missing), lower[0].parents),))
    elif kind == 1 and len(lower) > 2 and drops:
        gone = rng.choice([n.name for n in lower if not any(n.name in o.parents for o in lower)] or [""])
        delta = Delta(shape.version + 1, shape.version, (), (gone,) if gone else ())
    elif kind == 2 and len(lower) > 1:
        # One of the tier becomes another's parent: the other way round in the next shape, and two briefly
        # name each other.
        child, parent = rng.sample(lower, 2)
        put: tuple[NodeSpec, ...] = (
            NodeSpec(child.name, child.address, child.group, (parent.name, *plain(child, lower))),
            NodeSpec(parent.name, parent.address, parent.group, plain(parent, lower)),
        )
        delta = Delta(shape.version + 1, shape.version, put)
    else:
        some = rng.choice(lower)
        put = (node(some.name, some.parents, weight=rng.choice([0.3, 1.0, 4.0])),)
        delta = Delta(shape.version + 1, shape.version, put)
    return next_shape(shape, delta, LIMITS)


def plain(each: NodeSpec, lower: list[NodeSpec]) -> tuple[str, ...]:
    tier = {other.name for other in lower}
    return tuple(parent for parent in each.parents if parent not in tier)


def judged(world: World) -> Found:
    faults = []
    if world.unanswered:
        faults.append(f"{world.unanswered} never answered: a ring of waits")
    if world.stale:
        faults.append(f"answered from before a purge: {world.stale[0]}")
    second = world.second_fills()
    # A second fill is allowed only where nobody who lived, and may be asked, held the object.
    wrong = [fill for fill in second if fill.living]
    if wrong:
        faults.append(f"second fill of {wrong[0].name} by {wrong[0].by}, {len(wrong)} in all")
    return Found(tuple(faults), world.loops_found(), world.rings_refused(), len(second), len(world.fills))


def random_run(
    seed: int,
    steps: int = 60,
    deaths: int = 0,
    faults: frozenset[str] = frozenset(),
    purges: bool = True,
    drops: bool = False,
) -> Found:
    """One random interleaving."""
    rng = random.Random(seed)
    world = World()
    world.faults = set(faults)
    names = ("a", "b", "c", "d")
    above = ("r", "s") if rng.random() < 0.4 else ()
    shapes = [first(names[: rng.choice((2, 3))], above)]
    for _ in range(rng.randrange(1, 5)):
        shapes.append(reshaped(rng, shapes[-1], names, drops))
    for name in shapes[0].nodes:
        if name != STORE:
            world.add(name, shapes[0])
    told = dict.fromkeys((*names, *above), 0)
    unheard: list[tuple[str, str]] = []
    died = 0
    for _ in range(steps):
        choice = rng.random()
        living = [name for name in world.nodes if name not in world.dead]
        if choice < 0.22:
            # A box knows some shape that has been out, and asks a node that stands in it.
            known = shapes[rng.randint(0, max(told.values()))]
            tier = [node.name for node in known.group("aimag") if node.name in living]
            if tier:
                world.ask(rng.choice(tier), rng.choice(OBJECTS))
        elif choice < 0.32:
            behind = [name for name in told if told[name] + 1 < len(shapes) and name not in world.dead]
            if behind:
                name = rng.choice(behind)
                told[name] += 1
                shape = shapes[told[name]]
                if name in world.nodes:
                    world.follow(name, shape)
                for new in shape.nodes:
                    # Who is listed runs, and knows the shape that lists it.
                    if new not in world.nodes and new != STORE:
                        world.add(new, shape, started=world.now)
                        told[new] = told[name]
        elif choice < 0.36 and purges:
            name = rng.choice(OBJECTS)
            world.purge(name)
            unheard += [(each, name) for each in world.nodes]
        elif choice < 0.45 and unheard:
            world.hear(*unheard.pop(rng.randrange(len(unheard))))
        elif choice < 0.48 and died < deaths and len(living) > 2:
            world.kill(rng.choice([name for name in living if name in names]))
            died += 1
        elif choice < 0.5 and world.dead:
            world.restart(rng.choice(sorted(world.dead)))
        elif world.pending:
            world.deliver(rng.randrange(len(world.pending)))
    while world.pending:
        world.deliver(rng.randrange(len(world.pending)))
    return judged(world)


def small_worlds(faults: frozenset[str] = frozenset(), most: int = 100_000) -> Iterator[Found]:
    """Every order of delivery in small worlds: two or three nodes that know two shapes, asked at once.

    A run is told by its choices; the next one changes the last choice that has another way left.
    """
    for names, shapes, know, asks in scripts():
        choices: list[int] = []
        while most > 0:
            most -= 1
            world = World()
            world.faults = set(faults)
            for name in names:
                world.add(name, shapes[0])
                if know[name]:
                    world.follow(name, shapes[1])
            for at in asks:
                world.ask(at, OBJECTS[0])
            late = [name for name in names if not know[name]]
            for name in late:
                world.send(f"news for {name}", partial(world.follow, name, shapes[1]))
            ways: list[tuple[int, int]] = []
            while world.pending:
                count = len(world.pending)
                choice = choices[len(ways)] if len(ways) < len(choices) else 0
                ways.append((choice, count))
                world.deliver(choice)
            yield judged(world)
            while ways and ways[-1][0] + 1 >= ways[-1][1]:
                ways.pop()
            if not ways:
                break
            choices = [choice for choice, _ in ways]
            choices[-1] += 1


def scripts() -> Iterator[tuple[tuple[str, ...], list[Topology], dict[str, bool], tuple[str, ...]]]:
    """Two nodes that name each other, a home that moves, and a third that comes."""
    before = first(("a", "b"))
    ab = [NodeSpec("a", ("127.0.0.1", 1), "aimag", ("b", STORE)), node("b")]
    ba = [node("a"), NodeSpec("b", ("127.0.0.1", 1), "aimag", ("a", STORE))]
    named = [
        next_shape(before, Delta(2, 1, tuple(ab)), LIMITS),
        next_shape(before, Delta(3, 1, tuple(ba)), LIMITS),
    ]
    grown = [before, next_shape(before, Delta(2, 1, (node("c"),)), LIMITS)]
    moved = [before, next_shape(before, Delta(2, 1, (node("a", weight=50.0),)), LIMITS)]
    back = [moved[1], next_shape(moved[1], Delta(3, 2, (node("b", weight=5000.0),)), LIMITS)]
    for shapes in (named, moved, back):
        for know in ({"a": True, "b": False}, {"a": False, "b": True}):
            for asks in (("a", "b"), ("b", "a"), ("a", "b", "a")):
                yield ("a", "b"), shapes, know, asks
    for asks in (("a", "c"), ("b", "c"), ("a", "b")):
        yield ("a", "b", "c"), grown, {"a": False, "b": True, "c": True}, asks
