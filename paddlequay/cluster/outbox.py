"""Packs queued messages into datagrams, the most urgent first, within a byte limit.

The limit is a token bucket with the rate `bytes_per_s` and the capacity `burst_bytes`; a token pays for one
byte. A datagram to all routers costs its length once per receiver. In any t seconds a router sends at most
`burst_bytes + bytes_per_s * t` bytes, and a fleet of n routers n times that, however many messages components
send: messages that exceed the limit wait, are replaced or are dropped, and `counts` records this.

Of the burst, `reserve_bytes` (one full datagram to all) are reserved for lease messages. A lease message is
therefore sent at once unless earlier lease messages have used up the reserve; in that case it waits only as
long as the lease messages before it and it itself take at `bytes_per_s`. Other messages are not sent while
less than the reserve is left, so none of them overtakes a waiting lease message.
"""

import math
from collections import Counter
from dataclasses import dataclass

from paddlequay.cluster import messages
from paddlequay.cluster.messages import PeerMessage
from paddlequay.cluster.outbox_queue import MessageKey, OutboxQueue, QueuedMessage, Receiver
from paddlequay.cluster.types import NEVER, ClusterBounds, NameDigest, SendMessage, Urgency
from paddlequay.cluster.wire import MAX_DATAGRAM_BYTES, MAX_MESSAGES, Wire

