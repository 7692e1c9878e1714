"""The notes that routers send each other. What a datagram is, and how notes are packed into one: `wire.py`.

Fields are whole numbers from 0 to 2^63 - 1 (digests: 2^64 - 1), short texts and bytes; times are durations in
milliseconds, never points in time. A note tells nothing that has to be believed for safety without its
sender's number and incarnation, which stand in the datagram's head. Kinds and the order of fields never
change their meaning; a new field goes to the end with a default, a changed note gets a new kind.
"""

from dataclasses import dataclass
from typing import Annotated, ClassVar

MAX_TEXT_BYTES = 64  # bytes of a text field
MAX_FIELD_VALUE = (1 << 63) - 1
MAX_DIGEST = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class IntRange:
    """Which whole numbers a field may hold, both ends included."""

    least: int
    most: int


@dataclass(frozen=True, slots=True)
class PeerRange:
    """A field holds the number of a router, from 0 to below the size of the fleet."""


# What a field may hold, by its annotation; a plain int holds 0 to `MAX_FIELD_VALUE`. The annotations are part
# of the wire format, the names of the fields are not.
Digest = Annotated[int, IntRange(0, MAX_DIGEST)]
PeerNumber = Annotated[int, PeerRange()]
PeerStateNumber = Annotated[int, IntRange(1, 3)]
FaultNumber = Annotated[int, IntRange(0, 4)]  # 0: none; else a `Fault`
Flag = Annotated[int, IntRange(0, 1)]


class PeerMessage:
    """A note; `KIND` tells them apart on the wire."""

    KIND: ClassVar[int]
    __slots__ = ()


# --- liveness ---


@dataclass(frozen=True, slots=True)
class Ping(PeerMessage):
    """Are you there? Answered by `Ack` with the same number."""

    KIND: ClassVar[int] = 1
    number: int
    about: int  # the incarnation that the sender believes the receiver to have, 0 unknown


@dataclass(frozen=True, slots=True)
class Ack(PeerMessage):
    """I am; or, for a `PingFor`, `peer` is, in this incarnation."""

    KIND: ClassVar[int] = 2
    number: int
    peer: PeerNumber
    incarnation: int


@dataclass(frozen=True, slots=True)
class PingFor(PeerMessage):
    """Ask `peer` in my place: my own ping was not answered."""

    KIND: ClassVar[int] = 3
    number: int
    peer: PeerNumber


@dataclass(frozen=True, slots=True)
class MembershipUpdate(PeerMessage):
    """What is believed of a peer: `state` 1 alive, 2 suspect, 3 dead, in that incarnation, first `by`."""

    KIND: ClassVar[int] = 4
    peer: PeerNumber
    incarnation: int
    state: PeerStateNumber
    by: PeerNumber


# --- leases (PaxosLease; `ballot` grows, and is the term of who takes the lease with it) ---


@dataclass(frozen=True, slots=True)
class Prepare(PeerMessage):
    KIND: ClassVar[int] = 10
    lease: Digest
    ballot: int


@dataclass(frozen=True, slots=True)
class Promise(PeerMessage):
    """No lower ballot any more; `holder` has, under `held`, `left_ms` at most of its lease; 0: nobody."""

    KIND: ClassVar[int] = 11
    lease: Digest
    ballot: int
    held: int
    holder: PeerNumber
    left_ms: int


@dataclass(frozen=True, slots=True)
class Propose(PeerMessage):
    """Accept the sender as holder for `term_ms` from its receipt on."""

    KIND: ClassVar[int] = 12
    lease: Digest
    ballot: int
    term_ms: int
    number: int  # of this proposal: renewals under one ballot are told apart


@dataclass(frozen=True, slots=True)
class Accept(PeerMessage):
    KIND: ClassVar[int] = 13
    lease: Digest
    ballot: int
    number: int


@dataclass(frozen=True, slots=True)
class Reject(PeerMessage):
    """`promised` is higher, or (`out_ms` above 0) the acceptor started lately and stays out for so long."""

    KIND: ClassVar[int] = 14
    lease: Digest
    ballot: int
    promised: int
    out_ms: int


