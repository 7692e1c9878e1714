"""The cluster settings in the form that its components use; `schema/cluster.py` reads the file."""

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from paddlequay.cluster.types import ClusterBounds, Peer


class PartitionMode(Enum):
    """How a limit behaves in a router that cannot reach its holder."""

    STRICT = "strict"  # never exceeds the limit: an isolated router has its floor
    OPEN = "open"  # availability first: an isolated router retains a part of its last grant


class LimitScope(Enum):
    """The property of a request or an attempt to which a limit applies; each value has its own limit."""

    CLASS = "class"
    TENANT = "tenant"
    GROUP = "group"
    SOURCE = "source"  # a parent or the origin
    MEMBER = "member"  # a cache


@dataclass(frozen=True, slots=True)
class LimitRule:
    """A limit over all routers. Exactly one of `rate_per_s` and `max_in_flight` is set.

    Attributes:
        name: The name of the limit, the same at all routers.
        scope: The property to which the limit applies.
        match: A class, a tenant, a group's number, or a member's name or kind; "*" applies to each value.
        rate_per_s: Requests per second.
        burst: Requests that may start at the same moment, with `rate_per_s`.
        max_in_flight: Requests in flight.
        mode: How the limit behaves in a router that cannot reach the holder.
        open_factor: With `PartitionMode.OPEN`, the multiple of the limit that is never exceeded.
        floor_ratio: The part of the limit that is divided evenly among all routers, whatever their demand.
    """

    name: str
    scope: LimitScope
    match: str
    rate_per_s: float | None = None
    burst: float = 1.0
    max_in_flight: int | None = None
    mode: PartitionMode = PartitionMode.STRICT
    open_factor: float = 2.0
    floor_ratio: float = 0.2


@dataclass(frozen=True, slots=True)
class ChannelRule:
    """The requests that belong to live channels, and how routers own channels."""

    classes: tuple[str, ...]
    bundles: int = 64  # bundles of a zone; the channels of a bundle share a lease
    prefetch_parts: int = 1  # parts that the owner prefetches beyond the highest one read
    idle_timeout_s: float = 3.0  # a channel ends when it is not read for this long
    max_channels: int = 4096  # channels that a router keeps at the same time
    rebalance_ratio: float = 1.5  # an owner moves a bundle above this multiple of the mean load in its zone


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """One router's settings of the cluster.

    Attributes:
        name: The name of the installation; datagrams of other installations are ignored.
        acceptors: The routers that vote on leases.
        bounds: The times that all routers share.
        bytes_per_s: The most that this router sends; a message to all counts once for each receiver.
        pings_per_s: How often this router probes a peer.
        verdicts: Whether routers share verdicts on sources and caches.
        limits: The limits over all routers.
        channels: How routers own live channels; None if there are none.
        placement_rules: The file of the placement rules; None for plain homes.
    """

    name: str
    acceptors: tuple[Peer, ...]
    bounds: ClusterBounds = field(default_factory=ClusterBounds)
    bytes_per_s: int = 16_000
    pings_per_s: float = 1.0
    verdicts: bool = True
    limits: tuple[LimitRule, ...] = ()
    channels: ChannelRule | None = None
    placement_rules: Path | None = None
