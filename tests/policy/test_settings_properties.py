"""Invariants of the router under any combination of settings."""

from dataclasses import replace

import hypothesis
from hypothesis import strategies as st

from paddlequay.policy import Router
from paddlequay.protocol.load_reports import load_report
from paddlequay.routing import interface
from paddlequay.routing.interface import (
    Fetch,
    Idempotency,
    Member,
    MemberState,
    Outcome,
    Reject,
    ReplyDetail,
    SlowStart,
)

TIME_LEFT_S = 2.0
PAGES = interface.RequestClass("pages", 0.3, 2.5, Idempotency.IDEMPOTENT, priority_weight=1.0)
PAYS = interface.RequestClass("pays", 0.6, 3.0, Idempotency.NON_IDEMPOTENT)
ORDERS = interface.RequestClass("orders", 0.6, 3.0, Idempotency.IDEMPOTENCY_KEY)
EDGES = [Member(f"edge-{n}", "here", "box", n % 2, MemberState.READY, 3.0) for n in range(3)]
OTHER_ZONE_EDGES = [Member(f"away-{n}", "there", "box", n, MemberState.READY, 3.0) for n in range(2)]
PARENTS_AND_ORIGIN = [Member(f"parent-{n}", "hub", "parent", 0, MemberState.READY, 9.0) for n in range(2)]
PARENTS_AND_ORIGIN += [Member("origin-0", "hub", "origin", 0, MemberState.READY, 1.0)]
MEMBERS = {member.name: member for member in (*EDGES, *OTHER_ZONE_EDGES, *PARENTS_AND_ORIGIN)}
Load = tuple[tuple[str, float], ...]
NOT_EXECUTED_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS)
LOAD: Load = (("active", 40.0), ("cpu", 1.0), ("x1", 5.0), ("x0", 0.0))

OPTIONAL_BOOLS = st.sampled_from([None, False, True])
SETTINGS = st.builds(
    interface.RoutingSettings,
    zone=st.just("here"),
    classes=st.builds(
        lambda lifetime, stale_time, scope, window, cacheable, order: tuple(
            (
                replace(PAYS, uncacheable=not cacheable),
                replace(PAGES, freshness_lifetime=lifetime, stale_if_error=stale_time),
                replace(ORDERS, dedup_scope=scope, dedup_window=window, uncacheable=not cacheable),
            )[class_index]
            for class_index in order
        ),
        st.sampled_from([None, 0.0, 8.0]),
        st.sampled_from([None, 30.0]),
        st.sampled_from([None, "all", "zone", "cell"]),
        st.sampled_from([None, 0.0, 0.2, 0.4, 1.5, 1.5, 1.5]),
        st.booleans(),  # settings may allow caching for a class of any idempotency
        st.permutations(range(3)),
    ),
    router_count=st.sampled_from([None, 1, 4, 40]),
    zone_router_count=st.sampled_from([None, 1, 3]),
    parent_kind=st.sampled_from([None, "parent"]),
    origin_kind=st.just("origin"),
    sibling_fills=st.sampled_from([None, "off", "location", "any"]),
    bypass_allowed=OPTIONAL_BOOLS,
    coalesces_fills=OPTIONAL_BOOLS,
    detailed_replies=OPTIONAL_BOOLS,
    flow_kb_per_s=st.sampled_from([None, 1000.0]),
    link_kb_per_s=st.sampled_from([None, 1000.0, 8000.0]),
    weights=st.sampled_from([None, "off", "nominal", "rough", "live"]),
    parallel_attempts=OPTIONAL_BOOLS,
    can_cancel=OPTIONAL_BOOLS,
    max_attempts=st.sampled_from([None, 1, 3, 6]),
    max_retry_after=st.sampled_from([None, 0.01]),
    edge_slow_start=st.sampled_from([SlowStart(), SlowStart(0.2, 16.0, 2.5, 1.5)]),
    parent_slow_start=st.sampled_from([SlowStart(), SlowStart(0.07, 16.0, 2.0, 1.5)]),
    purge_completion=st.sampled_from([None, 6.0]),
)
OUTCOMES = st.sampled_from([end for end in Outcome if end is not Outcome.NOT_SENT])
CLASS_NAMES = st.sampled_from(["pages", "pages", "pays", "orders"])
DETAILS, LOADS = st.sampled_from([None, *ReplyDetail]), st.sampled_from([(), LOAD])
REQUEST_STEPS = st.tuples(st.just("ask"), st.integers(0, 2), CLASS_NAMES)
END_STEPS = st.tuples(st.just("end"), st.integers(0, 60), OUTCOMES, DETAILS, LOADS)
OTHER_STEPS = st.one_of(
    st.tuples(st.just("list"), st.sampled_from(sorted(MEMBERS)), st.sampled_from(list(MemberState))),
    st.tuples(st.just("detour"), st.sampled_from([edge.name for edge in EDGES]), st.integers(0, 2)),
    st.tuples(st.just("leave"), st.integers(0, 60)),
    st.tuples(st.just("purge"), st.integers(0, 2)),
    st.tuples(st.just("wait"), st.sampled_from([0.01, 0.15, 0.3, 1.6, 6.0])),
)
STEPS = st.lists(st.one_of(REQUEST_STEPS, END_STEPS, END_STEPS, OTHER_STEPS), min_size=20, max_size=60)


