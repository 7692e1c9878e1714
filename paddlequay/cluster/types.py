"""What the parts of the cluster have in common: names, actions, and how a part is driven.

A part is pure: it is told notes, what other parts have found, and the time, and returns actions. `now` is
the process's monotonic clock in seconds, which also runs on while a process is stopped; clocks of different
processes are never compared. Where safety rests on elapsed time, each side reckons with `Bounds.drift`: what
one believes to hold ends early by it, what one waits for ends late by it.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol

from paddlequay.cluster.messages import PeerMessage

Peer = int  # a router's number: its place in `peers`, `me` in the settings
Name = int  # 64 bits of a name's digest (placement.homes.digest): of a lease, a limit, a subject, a channel

PEERS_MOST = 4096
NEVER = math.inf


class Urgency(IntEnum):
    """What goes first where the bound on bytes makes notes wait; what has waited too long is dropped."""

    LEASE = 0  # leases, and answers that others wait for
    NEWS = 1  # what has changed
    ROUTINE = 2  # what is repeated anyway


class PeerState(Enum):
    """What is believed of a peer."""

    UNKNOWN = "unknown"  # never heard of in this process's life
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Bounds:
    """What every part of every router of the fleet is set to alike. Times are seconds."""

    drift: float = 0.05  # the most by which one elapsed clock runs faster than another, as a share
    lease: float = 1.5  # the longest lease; a restarted acceptor stays out for so long
    grant: float = 0.6  # the longest a share of a limit lives without its holder's word
    suspect: float = 1.0  # from suspicion to death, so that the suspect can speak
    evidence: float = 2.0  # older evidence is no evidence
    overlap: float = 0.5  # of a planned handoff of a channel
    epoch: float = 30.0  # how long a router that is cut off keeps to its table


@dataclass(frozen=True, slots=True)
class Fleet:
    """Who there is: numbers 0 to `size` - 1, this router's own, those that vote on leases, its plaza."""

    me: Peer
    size: int
    acceptors: tuple[Peer, ...] = ()
    zone: str = ""

    @property
    def majority(self) -> int:
        return len(self.acceptors) // 2 + 1


# --- what a part asks for ---


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a note to one peer, or to all others (None). Never to oneself: a part plays its roles inside."""

    to: Peer | None
    note: PeerMessage
    urgency: Urgency = Urgency.ROUTINE


@dataclass(frozen=True, slots=True)
class PeerChanged:
    """Liveness: a peer stands otherwise than before, or has started anew."""

    peer: Peer
    incarnation: int
    standing: PeerState


@dataclass(frozen=True, slots=True)
class SelfChanged:
    """Liveness: whether this router is cut off itself, by what it hears and by what of it is heard."""

    heard: bool  # others' datagrams reach this router
    reaches: bool  # some of them confirm that its own arrive


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """Leases: this router holds a lease from now until `until` at most, by its own clock, under a term.

    Said once a term; renewals move the end without a word. What matters at use is `Leases.holds`.
    """

    lease: Name
    term: int
    until: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Leases: this router holds a lease no more: released, run out or refused."""

    lease: Name
    term: int


@dataclass(frozen=True, slots=True)
class HolderObserved:
    """Leases: another router was seen to hold a lease; a hint for whom to ask, never a proof."""

    lease: Name
    holder: Peer
    term: int


@dataclass(frozen=True, slots=True)
class VerdictChanged:
    """Verdicts: the fleet's word on a subject, until `until` at most; None: there is no word any more."""

    subject: Name
    trouble: "Fault | None"
    until: float


@dataclass(frozen=True, slots=True)
class ChannelOwnership:
    """Channels: this router owns a channel from now on, or (`term` 0) does not any more."""

    channel: Name
    term: int


@dataclass(frozen=True, slots=True)
class TableChanged:
    """Tables: which epoch is in use, and until when the former one's homes are asked first."""

    epoch: int
    digest: int
    former: int | None
    former_until: float


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line for the operators' log; the driver bounds how often."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


class Fault(IntEnum):
    """What may be wrong with a source or a cache."""

    FAILING = 1  # answers, and fails
    SILENT = 2  # does not answer
    COLD = 3  # started anew, before the list says so
    FULL = 4  # its link is full


LocalEvent = (
    PeerChanged
    | SelfChanged
    | LeaseAcquired
    | LeaseLost
    | HolderObserved
    | VerdictChanged
    | ChannelOwnership
    | TableChanged
)
Action = SendMessage | LogEvent | LocalEvent


class Part(Protocol):
    """One part of the cluster. Each call returns what to do now; order matters."""

    def handle_message(self, sender: Peer, incarnation: int, note: PeerMessage, now: float) -> list[Action]:
        """Handles a message of one of the `HANDLED_MESSAGES`; raises nothing, whatever it holds."""
        ...

    def handle_event(self, news: LocalEvent, now: float) -> list[Action]:
        """Another part has found something."""
        ...

    def tick(self, now: float) -> list[Action]:
        """Time has passed: called at `due`, and maybe earlier or, after a stall, far later."""
        ...

    def due(self) -> float:
        """When `tick` next has something to do; `NEVER` where nothing is waited for."""
        ...


def earliest(parts: Iterable[Part]) -> float:
    """When the first of several parts is due."""
    return min((part.due() for part in parts), default=NEVER)
