"""Router and exchange under events in any order: what is written, and that each request has its one answer.

The caches' side is scripted: an attempt may wait while its connection comes up, and anything may cross it.
What may have run is reckoned here anew, from what was written and how it ended.
"""

from pathlib import Path
from random import Random
from typing import Any

import pytest
from rig_retries import DEADLINE, MEMBERS, Rig, Write, entry

from paddlequay.lifecycle.operator_state import EJECTED_PREFIX
from paddlequay.requests.messages import AnswerStatus, UpstreamAttempt
from paddlequay.routing.interface import Idempotency, Member, MemberState, Outcome, RequestClass

NEVER_RAN = {Outcome.REJECTED, Outcome.MISS, Outcome.NOT_SENT}  # what an answer proves: SHED, NONE and LATE
ANSWERS = (Outcome.SERVED, Outcome.ERROR, Outcome.RESET, Outcome.REJECTED, Outcome.MISS, Outcome.NOT_SENT)
LOSSES = (Outcome.RESET, Outcome.ERROR, Outcome.NOT_SENT)
NAMES = ("page", "fee", "mark", "hold", "note", "hold", "note")
MOVES = (0.0, 0.02, 0.05, 0.1, 0.15, 0.3)
WINDOWS = (None, 0.05, 0.2, 0.3, 0.4, 0.5, 0.6, 1.0)
STATES = (MemberState.READY, MemberState.READY, MemberState.READY, MemberState.DRAINING, MemberState.REMOVED)
ZONES, CELLS = ("here", "here", "there", None), (0, 1, None)
LATEST = -1
Step = tuple[Any, ...]


def race(draw: Random) -> Step:
    """What may come between any two steps of an attempt."""
    match draw.randrange(9):
        case 0 | 1:
            place = (draw.choice(ZONES), draw.choice(CELLS))
            return "list", draw.randrange(6), draw.choice(STATES), draw.random() < 0.5, place
        case 2 | 3:
            place = (draw.choice(ZONES), draw.choice(CELLS))
            return "list", draw.randrange(4), MemberState.READY, False, place
        case 4:
            return "order", draw.randrange(6), draw.random() < 0.5
        case 5:
            return "purge", draw.randrange(3)
        case 6:
            return "leave", draw.randrange(10)
        case 7:
            return "withdraw", draw.randrange(10)
        case _:
            return "unreached", draw.randrange(10)


def life(draw: Random) -> list[Step]:
    """A request that is lost once it is written, and what crosses the wait of its repeat."""
    made: list[Step] = [("ask", draw.choice(NAMES), draw.randrange(3)), ("up", LATEST)]
    made.append(("answer", LATEST, draw.choice(LOSSES)))
    for _ in range(draw.randrange(3)):
        made.append(race(draw) if draw.random() < 0.4 else ("move", draw.choice(MOVES)))
    return [*made, ("up", LATEST)]


def anything(draw: Random) -> Step:
    match draw.randrange(14):
        case 0 | 1:
            return "ask", draw.choice(NAMES), draw.randrange(3)
        case 2 | 3 | 4 | 5:
            return "up", draw.randrange(10)
        case 6 | 7 | 8:
            return "answer", draw.randrange(10), draw.choice(ANSWERS)
        case 9 | 10:
            return "move", draw.choice(MOVES)
        case 11 if draw.random() < 0.2:
            return ("surrender",)
        case _:
            return race(draw)


def drawn(draw: Random) -> list[Step]:
    steps: list[Step] = []
    for _ in range(draw.randint(1, 8)):
        steps += life(draw) if draw.random() < 0.6 else [anything(draw) for _ in range(draw.randint(3, 12))]
    return steps


