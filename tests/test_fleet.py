"""Many routers at once: what all of them together send to one member, and what few answers may teach."""

import random

import pytest

from paddlequay.routing.interface import (
    AttemptEnded,
    ClientGone,
    Effect,
    Fetch,
    Member,
    MembersChanged,
    Note,
    Outcome,
    Ramp,
    Request,
    RequestClass,
    Settings,
    State,
)
from paddlequay.policy import Router
from paddlequay.policy.health import SKIP_FAILURES, TRIAL_DELAY_S
from paddlequay.policy.limits import LIMIT_CHANCE, LIMIT_START, REPORT_AGE_S
from paddlequay.routing.state import Tier
from paddlequay.routing.history import OBJECT_AGE_S

PAGES = RequestClass("pages", 0.3, 2.5, Effect.SAFE, aim_stretch=2.0, fresh=8.0, grace=30.0)
WORK = 0.15  # as the module takes it to be before it has seen a size: each request costs 1
SIZE_KB = 150.0
COLD = Ramp(start=0.1, warm_after=20.0, multiple=2.0, window=3.0)


def fleet(routers: int, members: tuple[Member, ...], notes: bool = True) -> list[Router]:
    settings = Settings(
        zone="here",
        classes=(PAGES,),
        routers=routers,
        routers_here=routers,
        parent_kind="parent",
        origin_kind="origin",
        joins=True,
        notes=notes,
        flow_kb_per_s=SIZE_KB / WORK,
        can_cancel=True,
        cold_parent=COLD,
        cold_edge=COLD,
    )
    made = [Router(settings, seed) for seed in range(routers)]
    for router in made:
        router.handle(MembersChanged(members, full=True), 1.0)
    return made


def members(parents: int = 4, edges: int = 4) -> tuple[Member, ...]:
    return (
        *(Member(f"edge-{n}", "here", "cache", 0, State.READY) for n in range(edges)),
        *(Member(f"parent-{n}", "hub", "parent", 1, State.READY) for n in range(parents)),
        Member("origin", "hub", "origin", 2, State.READY),
    )


def ask(router: Router, name: str, key: int, now: float) -> list[Fetch]:
    actions = router.handle(Request(name, "pages", 2.5, key, 0, size_kb=SIZE_KB), now)
    return [action for action in actions if isinstance(action, Fetch)]


def end(
    router: Router, fetch: Fetch, outcome: Outcome, now: float, note: Note | None = None, attempt: int = 0
) -> list[Fetch]:
    final = outcome is Outcome.SERVED
    event = AttemptEnded(fetch.request, attempt, fetch.target, outcome, 0.05, final, note)
    return [action for action in router.handle(event, now) if isinstance(action, Fetch)]


@pytest.mark.parametrize("routers", [3, 30, 200])
@pytest.mark.parametrize("rate", [40.0, 400.0])
@pytest.mark.parametrize("restarts", ["parent", "edge"])
def test_all_routers_together_leave_a_cold_member_standing(routers: int, rate: float, restarts: str) -> None:
    """h324f1d: 191 routers had each saved up one request for one cold parent, and sent them together."""
    made = fleet(routers, members(), notes=False)
    chance = random.Random(7)
    sent: list[float] = []
    cold = f"{restarts}-0"
    start, surge, stop = 20.0, 26.0, 32.0
    now, number, restarted = 1.0, 0, False
    while now < stop:
        # The surge is of objects never read before, so that every read is a fill, three times as many.
        now += chance.expovariate(rate * (3.0 if now > surge else 1.0))
        if now > start and not restarted:
            restarted = True
            zone, kind = ("hub", "parent") if restarts == "parent" else ("here", "cache")
            entry = Member(cold, zone, kind, 1, State.READY, None, now)
            for router in made:
                router.handle(MembersChanged((entry,)), now)
        number += 1
        router = made[chance.randrange(routers)]
        for fetch in ask(router, f"r{number}", number, now):
            if cold in (fetch.target, fetch.source) and restarted:
                sent.append(now)
            end(router, fetch, Outcome.SERVED, now)
    # Four members bear the load at no more than 0.7 of what they can do.
    assert COLD.start and COLD.warm_after and COLD.multiple and COLD.window
    capacity = rate * WORK / 4 / 0.7
    for last in sent:
        share = COLD.start + (1 - COLD.start) * (last - start) / COLD.warm_after
        work = WORK * sum(last - COLD.window < at <= last for at in sent)
        assert work <= COLD.multiple * share * capacity * COLD.window + 3 * WORK
    assert sent or rate / routers < 1.0  # thinner, it may get nothing while it is cold


@pytest.mark.parametrize("routers", [1, 20, 200])
def test_what_is_out_at_an_edge_is_bounded_for_any_number_of_routers(routers: int) -> None:
    """i5566fa: sixteen places a router, times the routers of a location, were far more than an edge holds."""
    made = fleet(routers, members(edges=1))
    out = 0
    for number in range(4000):
        out += len(ask(made[number % routers], f"r{number}", number, 2.0))
    share = LIMIT_START[Tier.EDGE] / routers
    most = routers * max(1.0, share + LIMIT_CHANCE * share**0.5)
    assert routers <= out <= most + 1e-6


