"""Drives a `Router` with scripted events, and defines the members and request classes that tests use."""

from paddlequay.policy import Router
from paddlequay.routing.interface import (
    Action,
    AttemptEnded,
    Fail,
    Fetch,
    Idempotency,
    Member,
    MembersChanged,
    MemberState,
    Outcome,
    Reject,
    ReplyDetail,
    Request,
    RequestClass,
    RoutingSettings,
    SlowStart,
)

SAFE = RequestClass(
    "pages",
    latency_objective=0.3,
    deadline=2.5,
    idempotency=Idempotency.IDEMPOTENT,
    freshness_lifetime=8.0,
    stale_if_error=30.0,
)
KEYED = RequestClass(
    "orders", 0.6, 3.0, Idempotency.IDEMPOTENCY_KEY, dedup_scope="all", dedup_window=2.0, uncacheable=True
)
UNSAFE = RequestClass(
    "pays", latency_objective=0.6, deadline=3.0, idempotency=Idempotency.NON_IDEMPOTENT, uncacheable=True
)
EDGES = tuple(Member(f"edge-{n}", "here", "cache", 0, MemberState.READY) for n in range(4))
REMOTE_EDGE = Member("away-0", "there", "cache", 1, MemberState.READY)
PARENTS = tuple(Member(f"parent-{n}", "hub", "parent", 0, MemberState.READY) for n in range(3))
ORIGIN = Member("origin-0", "hub", "origin", 0, MemberState.READY)
ALL_MEMBERS = (*EDGES, REMOTE_EDGE, *PARENTS, ORIGIN)
ANSWER_LATENCY_S = 0.05


def settings(**changes: object) -> RoutingSettings:
    values: dict[str, object] = {
        "zone": "here",
        "classes": (SAFE, KEYED, UNSAFE),
        "router_count": 2,
        "parent_kind": "parent",
        "origin_kind": "origin",
        "sibling_fills": "any",
        "bypass_allowed": True,
        "coalesces_fills": True,
        "can_cancel": True,
        "max_attempts": 8,
        "max_retry_after": 2.0,
        "edge_slow_start": SlowStart(0.25, 16.0, 2.5, 3.0),
        "parent_slow_start": SlowStart(0.1, 16.0, 2.0, 3.0),
        "purge_completion": 6.0,
    }
    return RoutingSettings(**(values | changes))  # type: ignore[arg-type]


class Driver:
    """A router with its members, and a method for each event that a test sends to it."""

    def __init__(self, members: tuple[Member, ...] = ALL_MEMBERS, **changes: object) -> None:
        self.router = Router(settings(**changes), seed=1)
        self.now = 100.0
        self.request_count = 0
        self.initial_actions = self.router.handle(MembersChanged(members, full=True), self.now)

    def request(
        self, key: int = 7, part: int = 0, class_name: str = "pages", group: int = 1, time_left: float = 2.0
    ) -> list[Action]:
        self.request_count += 1
        request = Request(f"r{self.request_count}", class_name, time_left, key, part, group)
        return self.router.handle(request, self.now)

    def fetch(self, key: int = 7, part: int = 0, class_name: str = "pages") -> Fetch:
        (action,) = self.request(key, part, class_name)
        assert isinstance(action, Fetch)
        return action

    def end(
        self, fetch: Fetch, outcome: Outcome, detail: ReplyDetail | None = None, attempt: int = 0
    ) -> list[Action]:
        final = outcome is Outcome.SERVED
        timed_out = outcome is Outcome.TIMEOUT
        latency = (fetch.timeout or ANSWER_LATENCY_S) if timed_out else ANSWER_LATENCY_S
        event = AttemptEnded(fetch.request, attempt, fetch.target, outcome, latency, final, detail)
        return self.router.handle(event, self.now)

    def serve(self, fetch: Fetch, detail: ReplyDetail | None = None) -> None:
        actions = self.end(fetch, Outcome.SERVED, detail)
        assert not any(isinstance(action, Fetch | Reject | Fail) for action in actions)

    def update_members(self, *members: Member, full: bool = False) -> list[Action]:
        return self.router.handle(MembersChanged(members, full), self.now)


def fetches(actions: list[Action]) -> list[Fetch]:
    return [action for action in actions if isinstance(action, Fetch)]
