"""Messages of a cache node: requests, replies, and the orders that its driver carries out."""

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple

from paddlequay.hierarchy.copy_cache import CachedCopy, PartKey
from paddlequay.hierarchy.fill_path import FillPath
from paddlequay.routing.interface import ReplyDetail


class ReplyStatus(Enum):
    """The status of a reply; the values are those of the cache protocol."""

    HIT = "HIT"
    NOT_MODIFIED = "VALID"
    MISS = "NONE"
    REJECTED = "SHED"
    FAILED = "FAULT"
    TIMED_OUT = "LATE"


class ReplyReason(StrEnum):
    """Where a copy came from, or why there is none; the values are those of the cache protocol."""

    CACHED = "HIT"
    STALE = "STALE"  # an outdated copy within the grace period, served while a fill refreshes it
    FILLED = "MISS"
    FILLED_FROM_ORIGIN = "MISS_ORIGIN"
    COALESCED = "COLLAPSED"  # another request began the fill
    LOOP = "LOOP"
    STALE_TOKEN = "OLD_TERM"
    SOURCE_MISS = "UP_MISS"
    SOURCE_REJECTED = "UP_BUSY"
    SOURCE_UNREACHABLE = "UP_DOWN"
    ORIGIN_FAILED = "ORIGIN_ERR"
    FILL_REJECTED = "NO_FILL"


@dataclass(frozen=True, slots=True)
class NodeLimits:
    """Limits of a node.

    Attributes:
        max_cache_bytes: Memory for cached copies.
        max_fills: Fills in flight.
        max_waiters: Requests that wait for the same fill.
        max_waiting: Requests that wait for any fill.
        purge_memory_s: How long a purge is remembered.
        new_node_s: How long after this node's start the next homes of its objects may still hold copies.
        max_fill_s: How long a fill may run; it can outlive the request that began it.
        max_restarts: How many more fills a request may begin because a fill failed or its copy was too old.
    """

    max_cache_bytes: int = 64 * 1024 * 1024
    max_fills: int = 2000
    max_waiters: int = 1000
    max_waiting: int = 10_000
    purge_memory_s: float = 6.0
    new_node_s: float = 60.0
    max_fill_s: float = 6.0
    max_restarts: int = 2


@dataclass(frozen=True, slots=True)
class OwnershipClaim:
    """A node's claim to be an object's home: the topology version it is based on, and the node's address."""

    topology_version: int
    address: tuple[str, int]


class ChannelToken(NamedTuple):
    """A live channel and the fencing token of the owner that prefetches for it."""

    channel: int
    token: int


@dataclass(slots=True, eq=False)
class FillRequest:
    """A request to a node for one part of an object.

    Attributes:
        requester: Identifies the requester to the driver; None for a refresh by the node itself.
        object_name: The object.
        part: The part of the object; None for an object without parts.
        class_name: The request class.
        min_generated_at: The Unix second before which the copy must not have been generated.
        deadline: The Unix second at which the requester stops waiting.
        may_fill: False if the request may be served from the cache or join a fill, but not begin one.
        path: The nodes that the request has passed; None if an edge cache or a router sent it.
        claim: The claim of the sending node to be the object's home.
        channel_token: The channel that the fill is a prefetch for, and its owner's token.
        known_tag: The tag of the copy that the requester has; a reply with this copy carries no body.
        retention: The retention of the copy in the cache, 0 (evicted first) to 3 (evicted last).
        may_cache: Whether the copy may be cached here.
        refreshes_stale: Whether the node refreshes a stale copy that it serves.
        stale_grace_s: By how much a copy may be older than `min_generated_at` while it is refreshed.
        restarts: How many more fills were begun for this request after the first one.
        is_closed: Whether the request has been answered or cancelled.
        is_waiting: Whether the request is counted as waiting.
    """

    requester: object | None
    object_name: str
    part: int | None
    class_name: str
    min_generated_at: float
    deadline: float
    may_fill: bool = True
    path: FillPath | None = None
    claim: OwnershipClaim | None = None
    channel_token: ChannelToken | None = None
    known_tag: str | None = None
    retention: int = 1
    may_cache: bool = True
    refreshes_stale: bool = False
    stale_grace_s: float = 0.0
    restarts: int = 0
    is_closed: bool = False
    is_waiting: bool = False

    @property
    def key(self) -> PartKey:
        """The object and part."""
        return PartKey(self.object_name, self.part)


@dataclass(frozen=True, slots=True)
class Reply:
    """The one reply to a request.

    `fill_s` is how long its fill took, in seconds. With reason `LOOP`, `next_hop` is the node that the fill
    at this node waits for; the requester may ask that node instead.
    """

    request: FillRequest
    status: ReplyStatus
    reason: ReplyReason | None = None
    copy: CachedCopy | None = None
    fill_s: float = 0.0
    next_hop: str = ""


@dataclass(frozen=True, slots=True)
class StartFill:
    """Order to start a fill: ask the sources that `CacheNode.next_source` returns, one after another.

    Attributes:
        number: The number of the fill's lease.
        key: The object and part.
        class_name: The request class.
        min_generated_at: The Unix second before which the copy must not have been generated.
        topology_version: The topology version of this node's ownership claim.
        max_duration_s: How long the fill may run.
    """

    number: int
    key: PartKey
    class_name: str
    min_generated_at: float
    topology_version: int
    max_duration_s: float


@dataclass(frozen=True, slots=True)
class PeerIntroduction:
    """Order to add a node as a possible source: it has claimed an object before the topology names it."""

    name: str
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class FillResult:
    """The result of a fill: a copy, or the reason why there is none."""

    copy: CachedCopy | None = None
    failure: ReplyDetail | None = None
    is_rejected: bool = False
    from_origin: bool = False


Action = Reply | StartFill | PeerIntroduction