@dataclass(frozen=True, slots=True)
class Release(PeerMessage):
    """The holder gives the lease back before its end, for `heir` to take where that is not its own number."""

    KIND: ClassVar[int] = 15
    lease: Digest
    ballot: int
    heir: PeerNumber


# --- limits ---


@dataclass(frozen=True, slots=True)
class QuotaRequest(PeerMessage):
    """What a router would use of a limit: milli-requests a second, or requests out at once."""

    KIND: ClassVar[int] = 20
    limit: Digest
    number: int  # of this note: the answer names it, and lives from when it was sent
    milli: int
    term: int  # of the holder last heard, 0 none


@dataclass(frozen=True, slots=True)
class QuotaGrant(PeerMessage):
    """A share of a limit beside the floor, for `life_ms` from when `QuotaRequest` `number` was sent."""

    KIND: ClassVar[int] = 21
    limit: Digest
    number: int
    term: int
    milli: int  # a second, or requests out at once in thousandths
    burst_milli: int
    life_ms: int


# --- verdicts ---


@dataclass(frozen=True, slots=True)
class Evidence(PeerMessage):
    """What the sender itself has seen of a subject in the last `age_ms`."""

    KIND: ClassVar[int] = 30
    subject: Digest
    start: int  # which life of the subject, by the list: its start in Unix milliseconds, 0 untold
    fault: FaultNumber  # 0: it serves
    count: int  # of attempts that this rests on
    age_ms: int
    others: int  # members of the same kind that the sender has had served by in that time


# --- channels ---


@dataclass(frozen=True, slots=True)
class Carried(PeerMessage):
    """The owner's word: which box holds a channel's parts up to `part`, under its term."""

    KIND: ClassVar[int] = 40
    channel: Digest
    term: int
    part: int
    box: Digest  # digest of the member's name
    life_ms: int


@dataclass(frozen=True, slots=True)
class Offer(PeerMessage):
    """The owner asks another router to warm up for a bundle of channels and take it over."""

    KIND: ClassVar[int] = 41
    bundle: Digest
    term: int
    load: int  # requests a second, thousandths


@dataclass(frozen=True, slots=True)
class Ready(PeerMessage):
    """Who was offered a bundle is warm (`yes` 1), or declines (0)."""

    KIND: ClassVar[int] = 42
    bundle: Digest
    term: int
    yes: Flag


@dataclass(frozen=True, slots=True)
class Took(PeerMessage):
    """The new owner has filled its first part under `term`: the one before it stops."""

    KIND: ClassVar[int] = 43
    bundle: Digest
    term: int
    former: int


@dataclass(frozen=True, slots=True)
class Load(PeerMessage):
    """How much a router carries as an owner, for who gives a bundle away."""

    KIND: ClassVar[int] = 44
    milli: int
    bundles: int


# --- tables ---


@dataclass(frozen=True, slots=True)
class Table(PeerMessage):
    """The holder of the lease proposes, or (`stage` 1) declares active, a table under an epoch."""

    KIND: ClassVar[int] = 50
    epoch: int
    term: int
    table: Digest  # digest of the compiled table
    rules: Digest  # digest of the rule text
    stage: Flag


@dataclass(frozen=True, slots=True)
class Has(PeerMessage):
    """A router's answer: it has compiled the table of `epoch` to `table`, which may differ; 0: it cannot."""

    KIND: ClassVar[int] = 51
    epoch: int
    term: int
    table: Digest
    active: int  # the epoch that it uses


MESSAGE_TYPES: dict[int, type[PeerMessage]] = {
    kind.KIND: kind
    for kind in (
        Ping, Ack, PingFor, MembershipUpdate,
        Prepare, Promise, Propose, Accept, Reject, Release,
        QuotaRequest, QuotaGrant,
        Evidence,
        Carried, Offer, Ready, Took, Load,
        Table, Has,
    )
}  # fmt: skip