# The messages that may wait at one urgency, unless twice the fleet's size is more.
MIN_QUEUE_CAPACITY = 4096
MAX_STALL_S = 0.25  # the burst makes up for the sending missed in a stall of the process up to this long
# Changes wait at most this fraction of the maximum age of evidence: the age in a message is fixed when the
# message is packed, and verdicts allow 0.5 s for queueing and transit.
CHANGE_MAX_AGE_DIVISOR = 8
ROUTINE_MAX_AGE_S = 1.0  # components send a newer routine message about once a second
TOKEN_ROUNDING_MARGIN = 1e-3  # added to a wait, so that rounding does not end it before the tokens suffice


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram to send to one peer or to all other routers."""

    to: Receiver
    data: bytes


def subject_of(message: PeerMessage) -> NameDigest | None:
    """Returns the subject of a message. A newer routine message of the same kind and subject replaces it."""
    match message:
        case (
            messages.Prepare()
            | messages.Promise()
            | messages.Propose()
            | messages.Accept()
            | messages.Reject()
            | messages.Release()
        ):
            return message.lease
        case messages.QuotaRequest() | messages.QuotaGrant():
            return message.limit
        case messages.Evidence():
            return message.subject
        case messages.ChannelPartReport():
            return message.channel
        case messages.HandoffOffer() | messages.HandoffReply() | messages.HandoffComplete():
            return message.bundle
        case messages.Ack() | messages.PingRequest() | messages.MembershipUpdate():
            return message.peer
    return None


class Outbox:
    """The outgoing messages of one router. `counts` holds what was sent, and what was dropped and why.

    `now` must not decrease between calls. Messages to this router itself or to a number outside the fleet are
    dropped and counted.
    """

    def __init__(
        self,
        wire: Wire,
        bytes_per_s: float,
        bounds: ClusterBounds,
        now: float,
        routine_max_age_s: float = ROUTINE_MAX_AGE_S,
    ) -> None:
        self.wire = wire
        self.fleet = wire.fleet
        self.bytes_per_s = float(bytes_per_s)
        self.reserve_bytes = MAX_DATAGRAM_BYTES * max(1, self.fleet.size - 1)
        self.burst_bytes = self.reserve_bytes + max(self.reserve_bytes, MAX_STALL_S * self.bytes_per_s)
        self.tokens = float(self.burst_bytes)
        self._refilled_at = now
        self.counts: Counter[str] = Counter()
        self._message_count = 0
        max_messages = max(MIN_QUEUE_CAPACITY, 2 * self.fleet.size)
        max_age_s = {
            Urgency.LEASE: bounds.lease_s,  # a reply is useless after the lease has expired
            Urgency.CHANGE: bounds.evidence_s / CHANGE_MAX_AGE_DIVISOR,
            Urgency.ROUTINE: routine_max_age_s,
        }
        self.queues = {
            urgency: OutboxQueue(urgency, max_age_s[urgency], max_messages, self.counts)
            for urgency in Urgency
        }

    def put(self, action: SendMessage, now: float) -> None:
        """Queues a message, which `take` will send."""
        if action.to is None and self.fleet.size < 2:
            return
        if action.to is not None and not self._is_peer(action.to):
            self.counts["dropped.receiver"] += 1
            return
        try:
            data = self.wire.codec.pack_message(action.message)
        except ValueError:
            self.counts["dropped.invalid"] += 1
            return
        key = self._key_of(action)
        self.queues[action.urgency].put(action.to, key, data, now)

    def _is_peer(self, to: int) -> bool:
        return 0 <= to < self.fleet.size and to != self.fleet.me

    def _key_of(self, action: SendMessage) -> MessageKey:
        if action.urgency is Urgency.ROUTINE:
            return MessageKey(action.message.KIND, subject_of(action.message))
        self._message_count += 1
        return MessageKey(action.message.KIND, self._message_count)

    def take(self, now: float) -> list[Datagram]:
        """Returns the datagrams to send now, in order."""
        self._refill(now)
        datagrams = []
        while (datagram := self._next_datagram(now)) is not None:
            datagrams.append(datagram)
        return datagrams

    def _refill(self, now: float) -> None:
        if now > self._refilled_at:
            refill = (now - self._refilled_at) * self.bytes_per_s
            self.tokens = min(self.burst_bytes, self.tokens + refill)
            self._refilled_at = now

    def due(self) -> float:
        """Returns when `take` may next have a datagram to send; `NEVER` while no message waits."""
        for urgency, queue in self.queues.items():
            for to, waiting in queue.by_receiver.items():
                missing = self._required_tokens(to, urgency, next(iter(waiting.values()))) - self.tokens
                if missing <= 0:
                    return self._refilled_at
                return self._refilled_at + (missing + TOKEN_ROUNDING_MARGIN) / self.bytes_per_s
        return NEVER

    def _tokens_per_byte(self, to: Receiver) -> int:
        return self.fleet.size - 1 if to is None else 1

    def _reserve_for(self, urgency: Urgency) -> int:
        """Returns the tokens that messages of an urgency must leave in the bucket."""
        return 0 if urgency is Urgency.LEASE else self.reserve_bytes

    def _header_bytes(self) -> int:
        """Returns the length of the next datagram without its messages."""
        return MAX_DATAGRAM_BYTES - self.wire.available_bytes()

    def _required_tokens(self, to: Receiver, urgency: Urgency, message: QueuedMessage) -> int:
        """Returns the tokens that the bucket must hold for a message to be sent alone."""
        length = self._header_bytes() + len(message.data)
        return length * self._tokens_per_byte(to) + self._reserve_for(urgency)

    def _next_datagram(self, now: float) -> Datagram | None:
        """Returns the next datagram, to the next receiver of the most urgent waiting messages.

        Returns None if the tokens do not suffice for it, even if they would for another message: a cheaper
        message must not delay a more expensive one.
        """
        for urgency, queue in self.queues.items():
            message = queue.next_message(now)
            if message is not None:
                to = next(iter(queue.by_receiver))
                if self._required_tokens(to, urgency, message) > self.tokens:
                    return None
                return self._pack(to, now)
        return None

    def _pack(self, to: Receiver, now: float) -> Datagram:
        """Packs as many messages for a receiver as fit and the tokens allow, the most urgent first."""
        length = self._header_bytes()
        packed: list[bytes] = []
        for urgency, queue in self.queues.items():
            queue.drop_expired(to, now)
            max_length = self._max_length(to, urgency)
            keys = []
            for key, message in queue.by_receiver.get(to, {}).items():
                if len(packed) == MAX_MESSAGES or length + len(message.data) > max_length:
                    break
                packed.append(message.data)
                length += len(message.data)
                keys.append(key)
            if keys:
                queue.remove_sent(to, keys)
        datagram = Datagram(to, self.wire.write(packed))
        cost = self._tokens_per_byte(to) * len(datagram.data)
        self.tokens -= cost
        self.counts.update({"sent": 1, "sent.notes": len(packed), "sent.bytes": cost})
        return datagram

    def _max_length(self, to: Receiver, urgency: Urgency) -> int:
        """Returns the length of the datagram up to which messages of an urgency may be added.

        Messages that are sent along with a lease message must not use the reserve either.
        """
        affordable = (self.tokens - self._reserve_for(urgency)) / self._tokens_per_byte(to)
        return min(MAX_DATAGRAM_BYTES, math.floor(affordable))
