"""What the whole fleet sends a cold member, in every window of the rule, on the real decisions.

What all processes that were told of its start send, fills and turned-away attempts counted, stays within N,
and what is chance above it within two roots of N and 2. Demand is three times what there was, so that the
paces alone bound it; one router in eight sees several times the mean, and some start anew.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

import pytest
from rig_slow_start import Fleet, over
from rig_slow_start_site import Site

from paddlequay.routing.interface import MemberState, SlowStart

# Drawn from what settings may name: a slow and a fast start, one to three seconds, with reports and without.
SITES = {
    "words": Site(SlowStart(0.17, 15.0, 2.5, 2.0), SlowStart(0.07, 18.0, 2.0, 2.0), 20),
    "notes": Site(
        SlowStart(0.3, 16.0, 3.0, 1.0), SlowStart(0.06, 20.0, 2.0, 1.0), 20, tells="hit", reports=False
    ),
    "nothing": Site(
        SlowStart(0.12, 18.0, 2.2, 3.0), SlowStart(0.1, 14.0, 2.0, 3.0), 20, tells="none", reports=False
    ),
}
LOST, END = 12.0, 24.0


def some_start(fleet: Fleet, part: float, begin: float, end: float) -> None:
    """Routers killed and started again, from nothing."""
    for node in fleet.nodes:
        if fleet.chance.random() < part:
            down = fleet.chance.uniform(begin, end)
            fleet.at(down, partial(fleet.stop, node))
            fleet.at(down + 1.0, partial(fleet.start, node))


def lost_plaza(fleet: Fleet) -> None:
    """All edges of a plaza are lost for five seconds and come back cold; so does a parent."""
    edges = [cache for cache in fleet.caches.values() if cache.kind == "cache"]

    def lose() -> None:
        for cache in edges:
            cache.here = False
        fleet.tell(*(cache.entry(MemberState.REMOVED) for cache in edges))

    def back() -> None:
        fleet.surge = 3.0
        for cache in (*edges, fleet.caches["parent-0"]):
            fleet.restart(cache)

    fleet.at(LOST, lose)
    fleet.at(LOST + 5.0, back)
    some_start(fleet, 0.2, LOST, END - 2.0)


def outage(fleet: Fleet) -> None:
    """Discovery is away while three in five edges and a parent are replaced and most routers are killed."""
    fleet.silent = (LOST - 5.0, LOST)
    edges = [cache for cache in fleet.caches.values() if cache.kind == "cache"]
    for cache in (*edges[: 3 * len(edges) // 5], fleet.caches["parent-0"]):
        when = fleet.chance.uniform(*fleet.silent)
        fleet.at(when, partial(fleet.replace, cache, f"new-{cache.name}"))
    some_start(fleet, 0.7, LOST - 4.0, LOST)

    def surge() -> None:
        fleet.surge = 3.0

    fleet.at(LOST, surge)


PLAYS = [
    *(("words", routers, play, 0.15) for routers in (20, 30, 200) for play in (lost_plaza, outage)),
    *((site, 30, play, 0.15) for site in ("notes", "nothing") for play in (lost_plaza, outage)),
    ("words", 20, lost_plaza, 0.35),
]


@pytest.mark.parametrize(("site", "routers", "play", "unequal"), PLAYS)
def test_all_calls_to_a_member_in_slow_start_stay_within_its_budget(
    site: str, routers: int, play: Callable[[Fleet], None], unequal: float
) -> None:
    """Its plaza lost for five seconds, an edge was sent half as much again as it bears.

    What went past the plaza meanwhile counted as borne by its edges, and their uses as none; and what parents
    served by themselves counted as the edges' work, which the smallest of unequal edges could not bear.
    """
    fleet = Fleet(replace(SITES[site], routers=routers, unequal=unequal), seed=4)
    play(fleet)
    fleet.run(END)
    windows = [
        (over(sent, allowed), cache.name, age, sent, allowed) for cache, age, sent, allowed in fleet.windows()
    ]
    assert len({name for _, name, *_ in windows}) > 3
    assert max(windows)[0] <= 1.0, max(windows)
