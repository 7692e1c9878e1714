"""What is asked of a node in the middle and what it answers: records alone, which `node.py` decides on."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from paddlequay.hierarchy.copies import CachedCopy, PartKey
from paddlequay.hierarchy.fill_path import FillPath
from paddlequay.routing.interface import ReplyDetail


class ReplyStatus(Enum):
    """What an answer says, in the words of the caches' protocol."""

    HIT = "HIT"
    VALID = "VALID"
    NONE = "NONE"
    SHED = "SHED"
    FAULT = "FAULT"
    LATE = "LATE"


@dataclass(frozen=True, slots=True)
class NodeLimits:
    """Bounds of a node; times in seconds, sizes in bytes."""

    bytes: int = 64 * 1024 * 1024
    fills: int = 2000  # under way
    joiners: int = 1000  # waiting for one fill
    waiting: int = 10_000  # waiting in all
    purge_memory: float = 6.0
    new: float = 60.0  # after its start the next on the hash may hold what a node is home of
    fill_longest: float = 6.0  # a fill runs on when its client has left
    restarts: int = 2  # of a fill whose result was too old for who waits


@dataclass(frozen=True, slots=True)
class OwnershipClaim:
    """By which version of the shape a node is an object's home, and where it listens."""

    version: int
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class PeerIntroduction:
    """A node that this one's shape does not name yet has claimed an object; it may be asked from now on."""

    name: str
    address: tuple[str, int]


@dataclass(slots=True, eq=False)
class FillRequest:
    """What is asked of a node. `token` is the driver's own word for who asks.

    `floor`: no copy minted before this Unix second will do. `trail` is None where a box or a router asks.
    """

    token: Any
    name: str
    part: int | None
    class_name: str
    floor: float
    until: float
    fill: bool = True  # False: only what is held, or being filled
    trail: FillPath | None = None
    claim: OwnershipClaim | None = None  # the asker says that it is the home of this object
    channel: tuple[int, int] | None = None  # filled ahead for this live channel, under this term
    known: str | None = None
    rank: int = 1
    keep: bool = True
    renew: bool = False
    grace: float = 0.0  # a copy older than `floor` by up to this may answer while it is renewed
    restarts: int = 0
    over: bool = False
    waits: bool = False

    @property
    def place(self) -> PartKey:
        return self.name, self.part


@dataclass(frozen=True, slots=True)
class Reply:
    """The one answer to a want."""

    want: FillRequest
    word: ReplyStatus
    copy: CachedCopy | None = None
    detail: str = ""
    lag: float = 0.0
    hint: str = ""  # with LOOP: whom the fill here waits for


@dataclass(frozen=True, slots=True)
class StartFill:
    """Begin a fill: ask whom `Node.step` names in turn for a copy minted at `floor` or later."""

    number: int
    place: PartKey
    class_name: str
    floor: float
    claim: int
    longest: float


@dataclass(frozen=True, slots=True)
class FillResult:
    """How a fill ended: a copy, or why there is none."""

    copy: CachedCopy | None = None
    note: ReplyDetail | None = None
    refused: bool = False
    from_store: bool = False


Action = Reply | StartFill | PeerIntroduction
FAILURES = {
    ReplyDetail.SOURCE_REJECTED: "UP_BUSY",
    ReplyDetail.SOURCE_UNREACHABLE: "UP_DOWN",
    ReplyDetail.SOURCE_MISS: "UP_MISS",
    ReplyDetail.ORIGIN_FAILED: "ORIGIN_ERR",
}


@dataclass(slots=True)
class NodeCounters:
    """What happened, for counters and the console."""

    counts: Counter[str] = field(default_factory=Counter)

    def add(self, name: str, count: int = 1) -> None:
        self.counts[name] += count
