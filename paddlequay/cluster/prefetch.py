"""Detects live channels from reads, and decides which parts their owner prefetches.

A channel is an object whose parts are produced one after another and read by several clients. It is live once
reads have advanced its highest part `MIN_ADVANCES` times, by at most `MAX_ADVANCE_PARTS` each time and within
`ChannelRule.idle_timeout_s` of the previous advance. A channel's readers are spread over the routers of a
zone, so each router sees advances by one or a few parts, whereas a client that seeks in a recording jumps
farther. While a channel advances, a read of a distant part is ignored, so that a single client cannot end the
channel.
"""

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from paddlequay.cluster.settings import ChannelRule
from paddlequay.cluster.types import NEVER, NameDigest
from paddlequay.placement.homes import digest

MIN_ADVANCES = 2
MAX_ADVANCE_PARTS = 4
RETRY_DELAY_S = 0.5  # after a failed prefetch: the part may not exist yet
RATE_TIME_CONSTANT_S = 5.0  # an event of this age has a weight of 1/e


def channel_id(zone: str, object_name: str) -> NameDigest:
    """Returns the id of an object's channel in a zone; each zone has its own channel, with its own owner."""
    return digest(f"channel/{zone}/{object_name}")


def bundle_lease(zone: str, number: int) -> NameDigest:
    """Returns the digest that identifies the lease of one of a zone's bundles of channels."""
    return digest(f"channels/{zone}/{number}")


@dataclass(frozen=True, slots=True)
class Prefetch:
    """An order to prefetch one part. The driver calls `Channels.writable_term` right before the write."""

    channel: NameDigest
    object_name: str
    class_name: str  # of the first read of the channel
    part: int
    term: int


@dataclass(slots=True)
class DecayingRate:
    """A rate of events per second, averaged with exponential decay."""

    rate_per_s: float = 0.0
    updated_at: float = 0.0

    def per_second(self, now: float) -> float:
        """Returns the rate at `now`, in events per second."""
        return self.rate_per_s * math.exp(min(0.0, self.updated_at - now) / RATE_TIME_CONSTANT_S)

    def add(self, now: float) -> None:
        """Counts one event."""
        self.rate_per_s = self.per_second(now) + 1 / RATE_TIME_CONSTANT_S
        self.updated_at = max(self.updated_at, now)


@dataclass(frozen=True, slots=True)
class PrefetchAttempt:
    """The last prefetch of a part: the owner's term, and when the part may be prefetched again."""

    term: int
    retry_at: float


@dataclass(slots=True)
class Channel:
    """The state of one object's reads and prefetches. Times are by the router's clock."""

    id: NameDigest
    object_name: str
    class_name: str
    highest_part: int
    advanced_at: float
    last_read_at: float
    advances: int = 0
    attempts: dict[int, PrefetchAttempt] = field(default_factory=dict)  # by part

    @property
    def is_live(self) -> bool:
        """Whether reads have advanced the channel at least `MIN_ADVANCES` times."""
        return self.advances >= MIN_ADVANCES

    def needs_prefetch(self, part: int, term: int, now: float) -> bool:
        """Returns whether the owner must prefetch a part: not tried under this term yet, or due again."""
        attempt = self.attempts.get(part)
        return attempt is None or attempt.term != term or now >= attempt.retry_at


class ChannelDetector:
    """The channels read at this router, at most `rule.max_channels`, least recently read first."""

    def __init__(self, zone: str, rule: ChannelRule) -> None:
        self.zone = zone
        self.rule = rule
        self.channels: OrderedDict[NameDigest, Channel] = OrderedDict()

    def record_read(self, object_name: str, class_name: str, part: int, now: float) -> Channel:
        """Records a read and returns its channel. `pop_ended` removes channels beyond the maximum."""
        key = channel_id(self.zone, object_name)
        channel = self.channels.get(key)
        if channel is None:
            channel = Channel(key, object_name, class_name, part, now, now)
            self.channels[key] = channel
        elif now - channel.advanced_at > self.rule.idle_timeout_s:
            channel.highest_part = part
            channel.advanced_at = now
            channel.advances = 0
        elif channel.highest_part < part <= channel.highest_part + MAX_ADVANCE_PARTS:
            channel.highest_part = part
            channel.advanced_at = now
            channel.advances += 1
        channel.last_read_at = now
        self.channels.move_to_end(key)
        return channel

    def pop_ended(self, now: float) -> Iterator[Channel]:
        """Removes and yields channels idle for `rule.idle_timeout_s` and those beyond `rule.max_channels`."""
        while self.channels:
            oldest = next(iter(self.channels.values()))
            is_fresh = now - oldest.last_read_at <= self.rule.idle_timeout_s
            if is_fresh and len(self.channels) <= self.rule.max_channels:
                return
            yield self.channels.pop(oldest.id)

    def due_prefetches(self, channel: Channel, term: int, now: float) -> list[Prefetch]:
        """Returns the prefetches that an owner under `term` must start now.

        Each part is prefetched once per term. It is prefetched again after a failure, or after
        `rule.idle_timeout_s` seconds if the driver never reports a result.
        """
        highest = channel.highest_part
        channel.attempts = {part: attempt for part, attempt in channel.attempts.items() if part > highest}
        due: list[Prefetch] = []
        for part in range(highest + 1, highest + 1 + self.rule.prefetch_parts):
            if channel.needs_prefetch(part, term, now):
                channel.attempts[part] = PrefetchAttempt(term, now + self.rule.idle_timeout_s)
                due.append(Prefetch(channel.id, channel.object_name, channel.class_name, part, term))
        return due

    def record_result(self, prefetch: Prefetch, succeeded: bool, now: float) -> None:
        """Records how a prefetch ended; a failed one is due again after `RETRY_DELAY_S`."""
        channel = self.channels.get(prefetch.channel)
        if channel is None:
            return
        attempt = channel.attempts.get(prefetch.part)
        if attempt is not None and attempt.term == prefetch.term:
            retry_at = NEVER if succeeded else now + RETRY_DELAY_S
            channel.attempts[prefetch.part] = PrefetchAttempt(prefetch.term, retry_at)