class World(Rig):
    """The rig, with the rules held at each write and each answer."""

    def begin(self) -> None:
        self.effects = {kind.name: kind for kind in self.kinds}
        self.left: set[str] = set()  # clients that have gone, told or not
        self.asked: dict[str, tuple[str, float]] = {}
        self.ends: dict[int, Outcome] = {}  # by place in `writes`
        self.at: dict[int, Member] = {}
        self.answered: dict[str, float] = {}
        self.repeats = 0  # of keyed requests

    def may_have_run(self, id: str, before: int | None = None) -> list[int]:
        places = range(len(self.side.writes) if before is None else before)
        mine = [place for place in places if self.side.writes[place].attempt.id == id]
        return [place for place in mine if self.ends.get(place) not in NEVER_RAN]

    def check_write(self, place: int) -> None:
        write: Write = self.side.writes[place]
        attempt, fetch = write.attempt, write.attempt.fetch
        kind, asked = self.effects[self.asked[attempt.id][0]], self.asked[attempt.id][1]
        assert attempt.id not in self.left, "written for a client that has gone"
        assert attempt.id not in self.answered, "written for what is answered"
        assert write.at < asked + DEADLINE and write.order.time_left > 0
        for name in (fetch.target, fetch.source):
            member = self.exchange.members.get(name)
            assert member is not None and member.state is MemberState.READY, "a drain was not kept"
            assert not self.operation.is_ejected(name)
        out = [each for each in self.side.out if each.id == attempt.id]
        assert out == [attempt], "two attempts at once"
        target = self.exchange.members[fetch.target]
        assert target.kind != "box" or target.zone in ("here", None), "a cache of another zone"
        self.at[place] = target
        earlier = self.may_have_run(attempt.id, before=place)
        if earlier and kind.idempotency is not Idempotency.IDEMPOTENT:
            assert kind.idempotency is Idempotency.IDEMPOTENCY_KEY, "a second effect"
            assert write.at < self.side.writes[earlier[0]].at + (kind.dedup_window or 0.0)
            for each in earlier:
                ran = self.at[each]
                alike = {"zone": (ran.zone, target.zone), "cell": (ran.cell, target.cell), "all": (0, 0)}
                first, second = alike[kind.dedup_scope or ""]
                assert first is not None and first == second, "outside the group"
            self.repeats += 1

    def check_answers(self) -> None:
        for id, replies in self.replies.items():
            assert len(replies) <= 1, "two final answers"
            if replies and id not in self.answered:
                self.answered[id] = self.replied[id]
                kind = self.effects[self.asked[id][0]]
                free = kind.idempotency is Idempotency.IDEMPOTENT or (
                    kind.idempotency is Idempotency.IDEMPOTENCY_KEY and kind.dedup_scope == "all"
                )
                if replies[0].status is AnswerStatus.REJECTED and not free:
                    assert not self.may_have_run(id), "a refusal promises that a repeat is harmless"
        held = set(self.asked) - set(self.answered) - self.left
        busy = {attempt.id for attempt in (*self.side.waiting, *self.side.out)}
        assert held <= busy, "a request is held with no attempt out"
        assert held <= {item.request.id for item in self.exchange.pending.values()}

    def up(self, attempt: UpstreamAttempt) -> None:
        place = len(self.side.writes)
        if self.side.write(attempt) is not None:
            self.check_write(place)

    def end(self, attempt: UpstreamAttempt, outcome: Outcome) -> None:
        place = next(n for n, write in enumerate(self.side.writes) if write.attempt is attempt)
        self.ends[place] = outcome
        self.side.end(attempt, outcome)

    def step(self, step: Step) -> None:
        match step:
            case ("ask", str(name), int(key)):
                id = f"a{len(self.asked)}"
                self.asked[id] = (name, self.clock.now)
                self.ask(name, id, key, lambda: id in self.left)
            case ("up", int(pick)) if self.side.waiting:
                self.up(self.side.waiting[pick % len(self.side.waiting)])
            case ("unreached", int(pick)) if self.side.waiting:
                self.side.end(self.side.waiting[pick % len(self.side.waiting)], Outcome.CONNECT_FAILED)
            case ("answer", int(pick), Outcome() as outcome) if self.side.out:
                self.end(self.side.out[pick % len(self.side.out)], outcome)
            case ("move", float(seconds)):
                self.clock.move(seconds)
            case ("list", int(place), MemberState() as state, bool(anew), (zone, cell)):
                old = MEMBERS[place]
                zone, cell = (zone, cell) if old.kind == "box" else (old.zone, old.cell)
                started = self.clock.unix() if anew else None
                now = entry(old.name, zone, cell, old.kind or "", state=state, started=started)
                self.exchange.update_members((now,), False)
            case ("order", int(place), bool(on)):
                self.operation.set_override(EJECTED_PREFIX + MEMBERS[place].name, on)
            case ("purge", int(key)):
                self.exchange.record_purge(key, None, self.clock.unix() - 0.01)
            case ("leave", int(pick)) if self.asked:
                self.left.add(f"a{pick % len(self.asked)}")
            case ("withdraw", int(pick)) if self.exchange.pending:
                items = list(self.exchange.pending.values())
                self.left.add(items[pick % len(items)].request.id)
                self.exchange.withdraw(items[pick % len(items)])
            case ("surrender",):
                self.exchange.abandon_all()
        self.check_answers()

    def finish(self) -> None:
        """Nothing more comes: time alone answers what is open, and all that was held is given back."""
        for _ in range(60):
            self.clock.move(0.05)
            self.check_answers()
        assert set(self.asked) == set(self.answered) | self.left
        late = [id for id, at in self.answered.items() if at > self.asked[id][1] + DEADLINE + 0.05]
        assert not late, "answered after its time"
        assert not (self.exchange.pending or self.exchange.intake.open_ids or self.exchange.intake.body_bytes)
        assert not (self.side.waiting or self.side.out)
        router = self.exchange.router
        assert not router.requests
        assert all(abs(server.in_flight) < 1e-6 for server in router.state.members.upstreams.values())


