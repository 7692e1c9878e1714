"""Limits that hold over all routers: each has a floor for good, and a grant beside it by what it needs.

docs/cluster/limits.md weighs the ways and gives the proof. A grant lives `bounds.grant_s` from when its Need
was sent, less the drift; the name of a limit for one value tells the rule that it belongs to, so that a
holder knows of values that it has never seen itself. Admission waits for nothing: it decides by what is held.
"""

import heapq
from collections import OrderedDict
from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from itertools import count

from xxhash import xxh3_64_intdigest

from paddlequay.cluster.buckets import Bucket, Places, Times
from paddlequay.cluster.granter import Granter, Holds, Kept
from paddlequay.cluster.messages import PeerMessage, QuotaGrant, QuotaRequest
from paddlequay.cluster.quotas import Share, whole
from paddlequay.cluster.settings import By, LimitRule, Mode
from paddlequay.cluster.types import (
    NEVER,
    Action,
    ClusterBounds,
    Fleet,
    HolderObserved,
    LeaseAcquired,
    LeaseLost,
    LocalEvent,
    NameDigest,
    Peer,
    SendMessage,
    Urgency,
)

VALUE_BITS = 40  # of a limit's name that tell its value; the upper 24 tell its rule
KEYS_MOST = 4096  # limits of single values that a router keeps at a time
LOOKED_AT = 8  # oldest ones that are tried when one has to go
SENT_MOST = 16  # Needs of a limit whose answers would still be taken
SOONER = 12  # a demand that has changed is told at once, but at most so many times in a grant's life
RENEW = 2 / 3  # of a grant's life until it is asked for anew: two tries are left before its end
AGAIN = 1 / 7  # of a grant's life until a Need that has no answer is sent again, later each time
NUMBERS = 20  # bits of a Need's number below the incarnation: two processes never use the same
NUMBER_MOST = 2**63


def lease_of(rule: LimitRule) -> NameDigest:
    """The lease whose holder grants a rule's limits."""
    return xxh3_64_intdigest(f"limit/{rule.name}")


def limit_of(lease: NameDigest, value: str) -> NameDigest:
    """A rule's limit for one value, by number; values that share a digest share a limit: never over."""
    low = (1 << VALUE_BITS) - 1
    return (lease & ~low) | (xxh3_64_intdigest(value) & low)


