"""Stores which cache holds which part of a live channel, as reported by the channels' owners."""

from collections import OrderedDict
from dataclasses import dataclass

from paddlequay.cluster.types import NameDigest

MAX_PARTS_PER_CHANNEL = 16
MAX_VALIDITY_S = 10.0  # even if an owner reports more


@dataclass(frozen=True, slots=True)
class CacheHint:
    """The cache that holds a part, by the digest of its name, as reported under an owner's term."""

    cache: NameDigest
    term: int
    valid_until: float


class CacheHints:
    """Hints by channel and part, at most `max_channels` times `MAX_PARTS_PER_CHANNEL` of them.

    Hints remain valid when the owner changes, since the part is still in its cache. Of two valid reports on
    one part the one under the higher term is kept.
    """

    def __init__(self, max_channels: int) -> None:
        self.max_channels = max_channels
        self.channels: OrderedDict[NameDigest, dict[int, CacheHint]] = OrderedDict()

    def add(
        self, channel: NameDigest, part: int, cache: NameDigest, term: int, valid_s: float, now: float
    ) -> None:
        """Records that a cache holds a part for `valid_s` seconds, at most `MAX_VALIDITY_S`."""
        hints = self.channels.setdefault(channel, {})
        self.channels.move_to_end(channel)
        known = hints.get(part)
        if known is None or known.term <= term or known.valid_until <= now:
            hints[part] = CacheHint(cache, term, now + min(valid_s, MAX_VALIDITY_S))
        if len(hints) > MAX_PARTS_PER_CHANNEL:
            del hints[min(hints)]
        if len(self.channels) > self.max_channels:
            self.channels.popitem(last=False)

    def find(self, channel: NameDigest, part: int, now: float) -> NameDigest | None:
        """Returns the digest of the cache that holds a part, None if no valid hint is known."""
        hint = self.channels.get(channel, {}).get(part)
        return hint.cache if hint is not None and now < hint.valid_until else None

    def drop_expired(self, now: float) -> None:
        """Removes the least recently reported channels, until one has a valid hint."""
        while self.channels:
            channel, hints = next(iter(self.channels.items()))
            if any(now < hint.valid_until for hint in hints.values()):
                return
            del self.channels[channel]
