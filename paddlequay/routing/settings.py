"""The settings of the routing decisions: classes of requests, slow start, and what the platform allows.

Times are in seconds. `None` always means "not given", never a default.
"""

from dataclasses import dataclass
from enum import Enum

# Values of `RoutingSettings.weights` and `RoutingSettings.sibling_fills`, as written in settings files.
CAPACITY_WEIGHTS = ("nominal", "rough")
ALLOWED_SIBLING_FILLS = ("any", "location")


class Idempotency(Enum):
    """Whether a request may be repeated. The values are part of formats that programs exchange."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The settings of one class of requests. Times are in seconds.

    Attributes:
        latency_objective: The time within which an answer has its full value.
        deadline: The longest time that a client waits.
        priority_weight: The value of an answer, relative to other classes.
        objective_per_work: Seconds added to the objective for each second of work.
        dedup_scope: The caches that share idempotency keys: "all", "zone" or "cell".
        dedup_window: How long caches drop repeats with the same idempotency key.
        freshness_lifetime: The age up to which a copy is fresh; 0 means until it is purged.
        stale_if_error: How long after that a copy may be served while sources fail.
    """

    name: str
    latency_objective: float
    deadline: float
    idempotency: Idempotency
    priority_weight: float | None = None
    objective_per_work: float | None = None
    dedup_scope: str | None = None
    dedup_window: float | None = None
    freshness_lifetime: float | None = None
    stale_if_error: float | None = None
    uncacheable: bool | None = None


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How a member warms up.

    Attributes:
        initial_share: The share of its full capacity that a member has at its start.
        duration: Seconds after which it has its full capacity.
        overload_multiple: The multiple of its present capacity above which load makes it fail.
        overload_window: Seconds after which such a load makes it fail.
    """

    initial_share: float | None = None
    duration: float | None = None
    overload_multiple: float | None = None
    overload_window: float | None = None


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """The configuration of the routing decisions. Times are in seconds.

    Attributes:
        zone: The name of the router's zone.
        classes: The classes of requests.
        router_count: Routers of the whole platform.
        zone_router_count: Routers of this zone.
        parent_kind: The kind of the members that are parents, in the endpoint list.
        origin_kind: The kind of the members that are origins.
        sibling_fills: The edges that an edge may fill from: "location" for those of its zone, "any" for all.
        bypass_allowed: Whether requests may be sent to parents and the origin without an edge.
        coalesces_fills: Whether caches let a request join a fill of the same object in progress.
        detailed_replies: Whether caches say in a reply why a request failed.
        flow_kb_per_s: The full rate of one transfer, in kilobytes a second.
        link_kb_per_s: The rate of the link into the router's zone, in kilobytes a second.
        weights: What members' weights mean: capacity relative to each other for "nominal" and "rough".
        parallel_attempts: Whether hedged requests are allowed; no rule sends any.
        can_cancel: Whether a pending attempt can be cancelled.
        max_attempts: The attempts that a request may have.
        max_retry_after: The longest Retry-After; None for rejections without one.
        must_subscribe: Whether the router subscribes to the endpoint list.
        subscribe_within: The time after its start within which the router has to subscribe; no rule reads it.
        edge_slow_start: How edges warm up.
        parent_slow_start: How parents warm up.
        purge_completion: The time after which a purge has reached all caches.
    """

    zone: str
    classes: tuple[RequestClass, ...]
    router_count: int | None = None
    zone_router_count: int | None = None
    parent_kind: str | None = None
    origin_kind: str | None = None
    sibling_fills: str | None = None
    bypass_allowed: bool | None = None
    coalesces_fills: bool | None = None
    detailed_replies: bool | None = None
    flow_kb_per_s: float | None = None
    link_kb_per_s: float | None = None
    weights: str | None = None
    parallel_attempts: bool | None = None
    can_cancel: bool | None = None
    max_attempts: int | None = None
    max_retry_after: float | None = None
    must_subscribe: bool | None = None
    subscribe_within: float | None = None
    edge_slow_start: SlowStart = SlowStart()
    parent_slow_start: SlowStart = SlowStart()
    purge_completion: float | None = None

    @property
    def weights_give_capacity(self) -> bool:
        """Whether weights give the capacity of members' outgoing links, in transfers at `flow_kb_per_s`."""
        return self.weights_give_relative_capacity and bool(self.flow_kb_per_s)

    @property
    def weights_give_relative_capacity(self) -> bool:
        """Whether weights give the capacity of members relative to each other."""
        return self.weights in CAPACITY_WEIGHTS

    @property
    def allows_sibling_fills(self) -> bool:
        """Whether an edge may fill from another edge of its zone."""
        return self.sibling_fills in ALLOWED_SIBLING_FILLS
