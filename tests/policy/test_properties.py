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

DEDUP_WINDOW_S = 1.5
CLASSES = (
    RequestClass("pages", 0.3, 2.5, Idempotency.IDEMPOTENT, freshness_lifetime=8.0, stale_if_error=30.0),
    RequestClass(
        "orders", 0.6, 3.0, Idempotency.IDEMPOTENCY_KEY, None, None, "zone", DEDUP_WINDOW_S, uncacheable=True
    ),
    RequestClass("pays", 0.6, 3.0, Idempotency.NON_IDEMPOTENT, uncacheable=True),
)
MEMBER_FIELDS = [("edge-0", "here", "cache"), ("edge-1", "here", "cache"), ("edge-2", "here", "cache")]
MEMBER_FIELDS += [("away-0", "there", "cache"), ("parent-0", "hub", "parent"), ("parent-1", "hub", "parent")]
MEMBER_FIELDS += [("origin-0", "hub", "origin")]
ZONES = {name: zone for name, zone, _ in MEMBER_FIELDS}
NOT_EXECUTED_OUTCOMES = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS}
ATTEMPT_OUTCOMES = [outcome for outcome in Outcome if outcome is not Outcome.NOT_SENT]
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.integers(0, 5), st.integers(0, 2)),
        st.tuples(
            st.just("end"),
            st.integers(0, 50),
            st.sampled_from(ATTEMPT_OUTCOMES),
            st.sampled_from([None, *ReplyDetail]),
        ),
        st.tuples(st.just("list"), st.integers(0, 6), st.sampled_from(list(MemberState)), st.booleans()),
        st.tuples(st.just("gone"), st.integers(0, 50)),
        st.tuples(st.just("purge"), st.integers(0, 5), st.booleans()),
        st.tuples(st.just("wait"), st.sampled_from([0.0, 0.01, 0.3, 1.6, 6.0])),
    ),
    max_size=80,
)


