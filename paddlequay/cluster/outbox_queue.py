"""The waiting messages of one urgency in the outbox, with a queue for each receiver."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from paddlequay.cluster.types import NameDigest, Peer, Urgency

Receiver = Peer | None  # None: all other routers

MAX_MESSAGES_PER_RECEIVER = 64  # about eight datagrams
SWEEPS_PER_MAX_AGE = 8  # how often, within the maximum age, a full queue is searched for expired messages

# The names of the queues in names of counters.
QUEUE_NAMES = {Urgency.LEASE: "lease", Urgency.CHANGE: "news", Urgency.ROUTINE: "routine"}


@dataclass(frozen=True, slots=True)
class MessageKey:
    """Identifies a waiting message. A newer message with the same key replaces it.

    `number` is the subject for a routine message, and a unique number for any other message.
    """

    kind: int
    number: NameDigest | None


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A packed message, and when it was queued."""

    data: bytes
    queued_at: float


class OutboxQueue:
    """The waiting messages of one urgency by receiver; receivers are served in turn.

    A message may wait for `max_age_s` seconds; at most `max_messages` messages wait, for all receivers
    together.
    """

    def __init__(self, urgency: Urgency, max_age_s: float, max_messages: int, counters: Counter[str]) -> None:
        self.max_age_s = max_age_s
        self.max_messages = max_messages
        self.counters = counters
        self.name = QUEUE_NAMES[urgency]
        # The first receiver is served next; receivers without messages are removed.
        self.by_receiver: dict[Receiver, dict[MessageKey, QueuedMessage]] = {}
        self.count = 0
        self._last_sweep_at = -math.inf

    def put(self, to: Receiver, key: MessageKey, data: bytes, now: float) -> None:
        """Adds a message. A receiver's full queue drops its oldest; a full outbox drops the new message."""
        waiting = self.by_receiver.get(to, {})
        if key in waiting:
            self._count_dropped("replaced")
            waiting[key] = QueuedMessage(data, now)  # keeps its position, so that it is not delayed forever
            return
        if len(waiting) >= MAX_MESSAGES_PER_RECEIVER:
            self._count_dropped("full")
            self._remove(to, [next(iter(waiting))])
        elif not self._make_room(now):
            self._count_dropped("full")
            return
        self.by_receiver.setdefault(to, {})[key] = QueuedMessage(data, now)
        self.count += 1

    def _make_room(self, now: float) -> bool:
        """Returns whether one more message may wait; drops expired ones first if there are too many."""
        if self.count >= self.max_messages:
            self._sweep(now)
        return self.count < self.max_messages

    def _count_dropped(self, reason: str, count: int = 1) -> None:
        self.counters[f"dropped.{reason}.{self.name}"] += count

    def _remove(self, to: Receiver, keys: Iterable[MessageKey]) -> None:
        waiting = self.by_receiver[to]
        for key in keys:
            del waiting[key]
            self.count -= 1
        if not waiting:
            del self.by_receiver[to]

    def drop_expired(self, to: Receiver, now: float) -> None:
        """Drops expired messages to one receiver."""
        waiting = self.by_receiver.get(to, {})
        expired = [key for key, message in waiting.items() if now - message.queued_at > self.max_age_s]
        if expired:
            self._count_dropped("old", len(expired))
            self._remove(to, expired)

    def _sweep(self, now: float) -> None:
        """Drops expired messages to all receivers, unless this was done recently."""
        if now - self._last_sweep_at >= self.max_age_s / SWEEPS_PER_MAX_AGE:
            self._last_sweep_at = now
            for to in list(self.by_receiver):
                self.drop_expired(to, now)

    def next_message(self, now: float) -> QueuedMessage | None:
        """Drops expired messages and returns the oldest message to the receiver that is served next."""
        while self.by_receiver:
            to = next(iter(self.by_receiver))
            self.drop_expired(to, now)
            if to in self.by_receiver:
                return next(iter(self.by_receiver[to].values()))
        return None

    def remove_sent(self, to: Receiver, keys: list[MessageKey]) -> None:
        """Removes sent messages and moves their receiver behind the other receivers."""
        self._remove(to, keys)
        if to in self.by_receiver:
            self.by_receiver[to] = self.by_receiver.pop(to)
