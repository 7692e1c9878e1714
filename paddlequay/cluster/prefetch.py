"""Live channels by what is read of them, which parts their owner fills ahead, and which box holds what.

The evidence for a channel: reads of an object whose class is named for it move its highest part on `RISES`
times, by `STEPS` parts at most each time, each within `live_s` of the one before. A plaza's routers share a
channel's readers, so that each sees steps over one part or a few; whoever seeks in a recording jumps farther.
A far part moves nothing while the channel goes on, so that one odd client cannot end it.
"""

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from paddlequay.cluster.settings import ChannelRule
from paddlequay.cluster.types import NEVER, NameDigest
from paddlequay.placement.homes import digest

RISES = 2
STEPS = 4
RETRY_S = 0.5  # after a fill ahead that failed: the part may not be there yet
PARTS_MOST = 16  # of a channel, whose boxes are remembered
LIFE_MOST = 10.0  # seconds that a box is believed to hold a part, whatever is said
FADE_S = 5.0  # of a rate: what was done so long ago counts a third


def channel_of(zone: str, name: str) -> NameDigest:
    """A channel's number: of this plaza, since another one has an owner and boxes of its own."""
    return digest(f"channel/{zone}/{name}")


def lease_of(zone: str, number: int) -> NameDigest:
    """The lease of a plaza's bundle of channels."""
    return digest(f"channels/{zone}/{number}")


@dataclass(frozen=True, slots=True)
class Ahead:
    """For the driver: fill this part. `may_fill` is to be asked right before it is written."""

    channel: NameDigest
    name: str
    kind: str  # the class of the requests that made the channel
    part: int
    term: int


@dataclass(slots=True)
class Rate:
    """Events a second, fading."""

    value: float = 0.0
    at: float = 0.0

    def now(self, now: float) -> float:
        return self.value * math.exp(min(0.0, self.at - now) / FADE_S)

    def add(self, now: float) -> None:
        self.value, self.at = self.now(now) + 1 / FADE_S, max(self.at, now)


@dataclass(slots=True)
class Channel:
    """What is read of one object. `sent`: the term under which a part was last asked ahead, and when next."""

    number: NameDigest
    name: str
    kind: str
    high: int
    rose: float
    read: float
    rises: int = 0
    sent: dict[int, tuple[int, float]] = field(default_factory=dict)

    @property
    def live(self) -> bool:
        return self.rises >= RISES


class Reads:
    """The table of channels, of `most` at most, the one not read for longest first."""

    def __init__(self, zone: str, rule: ChannelRule) -> None:
        self.zone, self.rule = zone, rule
        self.table: OrderedDict[NameDigest, Channel] = OrderedDict()

    def read(self, name: str, kind: str, part: int, now: float) -> Channel:
        """Count a read; who is past `most` is for `ended` to tell."""
        number = channel_of(self.zone, name)
        known = self.table.get(number)
        if known is None:
            known = self.table[number] = Channel(number, name, kind, part, now, now)
        elif now - known.rose > self.rule.live_s:
            known.high, known.rose, known.rises = part, now, 0
        elif known.high < part <= known.high + STEPS:
            known.high, known.rose, known.rises = part, now, known.rises + 1
        known.read = now
        self.table.move_to_end(number)
        return known

    def ended(self, now: float) -> Iterator[Channel]:
        """Take out and tell what has not been read for `live_s`, or is too much."""
        while self.table:
            first = next(iter(self.table.values()))
            if now - first.read <= self.rule.live_s and len(self.table) <= self.rule.most:
                return
            yield self.table.pop(first.number)

    def due(self, channel: Channel, term: int, now: float) -> list[Ahead]:
        """What an owner under `term` is to fill now; each part once, until it is known to have failed."""
        found: list[Ahead] = []
        channel.sent = {part: sent for part, sent in channel.sent.items() if part > channel.high}
        for part in range(channel.high + 1, channel.high + 1 + self.rule.ahead):
            sent, again = channel.sent.get(part, (0, 0.0))
            if sent != term or now >= again:
                # Where the driver never says how it went, it is asked again after `live_s`.
                channel.sent[part] = (term, now + self.rule.live_s)
                found.append(Ahead(channel.number, channel.name, channel.kind, part, term))
        return found

    def went(self, number: NameDigest, part: int, term: int, well: bool, now: float) -> None:
        """How a fill ahead ended."""
        channel = self.table.get(number)
        if channel is not None and channel.sent.get(part, (0, 0.0))[0] == term:
            channel.sent[part] = (term, NEVER if well else now + RETRY_S)


@dataclass(frozen=True, slots=True)
class Held:
    box: NameDigest
    term: int
    until: float


class Boxes:
    """Which box holds which part, as owners have told; `most` channels of `PARTS_MOST` parts each.

    A part's box stays what it is when the owner changes; for one part the higher term wins.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.table: OrderedDict[NameDigest, dict[int, Held]] = OrderedDict()

    def told(
        self, channel: NameDigest, part: int, box: NameDigest, term: int, life: float, now: float
    ) -> None:
        parts = self.table.setdefault(channel, {})
        self.table.move_to_end(channel)
        known = parts.get(part)
        if known is None or known.term <= term or known.until <= now:
            parts[part] = Held(box, term, now + min(life, LIFE_MOST))
        if len(parts) > PARTS_MOST:
            del parts[min(parts)]
        if len(self.table) > self.most:
            self.table.popitem(last=False)

    def find(self, channel: NameDigest, part: int, now: float) -> NameDigest | None:
        known = self.table.get(channel, {}).get(part)
        return known.box if known is not None and now < known.until else None

    def end(self, now: float) -> None:
        """Forget channels of which nothing holds any more, from the one told of longest ago on."""
        while self.table:
            channel, parts = next(iter(self.table.items()))
            if any(now < held.until for held in parts.values()):
                return
            del self.table[channel]
