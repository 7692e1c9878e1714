"""Bids for leases: asking, proposing, holding and renewing, and trying again at a bounded pace.

What a bid believes rests on one count: from before a proposal was first sent, less the drift. `leases.py` has
the whole argument.
"""

import heapq
import random
from dataclasses import dataclass, field
from enum import Enum

from paddlequay.cluster.acceptor import counter
from paddlequay.cluster.messages import Accept, PeerMessage, Prepare, Promise, Propose, Reject, Release
from paddlequay.cluster.types import (
    NEVER,
    Action,
    ClusterBounds,
    Fleet,
    HolderObserved,
    LeaseAcquired,
    LeaseLost,
    LogEvent,
    NameDigest,
    Peer,
    SendMessage,
    Urgency,
)

BIDS_MOST = 4096  # leases that one router wants at once
HINTS_MOST = 8192  # leases whose holders are remembered
PACE = 25.0  # elections a second that a router starts, some 3 notes of 20 bytes each
BURST = 8.0  # of them at once
CLOCK_MOST = (1 << 31) - 1  # ballots have 63 bits

# As shares of the longest lease.
PHASE = 0.2  # for answers of a majority, before an election is given up
RESEND = 1 / 15  # for an answer, before a note is sent again
BACKOFF = 1 / 30  # after a lost election, doubled from one to the next
SPREAD = 0.2  # over which those who wait for the same lock's end are spread
EAGER = 0.4  # for how long an successor hurries

DOUBLINGS = 4
ROUNDS = 3  # proposals of a bid whose answers still count


class Phase(Enum):
    WAITING = "waiting"
    QUEUED = "queued"
    ASKING = "asking"
    PROPOSING = "proposing"
    HOLDING = "holding"


@dataclass(slots=True)
class Round:
    """A proposal: when it was first sent, and who has accepted it."""

    sent: float
    accepted: set[Peer] = field(default_factory=set)


@dataclass(slots=True)
class Bid:
    """A lease that this router wants or holds. Times are by its own clock."""

    lease: NameDigest
    at: float  # when there is something to do next
    phase: Phase = Phase.WAITING
    ballot: int = 0
    spent: bool = True  # the ballot cannot win any more
    tries: int = 0  # elections lost in a row
    gives_up: float = 0.0
    promised: set[Peer] = field(default_factory=set)
    refused: dict[Peer, float] = field(default_factory=dict)  # for how many seconds; 0: ask anew at will
    number: int = 0  # of the proposal
    rounds: dict[int, Round] = field(default_factory=dict)
    until: float = 0.0  # held before that
    renews: float = 0.0
    eager: float = 0.0  # hurries until then: the lease was left to this router


