"""The messages that routers send each other; `wire.py` packs them into datagrams.

Fields are integers from 0 to 2^63 - 1 (digests: to 2^64 - 1), short texts or bytes. Times are durations in
milliseconds; only the start time of a member is a point in time. Where safety depends on who sent a message,
its receiver uses the sender's number and incarnation from the datagram's header. The meaning of a kind and
the order of its fields never change: a new field is appended with a default, a changed message gets a new
kind.
"""

from dataclasses import dataclass
from typing import Annotated, ClassVar

MAX_TEXT_BYTES = 64
MAX_FIELD_VALUE = (1 << 63) - 1
MAX_DIGEST = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class IntRange:
    """The range of an integer field; both ends are included."""

    minimum: int
    maximum: int


@dataclass(frozen=True, slots=True)
class PeerRange:
    """The range of a field that holds a router's number: from 0 to the size of the fleet minus 1."""


# Annotations that state the range of a field; a plain int ranges from 0 to `MAX_FIELD_VALUE`. The annotations
# are part of the wire format, the names of the fields are not.
Digest = Annotated[int, IntRange(0, MAX_DIGEST)]
PeerNumber = Annotated[int, PeerRange()]
PeerStateNumber = Annotated[int, IntRange(1, 3)]  # 1 alive, 2 suspect, 3 dead
FaultNumber = Annotated[int, IntRange(0, 4)]  # 0 no fault, otherwise a `Fault`
Flag = Annotated[int, IntRange(0, 1)]


class PeerMessage:
    """Base of all messages to another router. `KIND` identifies the message type on the wire."""

    KIND: ClassVar[int]
    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Ping(PeerMessage):
    """Asks the receiver for an `Ack` with the same number."""

    KIND: ClassVar[int] = 1
    number: int
    known_incarnation: int  # highest incarnation of the receiver that the sender knows; 0 unknown


@dataclass(frozen=True, slots=True)
class Ack(PeerMessage):
    """Acknowledges a ping: `peer`, which is the sender or the peer of a `PingRequest`, is alive."""

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
    """Gossip: the state of a peer in an incarnation, as first reported by `reporter`."""

    KIND: ClassVar[int] = 4
    peer: PeerNumber
    incarnation: int
    state: PeerStateNumber
    reporter: PeerNumber


# Leases (PaxosLease). The ballot with which a router acquires a lease is its term.


@dataclass(frozen=True, slots=True)
class Prepare(PeerMessage):
    """Asks an acceptor to promise a ballot; with ballot 0 only asks who holds the lease."""

    KIND: ClassVar[int] = 10
    lease: Digest
    ballot: int


@dataclass(frozen=True, slots=True)
class Promise(PeerMessage):
    """Promises to accept no lower ballot, or names the current holder.

    Attributes:
        holder_ballot: The ballot of the acceptor's current lock on the lease; 0 if there is none.
        holder: The router for which the lease is locked.
        remaining_ms: The time until that lock expires, at most.
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
        round_number: 0 for the acquisition, then the number of the renewal under this ballot.
    """

    KIND: ClassVar[int] = 12
    lease: Digest
    ballot: int
    duration_ms: int
    round_number: int


@dataclass(frozen=True, slots=True)
class Accept(PeerMessage):
    """Confirms that the acceptor has locked the lease for the proposal of this ballot and round."""

    KIND: ClassVar[int] = 13
    lease: Digest
    ballot: int
    round_number: int


@dataclass(frozen=True, slots=True)
class Reject(PeerMessage):
    """Rejects a ballot: a higher one was promised, or the acceptor cannot vote yet.

    Attributes:
        promised: The highest ballot that the acceptor has promised.
        retry_after_ms: If above 0, for how long the acceptor will not vote on this lease for the receiver.
    """

    KIND: ClassVar[int] = 14
    lease: Digest
    ballot: int
    promised: int
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Release(PeerMessage):
    """Releases a lease before it expires, in favour of `successor` unless that is the sender itself."""

    KIND: ClassVar[int] = 15
    lease: Digest
    ballot: int
    successor: PeerNumber