@dataclass(frozen=True, slots=True)
class Ticket:
    """Leave to start a request; `Limits.done` takes it back when the request is over, however it ended."""

    number: int
    limits: tuple[NameDigest, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """No leave: by which rule, and in how many seconds it is worth asking again."""

    rule: str
    retry_in: float


@dataclass(slots=True)
class Line:
    """One limit of one value, as this router uses it."""

    rule: LimitRule
    kept: Kept
    store: Bucket | Places
    sent: dict[int, float] = field(default_factory=dict)  # Needs by number, and when
    number: int = 0  # of the Need that the grant in use answers
    next: float = NEVER  # when a Need is due
    asked_at: float = -NEVER
    vain: float = NEVER  # since when Needs have gone unanswered
    refused: bool = False  # since the last Need
    told: int = 0  # thousandths that the last Need asked for
    loud: float = -NEVER  # when all were asked


class Limits:
    """This router's side of all limits, and the holder's where it has the lease: one `Part`.

    `incarnation` is this process's; `stay` is how many seconds grants of places live longer than
    `bounds.grant_s`, the same at all routers: the longest request that may start on a granted place. `shut`
    is the longest time-out of a request: so long floors of places stay shut after a start, `first` says that
    no process was before. `fast` is the most by which this clock runs faster than true time, a share of
    every rate that it costs; `bounds.drift_ratio` where it is not told. After `admit`, `due()` may be earlier
    than before.
    """

    HANDLED_MESSAGES: tuple[type[PeerMessage], ...] = (QuotaRequest, QuotaGrant)
    bucket: type[Bucket] = Bucket
    places: type[Places] = Places
    granters: type[Granter] = Granter

    def __init__(
        self,
        fleet: Fleet,
        bounds: ClusterBounds,
        rules: Iterable[LimitRule],
        holds: Holds,
        incarnation: int,
        now: float,
        *,
        stay: float = 0.0,
        shut: float = 30.0,
        first: bool = False,
        fast: float | None = None,
        keys_most: int = KEYS_MOST,
    ) -> None:
        """Raises ValueError for rules that cannot be kept, or whose names cannot be told apart."""
        self.fleet = fleet
        self.bounds = bounds
        self.incarnation = incarnation
        self.keys_most = keys_most
        self.fast = bounds.drift_ratio if fast is None else fast
        self.granter = self.granters(bounds, fleet.size, holds)
        self.times = Times(
            now,
            self.pace(),
            bounds.epoch_s,
            0.0 if first else shut * (1 + bounds.drift_ratio) / (1 - bounds.drift_ratio),
            bounds.grant_s / 3,
        )
        self.by: dict[By, list[tuple[LimitRule, Kept]]] = {}
        self.rules: dict[int, tuple[LimitRule, Kept]] = {}  # by the upper bits of its limits' names
        for rule in rules:
            lease = lease_of(rule)
            life = bounds.grant_s + (stay if rule.at_once is not None else 0.0)
            kept = Kept(lease, whole(rule, fleet.size), life)
            if lease >> VALUE_BITS in self.rules:
                raise ValueError(
                    f"limit {rule.name}: another has the same name, or one that cannot be told apart"
                )
            self.rules[lease >> VALUE_BITS] = rule, kept
            self.by.setdefault(rule.by, []).append((rule, kept))
        self.lines: OrderedDict[NameDigest, Line] = OrderedDict()
        self.heap: list[tuple[float, NameDigest]] = []
        self.holders: dict[NameDigest, tuple[int, Peer]] = {}  # by lease: term and who
        self.numbers = count((incarnation << NUMBERS) % NUMBER_MOST + 1)
        self.tickets = count(1)

    def pace(self) -> float:
        """True seconds in one of this clock, at least: a fast clock must not fill buckets fast."""
        return 1 / (1 + self.fast)

    @property
    def leases(self) -> tuple[NameDigest, ...]:
        """The leases that somebody has to hold."""
        return tuple(kept.lease for _, kept in self.rules.values())

    # --- use ---

    def admit(self, by: By, value: str, now: float, lasts: float) -> Ticket | Refused:
        """Leave for one request that will have ended in `lasts` seconds, by its time-out."""
        return self.admit_all(((by, value),), now, lasts)

    def admit_all(self, what: Iterable[tuple[By, str]], now: float, lasts: float) -> Ticket | Refused:
        """Leave under all rules that it falls under, or none: what others would have allowed is not used."""
        lines: dict[NameDigest, Line] = {}
        for by, value in what:
            for rule, kept in self.by.get(by, ()):
                if rule.match not in ("*", value):
                    continue
                limit = limit_of(kept.lease, value)
                line = self.line(limit, rule, kept, now, lines)
                if line is None:
                    return Refused(rule.name, self.bounds.grant_s)
                lines[limit] = line
        refusing = []
        for limit, line in lines.items():
            line.store.advance(now, self.cut_off(line))
            if not line.store.fits(now, lasts):
                refusing.append((limit, line))
        if refusing:
            # Demand counts where it is refused: elsewhere a higher share would be of no use to it.
            for limit, line in refusing:
                line.store.asked.add(now)
                line.refused = True
                self.want(limit, line, max(now, line.asked_at + self.bounds.grant_s / SOONER))
            waits = [(self.retry_in(line, now), line.rule.name) for _, line in refusing]
            retry_in, name = max(waits)
            return Refused(name, retry_in)
        number = next(self.tickets)
        for limit, line in lines.items():
            line.store.take(number, now, lasts)
            if isinstance(line.store, Bucket):
                line.store.asked.add(now)
            self.want(limit, line, max(now, line.asked_at + self.bounds.grant_s * RENEW))
        return Ticket(number, tuple(lines))

    def done(self, ticket: Ticket, now: float) -> None:
        """A request is over: its places are free. Tokens of a rate are spent. Twice is as once."""
        for limit in ticket.limits:
            line = self.lines.get(limit)
            if line is not None:
                line.store.give(ticket.number)

    def retry_in(self, line: Line, now: float) -> float:
        """When it is worth asking again: a token is there, or another answer of the holder can be."""
        told = line.store.retry_in(now)
        return min(told, 1.0) if told is not None else self.bounds.grant_s / 3

    def line(
        self, limit: NameDigest, rule: LimitRule, kept: Kept, now: float, held: Container[NameDigest] = ()
    ) -> Line | None:
        """The line of a limit; None where all that are kept are in use.

        One may go only if it is as if it had never been: no grant, nothing out, a floor's bucket full. Needs
        that it sent are forgotten with it, so that their answers are void.
        """
        line = self.lines.get(limit)
        if line is not None:
            self.lines.move_to_end(limit)
            return line
        if len(self.lines) >= self.keys_most:
            for name in self.oldest():
                if name not in held and self.may_go(self.lines[name], now):
                    del self.lines[name]
                    break
            else:
                return None
        kind = self.places if rule.at_once is not None else self.bucket
        line = self.lines[limit] = Line(rule, kept, kind(kept.whole, self.times, now))
        return line

    def oldest(self) -> list[NameDigest]:
        names = iter(self.lines)
        return [next(names) for _ in range(min(LOOKED_AT, len(self.lines)))]

    def may_go(self, line: Line, now: float) -> bool:
        line.store.advance(now, self.cut_off(line))
        return line.store.idle()

    # --- asking ---

    def cut_off(self, line: Line) -> bool:
        """Whether its grant runs out while it asks in vain: not so where it has ceased to ask."""
        if line.rule.mode is not Mode.OPEN:
            return False
        return any(number > line.number and at < line.store.until for number, at in line.sent.items())

    def want(self, limit: NameDigest, line: Line, at: float) -> None:
        if at < line.next:
            line.next = at
            heapq.heappush(self.heap, (at, limit))

    def due(self) -> float:
        while self.heap:
            at, limit = self.heap[0]
            line = self.lines.get(limit)
            if line is not None and line.next == at:
                return at
            heapq.heappop(self.heap)
        return NEVER

    def tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while self.due() <= now:
            _, limit = heapq.heappop(self.heap)
            line = self.lines[limit]
            line.next = NEVER
            actions += self.ask(limit, line, now)
        return actions

    def ask(self, limit: NameDigest, line: Line, now: float) -> list[Action]:
        """Tell the holder what is needed, as long as it is more than the floor gives."""
        line.store.advance(now, self.cut_off(line))
        milli = min(line.store.demand(now), line.kept.whole.limit.milli)
        if milli <= line.kept.whole.floor.milli and not line.refused:
            return []
        renewed = line.asked_at + self.bounds.grant_s * RENEW
        if line.number in line.sent and now < renewed and abs(milli - line.told) * 8 <= line.told:
            # Refused, but its last Need was answered, and the same again would get the same.
            self.want(limit, line, renewed)
            return []
        line.refused = False
        line.told = milli
        number = next(self.numbers)
        line.sent[number] = line.asked_at = now
        for old in [old for old, at in line.sent.items() if at + line.kept.life < now]:
            del line.sent[old]
        while len(line.sent) > SENT_MOST:
            del line.sent[next(iter(line.sent))]
        # Where nothing answers, or the holder is too busy to, each wait is as long as all before it.
        again = max(self.bounds.grant_s * AGAIN, now - line.vain)
        self.want(limit, line, now + min(again, self.bounds.grant_s))
        lease = line.kept.lease
        term, holder = self.holders.get(lease, (0, self.fleet.me))
        need = QuotaRequest(limit, number, milli, term)
        if self.granter.holding(lease, now) is not None:
            grant = self.granter.need(line.kept, self.fleet.me, self.incarnation, need, now)
            if grant is not None:
                self.take(self.fleet.me, grant, now)
            return []
        line.vain = min(line.vain, now)
        patience = self.bounds.grant_s
        if holder != self.fleet.me and (now < line.vain + patience or now < line.loud + patience):
            return [SendMessage(holder, need, Urgency.CHANGE)]
        if now < line.loud + patience:
            return []
        line.loud = now  # nobody known answers: ask all who may hold the lease
        voters = [peer for peer in self.fleet.acceptors if peer != self.fleet.me]
        return [SendMessage(peer, need, Urgency.CHANGE) for peer in voters or (None,)]

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        if isinstance(message, QuotaRequest):
            known = self.rules.get(message.limit >> VALUE_BITS)
            if known is None:
                return []
            grant = self.granter.need(known[1], sender, incarnation, message, now)
            return [] if grant is None else [SendMessage(sender, grant, Urgency.CHANGE)]
        if isinstance(message, QuotaGrant):
            self.take(sender, message, now)
        return []

    def since(self, line: Line, message: QuotaGrant, now: float) -> float | None:
        """When a grant's life began; None for one that is void: for no Need, an old one, of a lower term."""
        term, _ = self.holders.get(line.kept.lease, (0, 0))
        if message.request_number <= line.number or message.term < term:
            return None
        return line.sent.get(message.request_number)

    def take(self, sender: Peer, message: QuotaGrant, now: float) -> None:
        """Use a grant, if it answers a Need of this process and is not over."""
        line = self.lines.get(message.limit)
        sent = self.since(line, message, now) if line is not None else None
        if line is None or sent is None:
            return
        line.store.advance(now, self.cut_off(line))
        line.number = message.request_number
        line.vain = NEVER
        if line.next != NEVER and message.request_number == max(line.sent):
            line.next = max(line.next, line.asked_at + self.bounds.grant_s * RENEW)
            heapq.heappush(self.heap, (line.next, message.limit))
        self.seen(line.kept.lease, sender, message.term)
        until = sent + min(message.valid_ms / 1000, line.kept.life) * (1 - self.bounds.drift_ratio)
        if until > now:
            pool = line.kept.whole.pool
            line.store.grant(Share(message.amount_milli, message.burst_milli).least(pool), until)

    def seen(self, lease: NameDigest, holder: Peer, term: int) -> None:
        if term >= self.holders.get(lease, (0, 0))[0]:
            self.holders[lease] = term, holder

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        if isinstance(event, LeaseAcquired | LeaseLost | HolderObserved) and event.lease not in self.leases:
            return []
        if isinstance(event, LeaseAcquired):
            self.granter.taken(event.lease, event.term, now)
            self.seen(event.lease, self.fleet.me, event.term)
        elif isinstance(event, HolderObserved):
            self.seen(event.lease, event.holder, event.term)
        return []
