"""Terms of channels: a node refuses what an owner that has been followed by another one still sends.

Who fills a live channel ahead does so under a term, and each owner's term is higher than the one's before it.
An owner checks that it still is one right before it writes; between that check and the arrival lie queues and
stops that it cannot see, so whoever takes the fill compares.
"""

from collections import OrderedDict

CHANNELS_MOST = 16_384  # remembered, some 2 MB; past it the one not heard of for longest is forgotten
KEPT_S = 60.0  # after the last word of a channel: far longer than any fill lives that was written before


class FencingTokens:
    """The highest term seen of each channel; bounded by `most` channels and `kept` seconds."""

    def __init__(self, most: int = CHANNELS_MOST, kept: float = KEPT_S) -> None:
        self.most, self.kept = most, kept
        self.seen: OrderedDict[int, tuple[int, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self.seen)

    def takes(self, channel: int, term: int, now: float) -> bool:
        """Whether a fill under this term may be taken: no higher one was seen of its channel."""
        while self.seen and now - next(iter(self.seen.values()))[1] > self.kept:
            self.seen.popitem(last=False)
        known = self.seen.get(channel)
        if known is not None and term < known[0]:
            return False  # the old owner's word keeps nothing alive
        self.seen[channel] = (term, now)
        self.seen.move_to_end(channel)
        if len(self.seen) > self.most:
            self.seen.popitem(last=False)
        return True
