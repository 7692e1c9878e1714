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

LEFT = 2.0
PAGES = interface.RequestClass("pages", 0.3, 2.5, Idempotency.IDEMPOTENT, priority_weight=1.0)
PAYS = interface.RequestClass("pays", 0.6, 3.0, Idempotency.NON_IDEMPOTENT)
ORDERS = interface.RequestClass("orders", 0.6, 3.0, Idempotency.IDEMPOTENCY_KEY)
EDGES = [Member(f"edge-{n}", "here", "box", n % 2, MemberState.READY, 3.0) for n in range(3)]
AWAY = [Member(f"away-{n}", "there", "box", n, MemberState.READY, 3.0) for n in range(2)]
BEHIND = [Member(f"parent-{n}", "hub", "parent", 0, MemberState.READY, 9.0) for n in range(2)]
BEHIND += [Member("origin-0", "hub", "origin", 0, MemberState.READY, 1.0)]
MEMBERS = {member.name: member for member in (*EDGES, *AWAY, *BEHIND)}
Load = tuple[tuple[str, float], ...]
IDLE = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS)
LOAD: Load = (("active", 40.0), ("cpu", 1.0), ("x1", 5.0), ("x0", 0.0))

maybe = st.sampled_from([None, False, True])
SETTINGS = st.builds(
    interface.RoutingSettings,
    zone=st.just("here"),
    classes=st.builds(
        lambda new, old, by, within, kept, order: tuple(
            (
                replace(PAYS, uncacheable=not kept),
                replace(PAGES, freshness_lifetime=new, stale_if_error=old),
                replace(ORDERS, dedup_scope=by, dedup_window=within, uncacheable=not kept),
            )[place]
            for place in order
        ),
        st.sampled_from([None, 0.0, 8.0]),
        st.sampled_from([None, 30.0]),
        st.sampled_from([None, "all", "zone", "cell"]),
        st.sampled_from([None, 0.0, 0.2, 0.4, 1.5, 1.5, 1.5]),
        st.booleans(),  # settings may give a class that is kept any effect
        st.permutations(range(3)),
    ),
    router_count=st.sampled_from([None, 1, 4, 40]),
    zone_router_count=st.sampled_from([None, 1, 3]),
    parent_kind=st.sampled_from([None, "parent"]),
    origin_kind=st.just("origin"),
    sibling_fills=st.sampled_from([None, "off", "location", "any"]),
    bypass_allowed=maybe,
    coalesces_fills=maybe,
    detailed_replies=maybe,
    flow_kb_per_s=st.sampled_from([None, 1000.0]),
    link_kb_per_s=st.sampled_from([None, 1000.0, 8000.0]),
    weights=st.sampled_from([None, "off", "nominal", "rough", "live"]),
    parallel_attempts=maybe,
    can_cancel=maybe,
    max_attempts=st.sampled_from([None, 1, 3, 6]),
    max_retry_after=st.sampled_from([None, 0.01]),
    edge_slow_start=st.sampled_from([SlowStart(), SlowStart(0.2, 16.0, 2.5, 1.5)]),
    parent_slow_start=st.sampled_from([SlowStart(), SlowStart(0.07, 16.0, 2.0, 1.5)]),
    purge_completion=st.sampled_from([None, 6.0]),
)
ENDS = st.sampled_from([end for end in Outcome if end is not Outcome.NOT_SENT])
NAMES = st.sampled_from(["pages", "pages", "pays", "orders"])
NOTES, LOADS = st.sampled_from([None, *ReplyDetail]), st.sampled_from([(), LOAD])
ASK = st.tuples(st.just("ask"), st.integers(0, 2), NAMES)
END = st.tuples(st.just("end"), st.integers(0, 60), ENDS, NOTES, LOADS)
OTHERS = st.one_of(
    st.tuples(st.just("list"), st.sampled_from(sorted(MEMBERS)), st.sampled_from(list(MemberState))),
    st.tuples(st.just("detour"), st.sampled_from([edge.name for edge in EDGES]), st.integers(0, 2)),
    st.tuples(st.just("leave"), st.integers(0, 60)),
    st.tuples(st.just("purge"), st.integers(0, 2)),
    st.tuples(st.just("wait"), st.sampled_from([0.01, 0.15, 0.3, 1.6, 6.0])),
)
STEPS = st.lists(st.one_of(ASK, END, END, OTHERS), min_size=20, max_size=60)


