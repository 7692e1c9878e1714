"""The schedule of a router's bids: a timer for each bid, and a rate-limited queue of elections."""

import heapq
import random
from collections.abc import Iterator, Mapping

from paddlequay.cluster.bids import Bid, Phase
from paddlequay.cluster.types import NEVER, NameDigest

MAX_BIDS = 4096  # leases that one router may bid for or hold at a time
ELECTIONS_PER_S = 25.0  # an election takes about 3 messages of 20 bytes
MAX_ELECTIONS_AT_ONCE = 8.0


class BidSchedule:
    """Tells which bids of a router have to act. Reads `bids`, which the proposer owns."""

    def __init__(self, bids: Mapping[NameDigest, Bid], rng: random.Random) -> None:
        self.bids = bids
        self.rng = rng
        self._timers: list[tuple[float, NameDigest]] = []
        self._queue: list[NameDigest] = []
        self._tokens = MAX_ELECTIONS_AT_ONCE
        self._refilled_at = 0.0

    def wake(self, bid: Bid, at: float) -> None:
        """Sets the time of a bid's next action, which replaces the former one."""
        bid.next_action_at = at
        heapq.heappush(self._timers, (at, bid.lease))

    def enqueue(self, bid: Bid) -> None:
        """Queues a bid until the rate limit admits its election."""
        bid.phase = Phase.QUEUED
        self._queue.append(bid.lease)
        if len(self._queue) > 2 * MAX_BIDS:  # most entries belong to bids that were released
            self._queue = [each.lease for each in self.bids.values() if each.phase is Phase.QUEUED]

    def due(self) -> float:
        """Returns when the first timer fires or the next election may start, whichever is earlier."""
        timer_at = self._timers[0][0] if self._timers else NEVER
        if not self._queue:
            return timer_at
        return min(timer_at, self._refilled_at + max(0.0, 1 - self._tokens) / ELECTIONS_PER_S)

    def due_bids(self, now: float) -> Iterator[Bid]:
        """Yields the bids whose timers have fired, including those set during the iteration."""
        while self._timers and self._timers[0][0] <= now:
            at, lease = heapq.heappop(self._timers)
            bid = self.bids.get(lease)
            if bid is not None and bid.next_action_at == at:
                bid.next_action_at = NEVER
                yield bid

    def admitted_elections(self, now: float) -> Iterator[Bid]:
        """Yields the queued bids whose elections the rate limit admits now.

        The order is random, so that routers that lost the same holder seldom bid for the same lease at once.
        """
        refill = max(0.0, now - self._refilled_at) * ELECTIONS_PER_S
        self._tokens = min(MAX_ELECTIONS_AT_ONCE, self._tokens + refill)
        self._refilled_at = now
        while self._queue and self._tokens >= 1:
            bid = self.bids.get(self._pop_random())
            if bid is not None and bid.phase is Phase.QUEUED:
                self._tokens -= 1
                yield bid

    def _pop_random(self) -> NameDigest:
        picked = self.rng.randrange(len(self._queue))
        self._queue[picked], self._queue[-1] = self._queue[-1], self._queue[picked]
        return self._queue.pop()
