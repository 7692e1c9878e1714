"""Fencing tokens of live channels: a node rejects fills that a channel's former owner still sends.

The owner of a channel prefetches its parts under a fencing token (`term` on the wire), and each owner's token
is higher than those of earlier owners. An owner checks its lease right before it sends a request, but the
request can be delayed in queues after that check, so the receiving node compares the tokens as well.
"""

from collections import OrderedDict
from dataclasses import dataclass

MAX_CHANNELS = 16_384  # about 2 MB; above it the channel with the least recent fill is forgotten
TOKEN_MEMORY_S = 60.0  # far longer than a fill under an earlier token can be in flight


@dataclass(frozen=True, slots=True)
class HighestToken:
    """The highest token of a channel, and when a fill was last accepted under it (seconds)."""

    token: int
    last_accepted_at: float


class FencingTokens:
    """The highest fencing token that each channel has used.

    Args:
        max_channels: How many channels are remembered.
        memory_s: For how many seconds after its last accepted fill a channel is remembered.
    """

    def __init__(self, max_channels: int = MAX_CHANNELS, memory_s: float = TOKEN_MEMORY_S) -> None:
        self.max_channels = max_channels
        self.memory_s = memory_s
        self.highest: OrderedDict[int, HighestToken] = OrderedDict()  # by channel, least recent fill first

    def __len__(self) -> int:
        return len(self.highest)

    def accepts(self, channel: int, token: int, now: float) -> bool:
        """Records a fill's token and returns True, unless a higher token of its channel is known.

        A rejected fill does not extend the time for which its channel is remembered. Otherwise a former owner
        that keeps sending would keep the channel's entry for ever.

        Args:
            channel: The channel's number.
            token: The fencing token that the fill was sent under.
            now: The time in seconds.
        """
        self._forget_expired(now)
        known = self.highest.get(channel)
        if known is not None and token < known.token:
            return False
        self.highest[channel] = HighestToken(token, now)
        self.highest.move_to_end(channel)
        if len(self.highest) > self.max_channels:
            self.highest.popitem(last=False)
        return True

    def _forget_expired(self, now: float) -> None:
        """Drops the channels that had no accepted fill for `memory_s` seconds."""
        while self.highest and now - next(iter(self.highest.values())).last_accepted_at > self.memory_s:
            self.highest.popitem(last=False)