class World:
    """A platform with these settings, which checks the actions of one router."""

    def __init__(self, settings: interface.RoutingSettings) -> None:
        self.settings = settings
        self.router, self.now = Router(settings, 1), 50.0
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.open: dict[str, interface.Request] = {}
        self.until: dict[str, float] = {}
        self.sent: dict[str, list[tuple[Fetch, float, bool]]] = {}  # each with: may it have run?
        self.in_flight: dict[str, int] = {}
        self.ready = set(MEMBERS)
        self.take(self.router.handle(interface.MembersChanged(tuple(MEMBERS.values()), full=True), self.now))

    def take(self, actions: list[interface.Action]) -> None:
        for action in actions:
            if isinstance(action, Fetch):
                self.fetched(action)
            elif isinstance(action, Reject | interface.Fail):
                assert action.request in self.open, "a second final answer, or one for nothing"
                assert action.request not in self.in_flight
                if isinstance(action, Reject):
                    self.refusable(action)
                del self.open[action.request]
            elif isinstance(action, interface.Cancel):
                assert self.settings.can_cancel and self.in_flight.get(action.request) == action.attempt

    def ran(self, request: str) -> list[tuple[Fetch, float, bool]]:
        return [each for each in self.sent[request] if each[2]]

    def refusable(self, refusal: Reject) -> None:
        """Checks that a rejection is given only where a repeat is harmless."""
        kind, most = self.kinds[self.open[refusal.request].class_name], self.settings.max_retry_after
        assert refusal.retry_after is None if most is None else (refusal.retry_after or 0.0) <= most
        keyed = kind.idempotency is Idempotency.IDEMPOTENCY_KEY and kind.dedup_scope == "all"
        assert kind.idempotency is Idempotency.IDEMPOTENT or keyed or not self.ran(refusal.request)

    def fetched(self, fetch: Fetch) -> None:
        settings, request = self.settings, self.open[fetch.request]
        kind, ran = self.kinds[request.class_name], self.ran(fetch.request)
        assert fetch.request not in self.in_flight, "two attempts out at once"
        assert len(self.sent[fetch.request]) < (settings.max_attempts or 99)
        assert self.now < self.until[fetch.request]
        assert {fetch.target, fetch.source} <= self.ready, "sent to, or filled from, who drains or is gone"
        target, source = MEMBERS[fetch.target], MEMBERS[fetch.source]
        is_edge = {each.name: self.tier(each) == "edge" for each in (target, source)}
        assert target.zone == "here" if is_edge[target.name] else settings.bypass_allowed
        if source is not target and is_edge[source.name]:
            assert settings.sibling_fills == "any" or (
                settings.sibling_fills == "location" and source.zone == "here"
            )
            assert fetch.only_if_cached or fetch.coalesce
        assert settings.coalesces_fills or not fetch.coalesce
        if ran and kind.idempotency is Idempotency.IDEMPOTENCY_KEY:
            assert self.now < ran[0][1] + (kind.dedup_window or 0.0)
            before = MEMBERS[ran[0][0].target]
            same = {"zone": before.zone == target.zone, "cell": before.cell == target.cell, "all": True}
            assert same.get(kind.dedup_scope or "cell")
        assert not ran or kind.idempotency is not Idempotency.NON_IDEMPOTENT
        self.in_flight[fetch.request] = len(self.sent[fetch.request])
        self.sent[fetch.request].append((fetch, self.now, True))

    def tier(self, member: Member) -> str:
        """Returns the tier of a member; without a kind for parents, a parent is an edge."""
        known = {self.settings.origin_kind: "origin", self.settings.parent_kind: "parent"}
        return known.get(member.kind, "edge")

    def end(self, request: str, outcome: Outcome, detail: ReplyDetail | None, load: Load) -> None:
        number, final = self.in_flight.pop(request), outcome is Outcome.SERVED
        fetch, at, _ = self.sent[request][number]
        self.sent[request][number] = (fetch, at, outcome not in IDLE)
        if final:
            self.open.pop(request, None)
        settings = detail if self.settings.detailed_replies else None
        took = self.now - at
        ended = interface.AttemptEnded(
            request, number, fetch.target, outcome, took, final, settings, None, load_report(load)
        )
        self.take(self.router.handle(ended, self.now))

    def step(self, step: tuple[object, ...]) -> None:
        match step:
            case ("ask", int(key), str(name)):
                request = interface.Request(f"r{len(self.sent)}", name, LEFT, key, 0, 1)
                self.open[request.id], self.sent[request.id] = request, []
                self.until[request.id] = self.now + LEFT
                self.take(self.router.handle(request, self.now))
            case ("end", int(which), Outcome() as outcome, detail, load) if self.in_flight:
                self.end(sorted(self.in_flight)[which % len(self.in_flight)], outcome, detail, load)  # type: ignore[arg-type]
            case ("list", str(name), MemberState() as state):
                (self.ready.add if state is MemberState.READY else self.ready.discard)(name)
                changed = interface.MembersChanged((replace(MEMBERS[name], state=state, started=self.now),))
                self.take(self.router.handle(changed, self.now))
            case ("detour", str(name), int(key)):  # read elsewhere while its home drains, who then is back
                for each in (("list", name, MemberState.DRAINING), ("ask", key, "pages")):
                    self.step(each)
                if (request_id := f"r{len(self.sent) - 1}") in self.in_flight:
                    self.end(request_id, Outcome.SERVED, None, ())
                self.step(("list", name, MemberState.READY))
            case ("leave", int(which)) if self.open:
                left = sorted(self.open)[which % len(self.open)]
                del self.open[left]
                if left in self.in_flight:
                    del self.in_flight[left]
                self.take(self.router.handle(interface.ClientDisconnected(left), self.now))
            case ("purge", int(key)):
                self.take(self.router.handle(interface.Purged(0.0, None, key), self.now))
            case ("wait", float(time)):
                self.now += time


@hypothesis.settings(max_examples=250, deadline=None, derandomize=True)
@hypothesis.given(SETTINGS, STEPS)
def test_the_invariants_hold_for_any_settings(
    settings: interface.RoutingSettings, steps: list[tuple[object, ...]]
) -> None:
    world = World(settings)
    for step in steps:
        world.step(step)
    while world.in_flight:  # what is still out comes to an end at last, and all that is owed is answered
        world.now += 0.1
        world.end(min(world.in_flight), Outcome.TIMEOUT, None, ())
    assert not world.open and world.router.state.zone_link.fills_in_flight == 0
