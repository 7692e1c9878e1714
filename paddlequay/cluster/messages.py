"""The messages that routers send each other; `wire.py` packs them into datagrams.

Fields are whole numbers from 0 to 2^63 - 1 (digests: 2^64 - 1), short texts and bytes. Times are durations in
milliseconds, never points in time. Safety never rests on a message without its sender's number and
incarnation, which the datagram's header carries. Kinds and the order of fields never change their meaning: a
new field goes to the end with a default, a changed message gets a new kind.
"""

from dataclasses import dataclass
from typing import Annotated, ClassVar

MAX_TEXT_BYTES = 64
MAX_FIELD_VALUE = (1 << 63) - 1
MAX_DIGEST = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class IntRange:
    """The whole numbers that a field may hold, both ends included."""

    minimum: int
    maximum: int


@dataclass(frozen=True, slots=True)
class PeerRange:
    """A field holds the number of a router, from 0 to below the size of the fleet."""


# What a field may hold, by its annotation; a plain int holds 0 to `MAX_FIELD_VALUE`. The annotations are part
# of the wire format, the names of the fields are not.
Digest = Annotated[int, IntRange(0, MAX_DIGEST)]
PeerNumber = Annotated[int, PeerRange()]
PeerStateNumber = Annotated[int, IntRange(1, 3)]  # 1 alive, 2 suspect, 3 dead
FaultNumber = Annotated[int, IntRange(0, 4)]  # 0: none; else a `Fault`
Flag = Annotated[int, IntRange(0, 1)]


class PeerMessage:
    """A message to another router. `KIND` is its number on the wire."""

    KIND: ClassVar[int]
    __slots__ = ()


# --- liveness ---


@dataclass(frozen=True, slots=True)
class Ping(PeerMessage):
    """Asks the receiver for an `Ack` with the same number."""

    KIND: ClassVar[int] = 1
    number: int
    known_incarnation: int  # the receiver's, as far as the sender knows; 0 unknown


@dataclass(frozen=True, slots=True)
class Ack(PeerMessage):
    """States that `peer` is alive in an incarnation: the sender, or the peer of a `PingRequest`."""

    KIND: ClassVar[int] = 2
    number: int
    peer: PeerNumber
    incarnation: int


@dataclass(frozen=True, slots=True)
class PingRequest(PeerMessage):
    """Asks the receiver to ping `peer` and to forward the acknowledgement."""

    KIND: ClassVar[int] = 3
    number: int
    peer: PeerNumber


@dataclass(frozen=True, slots=True)
class MembershipUpdate(PeerMessage):
    """What is believed about a peer in an incarnation, as first reported by `reporter`."""

    KIND: ClassVar[int] = 4
    peer: PeerNumber
    incarnation: int
    state: PeerStateNumber
    reporter: PeerNumber


# --- leases (PaxosLease): a ballot that acquires a lease is the holder's term ---


@dataclass(frozen=True, slots=True)
class Prepare(PeerMessage):
    """Asks an acceptor to promise a ballot; ballot 0 only asks for the holder."""

    KIND: ClassVar[int] = 10
    lease: Digest
    ballot: int


@dataclass(frozen=True, slots=True)
class Promise(PeerMessage):
    """Promises to accept no lower ballot, or names the current holder.

    Attributes:
        holder_ballot: The ballot of the lock that runs, 0 where none does.
        holder: The router that has that lock.
        remaining_ms: For how long the lock runs at most.
    """

    KIND: ClassVar[int] = 11
    lease: Digest
    ballot: int
    holder_ballot: int
    holder: PeerNumber
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class Propose(PeerMessage):
    """Asks an acceptor to lock the lease for the sender, for `duration_ms` from receipt.

    Attributes:
        round_number: 0 for an acquisition; counts the renewals under one ballot.
    """

    KIND: ClassVar[int] = 12
    lease: Digest
    ballot: int
    duration_ms: int
    round_number: int


@dataclass(frozen=True, slots=True)
class Accept(PeerMessage):
    """Confirms that the acceptor has locked the lease for a round of a proposal."""

    KIND: ClassVar[int] = 13
    lease: Digest
    ballot: int
    round_number: int


@dataclass(frozen=True, slots=True)
class Reject(PeerMessage):
    """Rejects a ballot: a higher one was promised, or the acceptor cannot vote yet.

    Attributes:
        promised: The highest ballot that the acceptor has promised.
        retry_after_ms: Above 0, for how long the acceptor does not vote on this lease for the sender.
    """

    KIND: ClassVar[int] = 14
    lease: Digest
    ballot: int
    promised: int
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Release(PeerMessage):
    """Gives a lease back before its end, to `successor` unless that is the sender itself."""

    KIND: ClassVar[int] = 15
    lease: Digest
    ballot: int
    successor: PeerNumber


# --- limits ---