def kinds(group: str, window: float | None, turn: int) -> tuple[RequestClass, ...]:
    """A class of each effect and treatment, in an order that differs."""
    made = [
        RequestClass(
            "page", 0.5, DEADLINE, Idempotency.IDEMPOTENT, freshness_lifetime=8.0, stale_if_error=4.0
        ),
        RequestClass(
            "fee", 0.5, DEADLINE, Idempotency.NON_IDEMPOTENT, None, None, "all", 5.0, uncacheable=True
        ),
        RequestClass(
            "hold", 0.5, DEADLINE, Idempotency.IDEMPOTENCY_KEY, None, None, group, window, uncacheable=True
        ),
        RequestClass("note", 0.5, DEADLINE, Idempotency.IDEMPOTENCY_KEY, None, None, group, window),
        RequestClass("mark", 0.5, DEADLINE, Idempotency.NON_IDEMPOTENT, None, None, "all", 5.0),
    ]
    return tuple(made[turn:] + made[:turn])


@pytest.mark.parametrize("seed", range(10))
def test_non_idempotent_requests_are_never_written_twice_in_any_event_order(seed: int) -> None:
    draw, repeats = Random(seed), 0
    for _ in range(60):
        group, window, turn = draw.choice(("all", "zone", "cell")), draw.choice(WINDOWS), draw.randrange(5)
        direct, allowed = draw.random() < 0.3, draw.random() < 0.5
        made = kinds(group, window, turn)
        world = World(Path("nowhere"), made, direct, can_cancel=allowed, parallel=allowed)
        world.begin()
        steps = drawn(draw)
        try:
            for step in steps:
                world.step(step)
            world.finish()
        except AssertionError as error:
            raise AssertionError(f"{group=} {window=} {turn=} {direct=} {allowed=} {steps=}") from error
        repeats += world.repeats
    assert repeats, "keyed requests are repeated where they may be"