class RouterChecker:
    """A caller of the router, which checks its actions against the invariants."""

    def __init__(self, allow_bypass: bool) -> None:
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
            bypass_allowed=allow_bypass,
        )
        self.router = Router(self.settings, 1)
        self.now = 50.0
        self.requests: dict[str, Request] = {}
        self.classes = {request_class.name: request_class for request_class in CLASSES}
        self.deadlines: dict[str, float] = {}
        self.answered: set[str] = set()
        self.sent: dict[str, list[tuple[str, float]]] = {}
        self.in_flight: list[tuple[str, int]] = []
        self.executed: dict[tuple[str, int], bool] = {}
        self.ready = {name: True for name, _, _ in MEMBER_FIELDS}
        self.purges: list[tuple[float, int | None, int | None]] = []
        members = tuple(Member(*name, state=MemberState.READY) for name in MEMBER_FIELDS)
        self.check_actions(self.router.handle(MembersChanged(members, full=True), self.now))

    def check_actions(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Fetch():
                    self.check_fetch(action)
                case Cancel():
                    assert (action.request, action.attempt) in self.in_flight
                    assert self.settings.can_cancel
                case Reject() | Fail():
                    self.check_answer(action)

    def possible_executions(self, request: str) -> list[tuple[str, float]]:
        sent = self.sent.get(request, [])
        return [
            execution for number, execution in enumerate(sent) if self.executed.get((request, number), True)
        ]

    def check_fetch(self, fetch: Fetch) -> None:
        request = self.requests[fetch.request]
        request_class = self.classes[request.class_name]
        assert fetch.request not in self.answered and self.now < self.deadlines[fetch.request]
        assert not [pair for pair in self.in_flight if pair[0] == fetch.request], "two attempts in flight"
        assert self.ready[fetch.target] and self.ready[fetch.source], "a member in use is draining or removed"
        assert ZONES[fetch.target] == "here" or (
            self.settings.bypass_allowed and not fetch.target.startswith("away")
        )
        executions = self.possible_executions(fetch.request)
        assert not executions or request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        if executions and request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            assert self.now < executions[0][1] + DEDUP_WINDOW_S
            assert all(ZONES[fetch.target] == ZONES[target] for target, _ in executions)
        for at, group, key in self.purges:
            if self.now - at <= 6.0 and (key == request.key if key is not None else group == request.group):
                assert fetch.max_age is not None and fetch.max_age <= max(0.001, self.now - at) + 1e-9
        attempts = self.sent.setdefault(fetch.request, [])
        self.in_flight.append((fetch.request, len(attempts)))
        attempts.append((fetch.target, self.now))
        assert len(attempts) <= 6

    def check_answer(self, answer: Reject | Fail) -> None:
        assert answer.request not in self.answered, "two final answers"
        self.answered.add(answer.request)
        request_idempotency = self.classes[self.requests[answer.request].class_name].idempotency
        if isinstance(answer, Reject) and request_idempotency is not Idempotency.IDEMPOTENT:
            assert not self.possible_executions(answer.request), "rejected although a repeat is not safe"

    def end(self, choice: int, outcome: Outcome, detail: ReplyDetail | None) -> None:
        request, number = self.in_flight.pop(choice % len(self.in_flight))
        self.executed[request, number] = outcome not in NOT_EXECUTED_OUTCOMES
        final = outcome is Outcome.SERVED or request in self.answered
        if outcome is Outcome.SERVED:
            self.answered.add(request)
        target = self.sent[request][number][0]
        event = AttemptEnded(request, number, target, outcome, 0.1, final, detail)
        self.check_actions(self.router.handle(event, self.now))

    def expire(self) -> None:
        """Times out the attempts whose client's deadline has passed, as the callers of the router do."""
        for pair in [pair for pair in self.in_flight if self.deadlines[pair[0]] <= self.now]:
            self.end(self.in_flight.index(pair), Outcome.TIMEOUT, None)

    def step(self, step: tuple[object, ...]) -> None:
        match step:
            case ("ask", int(key), int(class_index)):
                request = Request(f"r{len(self.requests)}", CLASSES[class_index].name, 2.0, key, 0, key % 2)
                self.requests[request.id] = request
                self.deadlines[request.id] = self.now + 2.0
                self.check_actions(self.router.handle(request, self.now))
            case ("end", int(choice), Outcome() as outcome, detail) if self.in_flight:
                self.end(choice, outcome, detail if isinstance(detail, ReplyDetail) else None)
            case ("list", int(member_index), MemberState() as state, bool(restarted)):
                name, zone, kind_name = MEMBER_FIELDS[member_index]
                self.ready[name] = state is MemberState.READY
                entry = Member(name, zone, kind_name, 0, state, 1.0, self.now if restarted else None)
                self.check_actions(self.router.handle(MembersChanged((entry,)), self.now))
            case ("gone", int(choice)) if self.requests:
                request_id = f"r{choice % len(self.requests)}"
                self.answered.add(request_id)
                self.check_actions(self.router.handle(ClientDisconnected(request_id), self.now))
            case ("purge", int(key), bool(is_group)):
                self.purges.append((self.now - 0.1, key % 2, None if is_group else key))
                purged = Purged(0.1, key % 2, None if is_group else key)
                self.check_actions(self.router.handle(purged, self.now))
            case ("wait", float(delay)):
                self.now += delay
                self.expire()


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS, st.booleans())
def test_the_invariants_hold_for_any_sequence_of_events(
    steps: list[tuple[object, ...]], allow_bypass: bool
) -> None:
    checker = RouterChecker(allow_bypass=allow_bypass)
    for step in steps:
        checker.step(step)
        unanswered = set(checker.requests) - checker.answered - {request for request, _ in checker.in_flight}
        assert not unanswered, "a pending request has no attempt in flight"
    checker.now += 10.0
    checker.expire()
    assert checker.answered == set(checker.requests)


@settings(max_examples=50, deadline=None, derandomize=True)
@given(STEPS)
def test_the_same_events_give_the_same_actions(steps: list[tuple[object, ...]]) -> None:
    checkers = [RouterChecker(allow_bypass=True), RouterChecker(allow_bypass=True)]
    for step in steps:
        for checker in checkers:
            checker.step(step)
        assert checkers[0].sent == checkers[1].sent and checkers[0].answered == checkers[1].answered


@settings(max_examples=50, deadline=None, derandomize=True)
@given(STEPS)
def test_no_request_state_is_left_once_all_requests_are_answered(steps: list[tuple[object, ...]]) -> None:
    checker = RouterChecker(allow_bypass=True)
    for step in steps:
        checker.step(step)
    checker.now += 10.0
    checker.expire()
    router = checker.router
    assert not router.requests
    assert all(
        upstream.in_flight < 1e-6 and upstream.probe_request is None
        for upstream in router.state.members.upstreams.values()
    )