class RouterChecker:
    """A caller of a router with these settings, which checks the actions of the router."""

    def __init__(self, settings: interface.RoutingSettings) -> None:
        self.settings = settings
        self.router, self.now = Router(settings, 1), 50.0
        self.classes_by_name = {request_class.name: request_class for request_class in settings.classes}
        self.pending: dict[str, interface.Request] = {}
        self.deadlines: dict[str, float] = {}
        # The attempts of each request, with the time sent and whether the attempt may have been executed.
        self.sent: dict[str, list[tuple[Fetch, float, bool]]] = {}
        self.in_flight: dict[str, int] = {}
        self.ready = set(MEMBERS)
        self.check_actions(
            self.router.handle(interface.MembersChanged(tuple(MEMBERS.values()), full=True), self.now)
        )

    def check_actions(self, actions: list[interface.Action]) -> None:
        for action in actions:
            if isinstance(action, Fetch):
                self.check_fetch(action)
            elif isinstance(action, Reject | interface.Fail):
                assert action.request in self.pending, "a second final answer, or one for an unknown request"
                assert action.request not in self.in_flight
                if isinstance(action, Reject):
                    self.check_rejection(action)
                del self.pending[action.request]
            elif isinstance(action, interface.Cancel):
                assert self.settings.can_cancel and self.in_flight.get(action.request) == action.attempt

    def possible_executions(self, request: str) -> list[tuple[Fetch, float, bool]]:
        return [each for each in self.sent[request] if each[2]]

    def check_rejection(self, rejection: Reject) -> None:
        """Checks that a request is rejected only if a repeat is safe."""
        request_class, longest_wait = (
            self.classes_by_name[self.pending[rejection.request].class_name],
            self.settings.max_retry_after,
        )
        assert (
            rejection.retry_after is None
            if longest_wait is None
            else (rejection.retry_after or 0.0) <= longest_wait
        )
        drops_repeats = (
            request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and request_class.dedup_scope == "all"
        )
        assert (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or drops_repeats
            or not self.possible_executions(rejection.request)
        )

    def check_fetch(self, fetch: Fetch) -> None:
        settings, request = self.settings, self.pending[fetch.request]
        request_class, executions = (
            self.classes_by_name[request.class_name],
            self.possible_executions(fetch.request),
        )
        assert fetch.request not in self.in_flight, "two attempts in flight"
        assert len(self.sent[fetch.request]) < (settings.max_attempts or 99)
        assert self.now < self.deadlines[fetch.request]
        assert {fetch.target, fetch.source} <= self.ready, "the target or the source is draining or removed"
        target, source = MEMBERS[fetch.target], MEMBERS[fetch.source]
        is_edge = {each.name: self.tier(each) == "edge" for each in (target, source)}
        assert target.zone == "here" if is_edge[target.name] else settings.bypass_allowed
        if source is not target and is_edge[source.name]:
            assert settings.sibling_fills == "any" or (
                settings.sibling_fills == "location" and source.zone == "here"
            )
            assert fetch.only_if_cached or fetch.coalesce
        assert settings.coalesces_fills or not fetch.coalesce
        if executions and request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            assert self.now < executions[0][1] + (request_class.dedup_window or 0.0)
            first_target = MEMBERS[executions[0][0].target]
            in_scope = {
                "zone": first_target.zone == target.zone,
                "cell": first_target.cell == target.cell,
                "all": True,
            }
            assert in_scope.get(request_class.dedup_scope or "cell")
        assert not executions or request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        self.in_flight[fetch.request] = len(self.sent[fetch.request])
        self.sent[fetch.request].append((fetch, self.now, True))

    def tier(self, member: Member) -> str:
        """Returns the tier of a member; without a kind for parents in the settings, a parent is an edge."""
        tier_by_kind = {self.settings.origin_kind: "origin", self.settings.parent_kind: "parent"}
        return tier_by_kind.get(member.kind, "edge")

    def end(self, request: str, outcome: Outcome, detail: ReplyDetail | None, load: Load) -> None:
        number, final = self.in_flight.pop(request), outcome is Outcome.SERVED
        fetch, at, _ = self.sent[request][number]
        self.sent[request][number] = (fetch, at, outcome not in NOT_EXECUTED_OUTCOMES)
        if final:
            self.pending.pop(request, None)
        reported_detail = detail if self.settings.detailed_replies else None
        latency = self.now - at
        ended = interface.AttemptEnded(
            request, number, fetch.target, outcome, latency, final, reported_detail, None, load_report(load)
        )
        self.check_actions(self.router.handle(ended, self.now))

    def step(self, step: tuple[object, ...]) -> None:
        match step:
            case ("ask", int(key), str(name)):
                request = interface.Request(f"r{len(self.sent)}", name, TIME_LEFT_S, key, 0, 1)
                self.pending[request.id], self.sent[request.id] = request, []
                self.deadlines[request.id] = self.now + TIME_LEFT_S
                self.check_actions(self.router.handle(request, self.now))
            case ("end", int(choice), Outcome() as outcome, detail, load) if self.in_flight:
                self.end(sorted(self.in_flight)[choice % len(self.in_flight)], outcome, detail, load)  # type: ignore[arg-type]
            case ("list", str(name), MemberState() as state):
                (self.ready.add if state is MemberState.READY else self.ready.discard)(name)
                changed = interface.MembersChanged((replace(MEMBERS[name], state=state, started=self.now),))
                self.check_actions(self.router.handle(changed, self.now))
            # An object is read while its home drains; then the home is ready again.
            case ("detour", str(name), int(key)):
                for each in (("list", name, MemberState.DRAINING), ("ask", key, "pages")):
                    self.step(each)
                if (request_id := f"r{len(self.sent) - 1}") in self.in_flight:
                    self.end(request_id, Outcome.SERVED, None, ())
                self.step(("list", name, MemberState.READY))
            case ("leave", int(choice)) if self.pending:
                closed = sorted(self.pending)[choice % len(self.pending)]
                del self.pending[closed]
                if closed in self.in_flight:
                    del self.in_flight[closed]
                self.check_actions(self.router.handle(interface.ClientDisconnected(closed), self.now))
            case ("purge", int(key)):
                self.check_actions(self.router.handle(interface.Purged(0.0, None, key), self.now))
            case ("wait", float(time)):
                self.now += time


@hypothesis.settings(max_examples=250, deadline=None, derandomize=True)
@hypothesis.given(SETTINGS, STEPS)
def test_the_invariants_hold_for_any_settings(
    settings: interface.RoutingSettings, steps: list[tuple[object, ...]]
) -> None:
    checker = RouterChecker(settings)
    for step in steps:
        checker.step(step)
    # Once the attempts in flight have ended, all requests must have an answer.
    while checker.in_flight:
        checker.now += 0.1
        checker.end(min(checker.in_flight), Outcome.TIMEOUT, None, ())
    assert not checker.pending and checker.router.state.zone_link.fills_in_flight == 0