class Proposer:
    """All bids of a router. Notes in the returned actions may be to itself: `Leases` plays them."""

    def __init__(self, fleet: Fleet, bounds: ClusterBounds, rng: random.Random) -> None:
        self.fleet = fleet
        self.bounds = bounds
        self.rng = rng
        self.clock = 0  # the highest counter heard of
        self.term_ms = int(bounds.lease_s * 1000)
        self.run = fleet.me << 16 | rng.getrandbits(16)
        self.bids: dict[NameDigest, Bid] = {}
        self.hints: dict[NameDigest, tuple[Peer, int, float]] = {}
        self._alarms: list[tuple[float, NameDigest]] = []
        self._queue: list[NameDigest] = []  # leases whose election waits for the pace
        self._tokens = BURST
        self._filled = 0.0

    # --- what the router asks for ---

    def request(self, lease: NameDigest, now: float) -> list[Action]:
        if lease in self.bids:
            return []
        if len(self.bids) >= BIDS_MOST:
            return [LogEvent("lease-refused", (("lease", lease), ("most", BIDS_MOST)))]
        bid = self.bids[lease] = Bid(lease, now)
        self._wake(bid, now)
        return []

    def release(self, lease: NameDigest, now: float, successor: Peer | None) -> list[Action]:
        bid = self.bids.pop(lease, None)
        if bid is None:
            return []
        out: list[Action] = []
        if bid.phase is Phase.HOLDING:
            out.append(LeaseLost(lease, bid.ballot))
        if bid.phase in (Phase.HOLDING, Phase.PROPOSING):
            out += self._release(bid, self.fleet.me if successor is None else successor)
        return out

    def holds(self, lease: NameDigest, now: float) -> int | None:
        bid = self.bids.get(lease)
        return bid.ballot if bid is not None and self.counts(bid, now) else None

    def counts(self, bid: Bid, now: float) -> bool:
        """The bid holds its lease at this moment."""
        return bid.phase is Phase.HOLDING and now < bid.until

    def holder(self, lease: NameDigest, now: float) -> Peer | None:
        if self.holds(lease, now) is not None:
            return self.fleet.me
        hint = self.hints.get(lease)
        return hint[0] if hint is not None and now < hint[2] else None

    def observe_counter(self, value: int) -> None:
        if self.clock < value < CLOCK_MOST:
            self.clock = value

    # --- notes of acceptors ---

    def handle_message(self, sender: Peer, message: PeerMessage, now: float) -> list[Action]:
        out: list[Action] = []
        if sender not in self.fleet.acceptors or not isinstance(message, Promise | Accept | Reject):
            return self._inherits(message, now) if isinstance(message, Release) else out
        bid = self.bids.get(message.lease)
        if isinstance(message, Promise) and message.holder_ballot:
            self._hint(message, now, out)
            self.observe_counter(counter(message.holder_ballot))
        if isinstance(message, Reject):
            self.observe_counter(counter(message.promised))
        if bid is None or message.ballot != bid.ballot or self._lapsed(bid, now, out):
            return out
        if isinstance(message, Accept):
            self._accepted(sender, bid, message, now, out)
        elif isinstance(message, Promise) and not message.holder_ballot:
            bid.refused.pop(sender, None)
            bid.promised.add(sender)
            if bid.phase is Phase.PROPOSING:
                out.append(self._to(sender, self._proposal(bid)))
            elif bid.phase is Phase.ASKING and len(bid.promised) >= self.fleet.majority:
                self._propose(bid, now, out)
        elif bid.phase in (Phase.ASKING, Phase.PROPOSING):
            bid.promised.discard(sender)
            above = message.holder_ballot if isinstance(message, Promise) else message.promised
            bid.spent |= above >= bid.ballot  # equal: a floor, or the ballot was given back
            bid.refused[sender] = self._left(
                message.remaining_ms if isinstance(message, Promise) else message.retry_after_ms
            )
            asking = bid.phase is Phase.ASKING
            able = len(self.fleet.acceptors) - len(bid.refused) if asking else len(bid.promised)
            if able < self.fleet.majority:
                self._lost(bid, now, out)
        return out

    def _accepted(self, sender: Peer, bid: Bid, message: Accept, now: float, out: list[Action]) -> None:
        made = bid.rounds.get(message.round_number)
        if made is None or bid.phase not in (Phase.PROPOSING, Phase.HOLDING):
            return
        made.accepted.add(sender)
        if len(made.accepted) < self.enough():
            return
        until = self.ends(made.sent, now)
        if until <= now:
            return
        bid.until = max(bid.until, until)
        if bid.phase is Phase.PROPOSING:
            bid.phase = Phase.HOLDING
            bid.tries = 0
            bid.renews = made.sent + self._counted() / 3
            self._wake(bid, min(bid.renews, bid.until))
            self.hints.pop(bid.lease, None)
            out.append(LeaseAcquired(bid.lease, bid.ballot, bid.until))

    def enough(self) -> int:
        return self.fleet.majority

    def ends(self, sent: float, now: float) -> float:
        """When a lease ends whose proposal was first sent at `sent`; `now` is no measure of it."""
        return sent + self._counted()

    def _counted(self) -> float:
        return self.term_ms / 1000 * (1 - self.bounds.drift_ratio)

    def _inherits(self, message: Release, now: float) -> list[Action]:
        """A lease was left to this router: it starts at once, whatever the pace, where it wants it."""
        bid = self.bids.get(message.lease)
        if (
            message.successor != self.fleet.me
            or bid is None
            or bid.phase not in (Phase.WAITING, Phase.QUEUED)
        ):
            return []
        self.observe_counter(counter(message.ballot))
        bid.eager = now + self.bounds.lease_s * EAGER
        out: list[Action] = []
        self._ask(bid, now, out)
        return out

    # --- time ---

    def due(self) -> float:
        alarm = self._alarms[0][0] if self._alarms else NEVER
        if not self._queue:
            return alarm
        return min(alarm, self._filled + max(0.0, 1 - self._tokens) / PACE)

    def tick(self, now: float) -> list[Action]:
        out: list[Action] = []
        while self._alarms and self._alarms[0][0] <= now:
            at, lease = heapq.heappop(self._alarms)
            bid = self.bids.get(lease)
            if bid is not None and bid.at == at:
                bid.at = NEVER
                self._step(bid, now, out)
        self._tokens = min(BURST, self._tokens + max(0.0, now - self._filled) * PACE)
        self._filled = now
        while self._queue and self._tokens >= 1:
            # In no order, so that routers that lost the same holder seldom bid for the same lease at once.
            pick = self.rng.randrange(len(self._queue))
            self._queue[pick], self._queue[-1] = self._queue[-1], self._queue[pick]
            bid = self.bids.get(self._queue.pop())
            if bid is not None and bid.phase is Phase.QUEUED:
                self._tokens -= 1
                self._ask(bid, now, out)
        return out

    def _step(self, bid: Bid, now: float, out: list[Action]) -> None:
        if self._lapsed(bid, now, out):
            return
        if bid.phase is Phase.WAITING:
            if now < bid.eager:
                self._ask(bid, now, out)
            else:
                bid.phase = Phase.QUEUED
                self._queue.append(bid.lease)
                if len(self._queue) > 2 * BIDS_MOST:  # most of it is of bids that were dropped
                    self._queue = [one.lease for one in self.bids.values() if one.phase is Phase.QUEUED]
        elif bid.phase is Phase.HOLDING:
            self._renew(bid, now, out)
        elif now >= bid.gives_up:
            self._lost(bid, now, out)
        else:
            self._tell(self._silent(bid.promised | bid.refused.keys()), Prepare(bid.lease, bid.ballot), out)
            if bid.phase is Phase.PROPOSING:
                behind = bid.promised - bid.rounds[bid.number].accepted
                self._tell(sorted(behind), self._proposal(bid), out)
            self._wake(bid, min(bid.gives_up, now + self.bounds.lease_s * RESEND))

    def _ask(self, bid: Bid, now: float, out: list[Action]) -> None:
        """Start an election, under the former ballot where nothing higher was heard of."""
        if bid.spent:
            if self.clock + 1 >= CLOCK_MOST:
                out.append(LogEvent("lease-clock-spent"))
                bid.phase = Phase.WAITING
                self._wake(bid, now + self.bounds.lease_s)
                return
            self.clock += 1
            bid.ballot = self.clock << 32 | self.run
            bid.spent = False
        bid.phase = Phase.ASKING
        bid.promised.clear()
        bid.refused.clear()
        bid.gives_up = now + self.bounds.lease_s * PHASE
        self._wake(bid, now + self.bounds.lease_s * RESEND)
        self._tell(self.fleet.acceptors, Prepare(bid.lease, bid.ballot), out)

    def _propose(self, bid: Bid, now: float, out: list[Action]) -> None:
        bid.phase = Phase.PROPOSING
        bid.spent = True
        bid.refused.clear()
        bid.number = 0
        bid.rounds = {0: Round(now)}
        bid.gives_up = now + self.bounds.lease_s * PHASE
        self._wake(bid, now + self.bounds.lease_s * RESEND)
        self._tell(sorted(bid.promised), self._proposal(bid), out)

    def _renew(self, bid: Bid, now: float, out: list[Action]) -> None:
        """Propose anew at a third of the lease, and until a majority answers send what has no answer."""
        if now >= bid.renews:
            bid.number += 1
            bid.rounds[bid.number] = Round(now)
            bid.rounds.pop(bid.number - ROUNDS, None)
            bid.renews = now + self._counted() / 3
        made = bid.rounds[bid.number]
        again = now + self.bounds.lease_s * RESEND
        if len(made.accepted) < self.fleet.majority:
            self._tell(self._silent(made.accepted), self._proposal(bid), out)
        else:
            again = NEVER
        self._wake(bid, min(bid.renews, bid.until, again))

    def _lapsed(self, bid: Bid, now: float, out: list[Action]) -> bool:
        """A held lease has run out: it is lost for good, even where an answer to a renewal comes now."""
        if bid.phase is not Phase.HOLDING or now < bid.until:
            return False
        out.append(LeaseLost(bid.lease, bid.ballot))
        out += self._release(bid, self.fleet.me)
        self._later(bid, now, self._jitter())
        return True

    def _lost(self, bid: Bid, now: float, out: list[Action]) -> None:
        """An election is over: try again when a majority may be open, or backed off."""
        if bid.phase is Phase.PROPOSING:
            out += self._release(bid, self.fleet.me)
        waits = sorted([*bid.refused.values(), *(0.0 for _ in bid.promised)])
        wait = waits[self.fleet.majority - 1] if len(waits) >= self.fleet.majority else 0.0
        if now < bid.eager:
            self._later(bid, now, self._jitter() / 2)
        elif wait > 0:
            bid.tries = 0
            self._later(bid, now, wait + self.rng.uniform(0, SPREAD * self.bounds.lease_s))
        else:
            bid.tries = min(bid.tries + 1, DOUBLINGS)
            self._later(bid, now, self._jitter() * 2 ** (bid.tries - 1))

    def _left(self, told_ms: int) -> float:
        """Seconds that an acceptor told; none can truly tell more than two leases."""
        return min(told_ms / 1000, 2 * self.bounds.lease_s)

    def _jitter(self) -> float:
        return self.bounds.lease_s * BACKOFF * self.rng.uniform(0.5, 1.5)

    def _later(self, bid: Bid, now: float, wait: float) -> None:
        bid.phase = Phase.WAITING
        bid.rounds = {}
        self._wake(bid, now + wait)

    def _wake(self, bid: Bid, at: float) -> None:
        bid.at = at
        heapq.heappush(self._alarms, (at, bid.lease))

    # --- notes ---

    def _proposal(self, bid: Bid) -> Propose:
        return Propose(bid.lease, bid.ballot, self.term_ms, bid.number)

    def _release(self, bid: Bid, successor: Peer) -> list[Action]:
        out: list[Action] = []
        bid.spent = True
        to = self.fleet.acceptors
        if successor != self.fleet.me and successor not in to:
            to = (*to, successor)
        self._tell(to, Release(bid.lease, bid.ballot, successor), out)
        return out

    def _silent(self, known: set[Peer]) -> list[Peer]:
        return [each for each in self.fleet.acceptors if each not in known]

    def _tell(self, to: "tuple[Peer, ...] | list[Peer]", message: PeerMessage, out: list[Action]) -> None:
        out.extend(self._to(each, message) for each in to)

    def _to(self, peer: Peer, message: PeerMessage) -> SendMessage:
        return SendMessage(peer, message, Urgency.LEASE)

    def _hint(self, message: Promise, now: float, out: list[Action]) -> None:
        """Remember whom an acceptor told of; of two that still count, the higher term."""
        if message.holder == self.fleet.me:
            return
        known = self.hints.pop(message.lease, None)
        if known is not None and known[1] > message.holder_ballot and now < known[2]:
            self.hints[message.lease] = known
            return
        self.hints[message.lease] = (
            message.holder,
            message.holder_ballot,
            now + self._left(message.remaining_ms),
        )
        if len(self.hints) > HINTS_MOST:
            del self.hints[next(iter(self.hints))]
        if known is None or known[1] != message.holder_ballot:
            out.append(HolderObserved(message.lease, message.holder, message.holder_ballot))