@dataclass(frozen=True, slots=True)
class QuotaRequest(PeerMessage):
    """Asks the holder of a limit's lease for a quota, by stating how much of the limit the sender would use.

    Attributes:
        request_number: Repeated in the grant, whose validity starts when this request was sent.
        amount_milli: Thousandths of a request per second, or of a request in flight.
        term: The highest term of any holder that the sender has observed; 0 for none.
    """

    KIND: ClassVar[int] = 20
    limit: Digest
    request_number: int
    amount_milli: int
    term: int


@dataclass(frozen=True, slots=True)
class QuotaGrant(PeerMessage):
    """Grants a quota in addition to the floor, valid for `valid_ms` from when the request was sent.

    Attributes:
        request_number: The number of the `QuotaRequest` that this answers.
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


@dataclass(frozen=True, slots=True)
class Evidence(PeerMessage):
    """The sender's own observation of a subject, made `age_ms` ago."""

    KIND: ClassVar[int] = 30
    subject: Digest
    subject_start_ms: int  # Unix time of the subject's start in the endpoint list; 0 unknown
    fault: FaultNumber  # 0: the subject serves the sender
    attempt_count: int  # attempts in a row that had this result
    age_ms: int
    other_member_count: int  # other members of the same kind that served the sender recently


@dataclass(frozen=True, slots=True)
class ChannelPartReport(PeerMessage):
    """Sent by a channel's owner to tell which cache holds a part; with `valid_ms` 0 only a heartbeat."""

    KIND: ClassVar[int] = 40
    channel: Digest
    term: int
    part: int
    cache: Digest  # digest of the member's name
    valid_ms: int


@dataclass(frozen=True, slots=True)
class HandoffOffer(PeerMessage):
    """Offers a bundle of channels to another router, which may then bid for its lease and take it over."""

    KIND: ClassVar[int] = 41
    bundle: Digest
    term: int
    load_milli: int  # parts prefetched per second, in thousandths


@dataclass(frozen=True, slots=True)
class HandoffReply(PeerMessage):
    """Tells whether the sender follows a bundle, accepts an offer of it, or does not own it.

    With `term` 0 and `accepted` 1 the sender follows the bundle; with the term of an offer it accepts or
    declines that offer; with `accepted` 0 and no offer pending it says that it does not own the bundle.
    """

    KIND: ClassVar[int] = 42
    bundle: Digest
    term: int
    accepted: Flag


@dataclass(frozen=True, slots=True)
class HandoffComplete(PeerMessage):
    """Tells the previous owner that the new one has filled its first part under `term`, so that it stops."""

    KIND: ClassVar[int] = 43
    bundle: Digest
    term: int
    previous_term: int


@dataclass(frozen=True, slots=True)
class OwnerLoad(PeerMessage):
    """Reports a router's load as an owner of bundles, by which others choose whom to offer a bundle."""

    KIND: ClassVar[int] = 44
    rate_milli: int  # parts prefetched per second, in thousandths
    bundle_count: int


@dataclass(frozen=True, slots=True)
class TableAnnouncement(PeerMessage):
    """Proposes a placement table under an epoch or, with `is_declaration` 1, declares it active.

    Attributes:
        epoch_number: The number of the epoch within the term.
        term: The term of the lease holder that creates the epoch.
        table_digest: Digest of the compiled table.
        rules_digest: Digest of the text of the placement rules; 0 if not stated.
    """

    KIND: ClassVar[int] = 50
    epoch_number: int
    term: int
    table_digest: Digest
    rules_digest: Digest
    is_declaration: Flag


@dataclass(frozen=True, slots=True)
class TableAcknowledgement(PeerMessage):
    """Answers an announcement: tells the lease holder which table the sender has compiled.

    Attributes:
        epoch_number: Number within `term` of the highest epoch that the sender knows.
        table_digest: Digest of the sender's own table, which may differ; 0 if it has none.
        active_epoch: The epoch that the sender uses, truncated to 63 bits; 0 for none.
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
