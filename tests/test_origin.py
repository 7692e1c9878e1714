"""A crowded origin, seen by the waits of fills that came from it: pure, without sockets."""

import pytest
from driver import EDGES, ORIGIN, PARENTS, Driver

from paddlequay.routing.origin_load import MEMORY_S, SPAN, Waits
from paddlequay.routing.zone_load import FRESH_S
from paddlequay.routing.interface import AttemptEnded, ClientGone, Fetch, Note, Outcome, Refuse


def fill(driver: Driver, key: int, waited: float, note: Note = Note.FILLED_FROM_ORIGIN) -> Fetch:
    """A read of an object that is new, filled after a wait."""
    (fetch,) = driver.ask(key)
    assert isinstance(fetch, Fetch)
    ended = AttemptEnded(
        fetch.request, 0, fetch.target, Outcome.SERVED, waited + 0.05, True, note, waited=waited
    )
    driver.router.handle(ended, driver.now)
    return fetch


def crowded(waited: float, note: Note = Note.FILLED_FROM_ORIGIN) -> Driver:
    """A router whose fills have waited so long for some seconds."""
    driver = Driver(notes=True)
    for key in range(1000, 1020):
        fill(driver, key, waited, note)
        driver.now += 0.2
    return driver


@pytest.mark.parametrize(
    ("waited", "note", "held"),
    [
        (0.1, Note.FILLED_FROM_ORIGIN, False),
        (0.9, Note.FILLED_FROM_ORIGIN, True),
        (0.9, Note.FILLED, False),  # a parent's own wait is no word on the origin
    ],
)
def test_while_fills_wait_past_the_aim_parents_are_asked_for_what_they_hold(
    waited: float, note: Note, held: bool
) -> None:
    """join+vast: after all copies went void fills waited 0.7 s, and the origin got half as much done."""
    driver = crowded(waited, note)
    for key in range(20):
        fetch = driver.fetch(key)
        assert fetch.source.startswith("parent") and fetch.only_held == held
        driver.serve(fetch, Note.FILLED)
    if held:
        fetch = driver.fetch(50)
        (look,) = driver.end(fetch, Outcome.MISS, Note.SOURCE_LACKS)
        assert isinstance(look, Fetch) and look.source == look.target  # what the edge holds, old or new
        (last,) = driver.end(look, Outcome.MISS, attempt=1)
        assert isinstance(last, Refuse)


def test_a_wait_longer_than_its_answer_took_is_not_believed() -> None:
    """`lag` is what a cache writes: taken as told, 1e300 s kept fills from the origin for minutes."""
    driver = Driver(notes=True)
    fetch = driver.fetch(1)
    ended = AttemptEnded(
        fetch.request, 0, fetch.target, Outcome.SERVED, 0.05, True, Note.FILLED_FROM_ORIGIN, waited=1e300
    )
    driver.router.handle(ended, driver.now)
    assert not driver.fetch(2).only_held


def test_what_cannot_be_kept_is_not_held_back_and_old_waits_are_forgotten() -> None:
    driver = crowded(0.9)
    (charge,) = driver.ask(5, kind="pays")
    assert isinstance(charge, Fetch) and not charge.only_held
    driver.now += 3 * FRESH_S
    (fetch,) = driver.ask(6)
    assert isinstance(fetch, Fetch) and not fetch.only_held


def test_shedding_grows_over_the_span_and_waits_recover_within_seconds() -> None:
    waits = Waits()
    assert not waits.sheds(0.3, 0.0, 1.0)
    for step in range(50):
        waits.heard(0.3, 1.0 + step * 0.1)
    middle = sum(waits.sheds(0.3, luck / 100, waits.at) for luck in range(100)) / 100
    later = sum(waits.sheds(0.3, luck / 100, waits.at + FRESH_S / 4) for luck in range(100)) / 100
    assert 0.0 < later < middle  # not all routers begin together again
    assert middle == pytest.approx((1.0 - SPAN[0]) / (SPAN[1] - SPAN[0]), abs=0.02)
    for step in range(30):
        waits.heard(0.02, 6.0 + step * 0.1 * MEMORY_S)
    assert not waits.sheds(0.3, 0.0, 9.0)


@pytest.mark.parametrize(("x1", "held"), [(0.3, True), (9.0, False)])
def test_fills_given_up_tell_of_the_origin_only_where_cache_and_link_are_well(x1: float, held: bool) -> None:
    """join+vast: with nothing coming through any more nothing was heard, and all began to fetch again."""
    driver = Driver(members=(*EDGES, *PARENTS, ORIGIN), routers=194, routers_here=14, notes=True)

    def say() -> None:
        for edge in EDGES:
            driver.router.know.room.heard(edge.name, {"active": 1.0, "cpu": 0.2, "x1": x1}, driver.now)

    for key in range(100, 110):
        driver.router.know.room.link_at = -9.0  # so that fills go out whatever the link
        fetch = driver.fetch(key)
        say()
        ended = AttemptEnded(fetch.request, 0, fetch.target, Outcome.TIMEOUT, 0.9)
        driver.router.handle(ended, driver.now)
        driver.router.handle(ClientGone(fetch.request), driver.now)
        driver.now += 0.5
    assert driver.router.know.origin_waits.sheds(0.3, 0.5, driver.now) == held


def test_a_fill_given_up_never_tells_that_the_wait_is_shorter() -> None:
    waits = Waits()
    for step in range(20):
        waits.heard(1.6, 1.0 + step * 0.2)
    waits.given_up(0.4, 5.0)
    assert waits.lately(5.0) > 1.45
    waits.given_up(3.0, 5.5)
    assert waits.lately(5.5) > 1.6
