"""Invariants of a single router under generated sequences of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from paddlequay.policy import Router
from paddlequay.routing.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Fail,
    Fetch,
    Idempotency,
    Member,
    MembersChanged,
    MemberState,
    Outcome,
    Purged,
    Reject,
    ReplyDetail,
    Request,
    RequestClass,
    RoutingSettings,
    SlowStart,
)

WINDOW = 1.5
CLASSES = (
    RequestClass("pages", 0.3, 2.5, Idempotency.IDEMPOTENT, freshness_lifetime=8.0, stale_if_error=30.0),
    RequestClass(
        "orders", 0.6, 3.0, Idempotency.IDEMPOTENCY_KEY, None, None, "zone", WINDOW, uncacheable=True
    ),
    RequestClass("pays", 0.6, 3.0, Idempotency.NON_IDEMPOTENT, uncacheable=True),
)
NAMES = [("edge-0", "here", "cache"), ("edge-1", "here", "cache"), ("edge-2", "here", "cache")]
NAMES += [("away-0", "there", "cache"), ("parent-0", "hub", "parent"), ("parent-1", "hub", "parent")]
NAMES += [("origin-0", "hub", "origin")]
ZONES = {name: zone for name, zone, _ in NAMES}
IDLE = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS}
ENDS = [outcome for outcome in Outcome if outcome is not Outcome.NOT_SENT]
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.integers(0, 5), st.integers(0, 2)),
        st.tuples(
            st.just("end"), st.integers(0, 50), st.sampled_from(ENDS), st.sampled_from([None, *ReplyDetail])
        ),
        st.tuples(st.just("list"), st.integers(0, 6), st.sampled_from(list(MemberState)), st.booleans()),
        st.tuples(st.just("gone"), st.integers(0, 50)),
        st.tuples(st.just("purge"), st.integers(0, 5), st.booleans()),
        st.tuples(st.just("wait"), st.sampled_from([0.0, 0.01, 0.3, 1.6, 6.0])),
    ),
    max_size=80,
)


class World:
    """A caller of the router, which checks its actions against the invariants."""

    def __init__(self, direct: bool) -> None:
        self.settings = RoutingSettings(
            zone="here",
            classes=CLASSES,
            parent_kind="parent",
            origin_kind="origin",
            sibling_fills="any",
            coalesces_fills=True,
            can_cancel=True,
            max_attempts=6,
            edge_slow_start=SlowStart(0.25, 16.0, 2.5, 3.0),
            parent_slow_start=SlowStart(0.1, 16.0, 2.0, 3.0),
            purge_completion=6.0,
            bypass_allowed=direct,
        )
        self.router = Router(self.settings, 1)
        self.now = 50.0
        self.requests: dict[str, Request] = {}
        self.classes = {kind.name: kind for kind in CLASSES}
        self.due: dict[str, float] = {}
        self.answered: set[str] = set()
        self.sent: dict[str, list[tuple[str, float]]] = {}
        self.in_flight: list[tuple[str, int]] = []
        self.ran: dict[tuple[str, int], bool] = {}
        self.ready = {name: True for name, _, _ in NAMES}
        self.purges: list[tuple[float, int | None, int | None]] = []
        members = tuple(Member(*name, state=MemberState.READY) for name in NAMES)
        self.take(self.router.handle(MembersChanged(members, full=True), self.now))

    def take(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Fetch():
                    self.on_fetch(action)
                case Cancel():
                    assert (action.request, action.attempt) in self.in_flight
                    assert self.settings.can_cancel
                case Reject() | Fail():
                    self.on_answer(action)

    def may_have_run(self, request: str) -> list[tuple[str, float]]:
        sent = self.sent.get(request, [])
        return [place for number, place in enumerate(sent) if self.ran.get((request, number), True)]

    def on_fetch(self, fetch: Fetch) -> None:
        request = self.requests[fetch.request]
        kind = self.classes[request.class_name]
        assert fetch.request not in self.answered and self.now < self.due[fetch.request]
        assert not [pair for pair in self.in_flight if pair[0] == fetch.request], "two attempts at once"
        assert self.ready[fetch.target] and self.ready[fetch.source], "a drain was not kept"
        assert ZONES[fetch.target] == "here" or (
            self.settings.bypass_allowed and not fetch.target.startswith("away")
        )
        ran = self.may_have_run(fetch.request)
        assert not ran or kind.idempotency is not Idempotency.NON_IDEMPOTENT
        if ran and kind.idempotency is Idempotency.IDEMPOTENCY_KEY:
            assert self.now < ran[0][1] + WINDOW
            assert all(ZONES[fetch.target] == ZONES[target] for target, _ in ran)
        for at, group, key in self.purges:
            if self.now - at <= 6.0 and (key == request.key if key is not None else group == request.group):
                assert fetch.max_age is not None and fetch.max_age <= max(0.001, self.now - at) + 1e-9
        attempts = self.sent.setdefault(fetch.request, [])
        self.in_flight.append((fetch.request, len(attempts)))
        attempts.append((fetch.target, self.now))
        assert len(attempts) <= 6

    def on_answer(self, answer: Reject | Fail) -> None:
        assert answer.request not in self.answered, "two final answers"
        self.answered.add(answer.request)
        effect = self.classes[self.requests[answer.request].class_name].idempotency
        if isinstance(answer, Reject) and effect is not Idempotency.IDEMPOTENT:
            assert not self.may_have_run(answer.request), "a refusal promises that a repeat is harmless"

    def end(self, pick: int, outcome: Outcome, detail: ReplyDetail | None) -> None:
        request, number = self.in_flight.pop(pick % len(self.in_flight))
        self.ran[request, number] = outcome not in IDLE
        final = outcome is Outcome.SERVED or request in self.answered
        if outcome is Outcome.SERVED:
            self.answered.add(request)
        target = self.sent[request][number][0]
        event = AttemptEnded(request, number, target, outcome, 0.1, final, detail)
        self.take(self.router.handle(event, self.now))

    def expire(self) -> None:
        """Ends the attempts whose client's deadline has passed, as drivers do."""
        for pair in [pair for pair in self.in_flight if self.due[pair[0]] <= self.now]:
            self.end(self.in_flight.index(pair), Outcome.TIMEOUT, None)

    def step(self, step: tuple[object, ...]) -> None:
        match step:
            case ("ask", int(key), int(kind)):
                request = Request(f"r{len(self.requests)}", CLASSES[kind].name, 2.0, key, 0, key % 2)
                self.requests[request.id] = request
                self.due[request.id] = self.now + 2.0
                self.take(self.router.handle(request, self.now))
            case ("end", int(pick), Outcome() as outcome, detail) if self.in_flight:
                self.end(pick, outcome, detail if isinstance(detail, ReplyDetail) else None)
            case ("list", int(place), MemberState() as state, bool(restarted)):
                name, zone, kind_name = NAMES[place]
                self.ready[name] = state is MemberState.READY
                entry = Member(name, zone, kind_name, 0, state, 1.0, self.now if restarted else None)
                self.take(self.router.handle(MembersChanged((entry,)), self.now))
            case ("gone", int(pick)) if self.requests:
                request_id = f"r{pick % len(self.requests)}"
                self.answered.add(request_id)
                self.take(self.router.handle(ClientDisconnected(request_id), self.now))
            case ("purge", int(key), bool(whole)):
                self.purges.append((self.now - 0.1, key % 2, None if whole else key))
                purged = Purged(0.1, key % 2, None if whole else key)
                self.take(self.router.handle(purged, self.now))
            case ("wait", float(delay)):
                self.now += delay
                self.expire()


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS, st.booleans())
def test_the_invariants_hold_for_any_sequence_of_events(
    steps: list[tuple[object, ...]], direct: bool
) -> None:
    world = World(direct=direct)
    for step in steps:
        world.step(step)
        stuck = set(world.requests) - world.answered - {request for request, _ in world.in_flight}
        assert not stuck, "a request is held with no attempt out"
    world.now += 10.0
    world.expire()
    assert world.answered == set(world.requests)


@settings(max_examples=50, deadline=None, derandomize=True)
@given(STEPS)
def test_the_same_events_give_the_same_actions(steps: list[tuple[object, ...]]) -> None:
    worlds = [World(direct=True), World(direct=True)]
    for step in steps:
        for world in worlds:
            world.step(step)
        assert worlds[0].sent == worlds[1].sent and worlds[0].answered == worlds[1].answered


@settings(max_examples=50, deadline=None, derandomize=True)
@given(STEPS)
def test_no_request_state_is_left_once_all_requests_are_answered(steps: list[tuple[object, ...]]) -> None:
    world = World(direct=True)
    for step in steps:
        world.step(step)
    world.now += 10.0
    world.expire()
    router = world.router
    assert not router.requests
    assert all(
        server.in_flight < 1e-6 and server.probe_request is None
        for server in router.state.members.upstreams.values()
    )
