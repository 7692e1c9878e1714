"""What waits to be sent: notes packed into datagrams, the most urgent first, within a bound on bytes.

The bound is a token bucket of `rate` bytes a second and `burst` bytes; a datagram to all costs its length for
each receiver. In any span of t seconds a router sends at most `burst + rate * t`, and a fleet of n routers
n times that, however many notes its parts tell: notes wait, are replaced or dropped, and are counted.

`reserve`, one full datagram to all, is a part of `burst` that only leases use: whatever the other notes are,
a lease's note goes at once unless leases have used the reserve themselves, and then waits no longer than the
bytes of the lease notes before it and its own take at `rate`. As nothing else goes while less than the
reserve is left, nothing else overtakes a lease's note that waits for tokens either.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from paddlequay.cluster.messages import PeerMessage
from paddlequay.cluster.types import NEVER, ClusterBounds, Peer, SendMessage, Urgency
from paddlequay.cluster.wire import DATAGRAM_MOST, NOTES_MOST, Wire

To = Peer | None  # None: all others

LANE_MOST = 64  # notes that wait for one receiver at one urgency; about eight datagrams
ALL_MOST = 4096  # notes that wait at one urgency, or twice the fleet's size where that is more
SWEEPS = 8  # times that a full queue is searched for old notes while a note grows old
STALL = 0.25  # seconds of sending that are not lost when the process is not run for so long
NEWS_PART = 8  # of the age of evidence: an age is fixed when told, and verdicts allow 0.5 s for its way
ROUTINE_AGE = 1.0  # seconds: parts repeat what is routine about once a second, and say it better then
QUEUE_NAMES = {Urgency.LEASE: "lease", Urgency.CHANGE: "news", Urgency.ROUTINE: "routine"}  # in counters
SUBJECTS = ("lease", "limit", "subject", "channel", "bundle", "peer")  # what a note is about


@dataclass(frozen=True, slots=True)
class Packet:
    """A datagram to send to one peer, or to all others."""

    to: To
    data: bytes


@dataclass(frozen=True, slots=True)
class Item:
    data: bytes
    since: float


def subject(message: PeerMessage) -> object:
    """What a newer note of the same kind replaces."""
    name = next((name for name in SUBJECTS if hasattr(message, name)), None)
    return message.KIND, None if name is None else getattr(message, name)


class Queue:
    """The notes of one urgency: a lane for each receiver, and the receivers in turn."""

    def __init__(self, urgency: Urgency, age: float, most: int, counts: Counter[str]) -> None:
        self.age, self.most, self.counts = age, most, counts
        self.name = QUEUE_NAMES[urgency]
        self.replaces = urgency is Urgency.ROUTINE
        self.lanes: dict[To, dict[object, Item]] = {}  # the first is next; empty ones are taken out
        self.count = 0
        self.number = 0
        self.swept = -math.inf

    def put(self, to: To, message: PeerMessage, data: bytes, now: float) -> None:
        """A full lane loses its oldest note; a full queue takes no more."""
        lane = self.lanes.get(to, {})
        self.number += 1
        key: object = subject(message) if self.replaces else self.number
        if key in lane:
            self.drop("replaced")
            lane[key] = Item(data, now)  # it keeps its turn, so that nothing is put off for ever
            return
        if len(lane) >= LANE_MOST:
            self.drop("full")
            self.remove(to, [next(iter(lane))])
        elif self.count >= self.most:
            self.sweep(now)
            if self.count >= self.most:
                return self.drop("full")
        self.lanes.setdefault(to, {})[key] = Item(data, now)
        self.count += 1

    def drop(self, why: str, count: int = 1) -> None:
        self.counts[f"dropped.{why}.{self.name}"] += count

    def remove(self, to: To, keys: Iterable[object]) -> None:
        lane = self.lanes[to]
        for key in keys:
            del lane[key]
            self.count -= 1
        if not lane:
            del self.lanes[to]

    def expire(self, to: To, now: float) -> None:
        """Drop what has waited too long for one receiver."""
        if old := [key for key, item in self.lanes.get(to, {}).items() if now - item.since > self.age]:
            self.drop("old", len(old))
            self.remove(to, old)

    def sweep(self, now: float) -> None:
        """Drop what is too old for any receiver, where this was not done just before."""
        if now - self.swept >= self.age / SWEEPS:
            self.swept = now
            for to in list(self.lanes):
                self.expire(to, now)

    def first(self, now: float) -> Item | None:
        """The note whose turn it is, for the first of `lanes`."""
        while self.lanes:
            to = next(iter(self.lanes))
            self.expire(to, now)
            if to in self.lanes:
                return next(iter(self.lanes[to].values()))
        return None

    def sent(self, to: To, keys: list[object]) -> None:
        """These have gone: the other receivers first."""
        self.remove(to, keys)
        if to in self.lanes:
            self.lanes[to] = self.lanes.pop(to)


class Outbox:
    """All that one router sends; `counts` tells what was sent, and what was dropped and why.

    Time must not go back. What is told to oneself, to no peer or out of range is dropped and counted.
    """

    def __init__(
        self,
        wire: Wire,
        bytes_per_s: float,
        bounds: ClusterBounds,
        now: float,
        routine_age: float = ROUTINE_AGE,
    ) -> None:
        self.wire, self.fleet, self.rate = wire, wire.fleet, float(bytes_per_s)
        self.reserve = DATAGRAM_MOST * max(1, self.fleet.size - 1)
        self.burst = self.reserve + max(self.reserve, STALL * self.rate)
        self.tokens, self.at = float(self.burst), now
        self.counts: Counter[str] = Counter()
        most = max(ALL_MOST, 2 * self.fleet.size)
        # An answer about a lease that has waited as long as a lease lives is of use to nobody.
        change_age_s = bounds.evidence_s / NEWS_PART
        ages = {Urgency.LEASE: bounds.lease_s, Urgency.CHANGE: change_age_s, Urgency.ROUTINE: routine_age}
        self.queues = {each: Queue(each, ages[each], most, self.counts) for each in Urgency}

    def put(self, message: SendMessage, now: float) -> None:
        """Let a note wait for `take`."""
        if message.to is None:
            if self.fleet.size < 2:
                return
        elif not 0 <= message.to < self.fleet.size or message.to == self.fleet.me:
            self.counts["dropped.receiver"] += 1
            return
        try:
            data = self.wire.codec.pack_message(message.message)
        except ValueError:
            self.counts["dropped.invalid"] += 1
            return
        self.queues[message.urgency].put(message.to, message.message, data, now)

    def take(self, now: float) -> list[Packet]:
        """What is to be sent now, in this order."""
        if now > self.at:
            self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
            self.at = now
        packets = []
        while (packet := self.next(now)) is not None:
            packets.append(packet)
        return packets

    def due(self) -> float:
        """When `take` may next have something to send; `NEVER` where nothing waits."""
        for urgency, queue in self.queues.items():
            for to, lane in queue.lanes.items():
                missing = self.needed(to, urgency, next(iter(lane.values()))) - self.tokens
                # A hair late, so that rounding does not wake the driver for a token too few.
                return self.at if missing <= 0 else self.at + (missing + 1e-3) / self.rate
        return NEVER

    def price(self, to: To) -> int:
        """Tokens that a byte costs."""
        return self.fleet.size - 1 if to is None else 1

    def kept(self, urgency: Urgency) -> int:
        """Tokens that must be left when notes of an urgency have gone."""
        return 0 if urgency is Urgency.LEASE else self.reserve

    def head(self) -> int:
        """Bytes of the next datagram beside its notes."""
        return DATAGRAM_MOST - self.wire.room()

    def needed(self, to: To, urgency: Urgency, item: Item) -> int:
        """Tokens with which a note may go alone."""
        return (self.head() + len(item.data)) * self.price(to) + self.kept(urgency)

    def next(self, now: float) -> Packet | None:
        """The next datagram: for the receiver whose turn it is, of the most urgent notes that there are.

        Where the tokens do not reach for it, all wait: what is cheaper must not put off what is dearer.
        """
        for urgency, queue in self.queues.items():
            if (item := queue.first(now)) is not None:
                to = next(iter(queue.lanes))
                return self.fill(to, now) if self.needed(to, urgency, item) <= self.tokens else None
        return None

    def fill(self, to: To, now: float) -> Packet:
        """A datagram with as many notes for a receiver as fit and are paid for, the most urgent first."""
        length, messages = self.head(), list[bytes]()
        for each in Urgency:
            queue = self.queues[each]
            queue.expire(to, now)
            # What lies beside a lease's note must leave the reserve as it would alone.
            longest = min(DATAGRAM_MOST, math.floor((self.tokens - self.kept(each)) / self.price(to)))
            keys = []
            for key, item in queue.lanes.get(to, {}).items():
                if len(messages) == NOTES_MOST or length + len(item.data) > longest:
                    break
                messages.append(item.data)
                length += len(item.data)
                keys.append(key)
            if keys:
                queue.sent(to, keys)
        packet = Packet(to, self.wire.write(messages))
        cost = self.price(to) * len(packet.data)
        self.tokens -= cost
        self.counts.update({"sent": 1, "sent.notes": len(messages), "sent.bytes": cost})
        return packet