@dataclass(frozen=True, slots=True)
class QuotaRequest(PeerMessage):
    """Tells the holder of a limit how much of it the sender would use.

    Attributes:
        request_number: The grant names it, and is valid from when this request was sent.
        amount_milli: Thousandths of a request per second, or of a request in flight.
        term: The highest term of a holder that the sender has observed, 0 for none.
    """

    KIND: ClassVar[int] = 20
    limit: Digest
    request_number: int
    amount_milli: int
    term: int


@dataclass(frozen=True, slots=True)
class QuotaGrant(PeerMessage):
    """Grants a quota beside the floor, for `valid_ms` from when the request was sent.

    Attributes:
        request_number: The `QuotaRequest` that it answers.
        term: The term of the holder.
        amount_milli: Thousandths of a request per second, or of a request in flight.
        burst_milli: Thousandths of a request.
    """

    KIND: ClassVar[int] = 21
    limit: Digest
    request_number: int
    term: int
    amount_milli: int
    burst_milli: int
    valid_ms: int


# --- verdicts ---


@dataclass(frozen=True, slots=True)
class Evidence(PeerMessage):
    """What the sender itself has observed of a subject in the last `age_ms`."""

    KIND: ClassVar[int] = 30
    subject: Digest
    subject_start_ms: int  # Unix time of the subject's start, by the endpoint list; 0 unknown
    fault: FaultNumber  # 0: the subject serves
    attempt_count: int  # attempts that this rests on
    age_ms: int
    other_member_count: int  # members of the same kind that served the sender in that time


# --- channels ---


@dataclass(frozen=True, slots=True)
class ChannelPartReport(PeerMessage):
    """Reports, from a channel's owner, the cache that holds a part. With `valid_ms` 0 it is a heartbeat."""

    KIND: ClassVar[int] = 40
    channel: Digest
    term: int
    part: int
    cache: Digest  # digest of the member's name
    valid_ms: int


@dataclass(frozen=True, slots=True)
class HandoffOffer(PeerMessage):
    """Offers a bundle of channels to another router, which may bid for it and take it over."""

    KIND: ClassVar[int] = 41
    bundle: Digest
    term: int
    load_milli: int  # parts prefetched a second, in thousandths


@dataclass(frozen=True, slots=True)
class HandoffReply(PeerMessage):
    """Says whether the sender follows a bundle, or is ready to own it.

    With `term` 0 and `accepted` 1 the sender follows the bundle; with the term of an offer it accepts or
    declines that offer; with `accepted` 0 and no offer pending it says that it does not own the bundle.
    """

    KIND: ClassVar[int] = 42
    bundle: Digest
    term: int
    accepted: Flag


@dataclass(frozen=True, slots=True)
class HandoffComplete(PeerMessage):
    """Says that the new owner has filled its first part under `term`; the previous owner stops."""

    KIND: ClassVar[int] = 43
    bundle: Digest
    term: int
    previous_term: int


@dataclass(frozen=True, slots=True)
class OwnerLoad(PeerMessage):
    """Reports the load of a router as an owner, by which a receiver of a bundle is chosen."""

    KIND: ClassVar[int] = 44
    rate_milli: int  # parts prefetched a second, in thousandths
    bundle_count: int


# --- tables ---


@dataclass(frozen=True, slots=True)
class TableAnnouncement(PeerMessage):
    """Proposes a placement table under an epoch or, with `is_declaration` 1, declares it active.

    Attributes:
        epoch_number: Counts the epochs of one term.
        term: The term of the holder that makes the epoch.
        table_digest: Names the compiled table.
        rules_digest: Names the text of the placement rules, 0 where it is not told.
    """

    KIND: ClassVar[int] = 50
    epoch_number: int
    term: int
    table_digest: Digest
    rules_digest: Digest
    is_declaration: Flag


@dataclass(frozen=True, slots=True)
class TableAcknowledgement(PeerMessage):
    """Tells the holder which table the sender has compiled, in answer to an epoch.

    Attributes:
        epoch_number: With `term`, the highest epoch that the sender has heard of.
        table_digest: Names the sender's own table, which may differ; 0 where it has none.
        active_epoch: The epoch that the sender uses, shortened to 63 bits; 0 for none.
    """

    KIND: ClassVar[int] = 51
    epoch_number: int
    term: int
    table_digest: Digest
    active_epoch: int


MESSAGE_TYPES: dict[int, type[PeerMessage]] = {
    kind.KIND: kind
    for kind in (
        Ping, Ack, PingRequest, MembershipUpdate,
        Prepare, Promise, Propose, Accept, Reject, Release,
        QuotaRequest, QuotaGrant,
        Evidence,
        ChannelPartReport, HandoffOffer, HandoffReply, HandoffComplete, OwnerLoad,
        TableAnnouncement, TableAcknowledgement,
    )
}  # fmt: skip
