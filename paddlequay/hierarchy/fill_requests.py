"""Messages of a cache node: what it is asked, what it replies, and the orders that its driver carries out."""

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple

from paddlequay.hierarchy.copy_cache import CachedCopy, PartKey
from paddlequay.hierarchy.fill_path import FillPath
from paddlequay.routing.interface import ReplyDetail


class ReplyStatus(Enum):
    """The status of a reply; the values are the words of the caches' protocol."""

    HIT = "HIT"
    NOT_MODIFIED = "VALID"
    MISS = "NONE"
    REJECTED = "SHED"
    FAILED = "FAULT"
    TIMED_OUT = "LATE"


class ReplyReason(StrEnum):
    """Where a copy came from, or why there is none; the values are the words of the caches' protocol."""

    CACHED = "HIT"
    STALE = "STALE"  # within the grace, while it is refreshed
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
    """Bounds of a node.

    Attributes:
        max_cache_bytes: Memory for cached copies.
        max_fills: Fills in flight.
        max_waiters: Requests that wait for one fill.
        max_waiting: Requests that wait in all.
        purge_memory_s: For how long a purge is remembered.
        new_node_s: For how long after this node's start the next nodes on the hash may hold its objects.
        max_fill_s: For how long a fill may run; it outlives the request that began it.
        max_restarts: How often a request begins a further fill because the result was too old for it.
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
    """A node's claim to be an object's home: by which version of the topology, and where the node listens."""

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
        requester: Identifies the requester to the driver; None for a refresh of the node's own.
        object_name: The object.
        part: Its part, None where it has none.
        class_name: The request class.
        min_generated_at: No copy generated before this Unix second will do.
        deadline: The Unix second at which the requester stops waiting.
        may_fill: False for a request of what is cached, or being filled, only.
        path: The nodes that the request has passed; None where an edge cache or a router sent it.
        claim: The claim of the sending node to be the object's home.
        channel_token: The channel that the fill is a prefetch for, and its owner's token.
        known_tag: The tag of the copy that the requester has; the reply leaves out its body.
        retention: How long to keep the copy, 0 to 3.
        may_cache: Whether the copy may be cached here.
        refreshes_stale: Whether a stale copy that is served is to be refreshed.
        stale_grace_s: By how much a copy may be older than `min_generated_at` while it is refreshed.
        restarts: How often a further fill was begun for this request.
        is_closed: Whether it has been answered or cancelled.
        is_waiting: Whether it counts among the waiting requests.
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

    `fill_s` is how long the fill behind it took. `next_hop`, with reason `LOOP`, is the node that the fill
    here waits for, which the requester may ask in its turn.
    """

    request: FillRequest
    status: ReplyStatus
    reason: ReplyReason | None = None
    copy: CachedCopy | None = None
    fill_s: float = 0.0
    next_hop: str = ""


@dataclass(frozen=True, slots=True)
class StartFill:
    """Order to start a fill: ask the sources that `Node.next_source` names, one after another.

    Attributes:
        number: The number of the fill's lease.
        key: The object and part.
        class_name: The request class.
        min_generated_at: The Unix second at which the copy must have been generated, or later.
        topology_version: The version to claim ownership by.
        max_duration_s: For how long the fill may run.
    """

    number: int
    key: PartKey
    class_name: str
    min_generated_at: float
    topology_version: int
    max_duration_s: float


@dataclass(frozen=True, slots=True)
class PeerIntroduction:
    """Order to make a node known that has claimed an object before the topology names it."""

    name: str
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class FillResult:
    """How a fill ended: with a copy, or with the reason for none."""

    copy: CachedCopy | None = None
    failure: ReplyDetail | None = None
    is_rejected: bool = False
    from_origin: bool = False


Action = Reply | StartFill | PeerIntroduction