@pytest.mark.parametrize(
    ("cores", "link", "age", "held"),
    [(0.1, 0.1, 0.1, False), (0.9, 0.1, 0.1, True), (0.1, 2.0, 0.1, True), (0.1, 0.1, REPORT_AGE_S, True)],
)
def test_an_edge_that_reports_room_is_not_held_to_be_full(
    cores: float, link: float, age: float, held: bool
) -> None:
    """A calm day, seed 3: half of it was refused for limits while the edges reported a tenth of their use."""
    (router,) = fleet(1, members(edges=1, parents=40))
    (fetch,) = ask(router, "first", 1, 2.0)
    report = (("active", 4.0), ("cpu", cores), ("x0", 0.5), ("x1", link))
    answer = AttemptEnded("first", 0, fetch.target, Outcome.SERVED, 0.05, True, Note.FILLED, None, report)
    router.handle(answer, 2.0)
    sent = sum(len(ask(router, f"r{number}", number, 2.0 + age)) for number in range(100))
    assert (sent < 30) if held else (sent == 100)


def test_a_full_edge_is_not_skipped_and_its_source_is_not_blamed() -> None:
    """i633f50: edges that turned requests away were skipped, and the hits they held were lost."""
    (router,) = fleet(1, members())
    for number in range(3 * SKIP_FAILURES):
        (fetch,) = ask(router, f"r{number}", 5, 2.0 + number)
        for again in end(router, fetch, Outcome.REFUSED, 2.0 + number):
            assert again.source == fetch.source
            router.handle(ClientGone(again.request), 2.0 + number)
    assert not any(server.skipped for server in router.know.members.servers.values())


def test_without_notes_a_refusal_names_the_source_and_the_next_parent_is_asked() -> None:
    """tarjeta-branches-later big-1: a dead parent shows only as refusals of its fills."""
    (router,) = fleet(1, members(), notes=False)
    (fetch,) = ask(router, "r1", 5, 2.0)
    (again,) = end(router, fetch, Outcome.REFUSED, 2.0)
    assert again.target == fetch.target
    assert again.source.startswith("parent") and again.source != fetch.source


def test_while_the_origin_is_out_only_held_and_old_copies_are_asked_for_and_then_it_comes_back() -> None:
    """i633f50: misses waited at an origin that did not answer, in places that hits needed."""
    (router,) = fleet(1, members())
    now = 2.0
    for number in range(SKIP_FAILURES):
        (fetch,) = ask(router, f"r{number}", number, now)
        assert not fetch.only_held and fetch.max_age is None
        (look,) = end(router, fetch, Outcome.REFUSED, now, Note.ORIGIN_FAILED)
        assert look.source == look.target and look.max_age == 38.0
        assert end(router, look, Outcome.MISS, now, attempt=1) == []
    (held,) = ask(router, "held", 50, now)
    assert held.source.startswith("parent") and held.only_held and held.max_age == 38.0
    now += TRIAL_DELAY_S
    (trial,) = ask(router, "trial", 51, now)
    (other,) = ask(router, "other", 52, now)
    assert not trial.only_held and other.only_held
    end(router, trial, Outcome.SERVED, now, Note.FILLED_FROM_ORIGIN)
    assert not ask(router, "after", 53, now)[0].only_held


def test_a_member_that_started_anew_is_believed_to_hold_nothing() -> None:
    """Judged when a holder is looked up: the table of objects is not walked when a member leaves."""
    (router,) = fleet(1, members())
    (fetch,) = ask(router, "r1", 5, 2.0)
    end(router, fetch, Outcome.SERVED, 2.1, Note.FILLED)
    seen = next(iter(router.know.hotness.table.values()))
    assert router.know.hotness.held(seen, router.know.members.servers, 2.2) == [fetch.target]
    router.handle(MembersChanged((Member(fetch.target, "here", "cache", 0, State.READY, None, 2.2),)), 2.2)
    assert router.know.hotness.held(seen, router.know.members.servers, 2.2) == []


def test_members_that_leave_do_not_raise_what_the_rest_may_bear() -> None:
    """h2d8a66: the load of the edges that had just left was held to be the last, cold one's."""
    (router,) = fleet(1, members(edges=4))
    for number in range(400):
        (fetch,) = ask(router, f"r{number}", number, 2.0 + number / 40)
        end(router, fetch, Outcome.SERVED, 2.0 + number / 40, Note.HIT)
    cold = Member("edge-0", "here", "cache", 0, State.READY, None, 12.0)
    router.handle(MembersChanged((cold,)), 12.0)
    before = router.know.members.cold[Tier.EDGE].pace(12.0, 12.0)
    gone = tuple(Member(f"edge-{n}", state=State.GONE) for n in range(1, 4))
    router.handle(MembersChanged(gone), 12.0)
    assert before and router.know.members.cold[Tier.EDGE].pace(12.0, 12.0) == before


def test_an_odd_count_of_routers_is_no_error() -> None:
    for count in (None, 0):
        settings = Settings("here", (PAGES,), routers=count, routers_here=count, parent_kind="parent")
        router = Router(settings, 1)
        router.handle(MembersChanged(members(), full=True), 1.0)
        assert ask(router, "r1", 5, 2.0)


def test_objects_read_long_ago_are_forgotten() -> None:
    """churn+long: most objects are new, and a table that keeps each grows all day."""
    (router,) = fleet(1, members())
    for number in range(400):
        for fetch in ask(router, f"r{number}", number, 2.0 + number):
            end(router, fetch, Outcome.SERVED, 2.0 + number, Note.HIT)
    assert len(router.know.hotness.table) <= OBJECT_AGE_S + 2
