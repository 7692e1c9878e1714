"""A router driven by scripted events: its list, its classes, and short ways to say what happens."""

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
AWAY = Member("away-0", "there", "cache", 1, MemberState.READY)
PARENTS = tuple(Member(f"parent-{n}", "hub", "parent", 0, MemberState.READY) for n in range(3))
ORIGIN = Member("origin-0", "hub", "origin", 0, MemberState.READY)
EVERYBODY = (*EDGES, AWAY, *PARENTS, ORIGIN)


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
    """A router with its list, and short ways to say what happens to it."""

    def __init__(self, members: tuple[Member, ...] = EVERYBODY, **changes: object) -> None:
        self.router = Router(settings(**changes), seed=1)
        self.now = 100.0
        self.count = 0
        self.started = self.router.handle(MembersChanged(members, full=True), self.now)

    def ask(
        self, key: int = 7, part: int = 0, kind: str = "pages", group: int = 1, left: float = 2.0
    ) -> list[Action]:
        self.count += 1
        request = Request(f"r{self.count}", kind, left, key, part, group)
        return self.router.handle(request, self.now)

    def fetch(self, key: int = 7, part: int = 0, kind: str = "pages") -> Fetch:
        (action,) = self.ask(key, part, kind)
        assert isinstance(action, Fetch)
        return action

    def end(
        self, fetch: Fetch, outcome: Outcome, note: ReplyDetail | None = None, attempt: int = 0
    ) -> list[Action]:
        final = outcome is Outcome.SERVED
        took = (fetch.timeout or 0.05) if outcome is Outcome.TIMEOUT else 0.05
        event = AttemptEnded(fetch.request, attempt, fetch.target, outcome, took, final, note)
        return self.router.handle(event, self.now)

    def serve(self, fetch: Fetch, note: ReplyDetail | None = None) -> None:
        assert not any(isinstance(a, Fetch | Reject | Fail) for a in self.end(fetch, Outcome.SERVED, note))

    def list(self, *members: Member, full: bool = False) -> list[Action]:
        return self.router.handle(MembersChanged(members, full), self.now)


def fetches(actions: list[Action]) -> list[Fetch]:
    return [action for action in actions if isinstance(action, Fetch)]
