"""A small stub resolver without sockets: what is queried when, of whom, and how long the answer holds.

Subscribed names keep being looked up: refreshed before the shortest lifetime of their set ends, at a time
drawn for each router, so that a fleet does not query in step. Nothing a record says is used past its lifetime
unless no server can be reached, and then for `stale` seconds at most (RFC 8767). Servers are chosen by their
health; what failed is remembered for a while and not queried again at once (RFC 9520). Truncated answers are
queried again by TCP (RFC 7766).

Events in (`subscribe`, `received`, `failed`, `tick`), actions out (`SendQuery`, `RecordSetKnown`).
"""

import heapq
import math
import random
from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import dns.name
import dns.rdatatype

from paddlequay.discovery.answers import (
    AnswerKind,
    DnsAnswer,
    DnsQuestion,
    Name,
    Record,
    build_query,
    parse_answer,
    randomize_case,
)

RecordType = dns.rdatatype.RdataType
Key = tuple[Name, RecordType]
Server = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ResolverLimits:
    """Bounds; times in seconds."""

    max_names: int = 4096  # wanted at the same time
    max_cached: int = 16_384  # sets that are kept
    min_lifetime: float = 1.0  # no set is asked for more often than this, whatever its lifetime
    max_lifetime: float = 3600.0  # nor kept for longer
    max_negative_lifetime: float = 300.0
    stale: float = 3600.0  # past its lifetime, while no server answers
    udp_timeout: float = 0.8  # for one server's answer by UDP; three times that by TCP
    max_attempts: int = 4  # for one question, over all servers
    failure_backoff: float = (
        5.0  # until a question that failed everywhere is asked again; twice as long each time,
    )
    max_failure_backoff: float = 30.0
    refresh: tuple[float, float] = (0.6, 0.95)  # of the lifetime: when in it a set is asked for again,
    first_refresh: tuple[float, float] = (
        0.15,
        0.95,
    )  # and where it is had for the first time, or after an outage:
    # routers that start, or hear of a server again, in one moment must not go on in step
    min_server_backoff: float = 1.0  # a failing server is passed over for this long; twice as long each time
    max_server_backoff: float = 60.0
    max_lookups: int = 256  # questions on their way


@dataclass(frozen=True, slots=True)
class SendQuery:
    """Send this to a server, by TCP or from a new UDP port; its answer or failure comes with this number."""

    number: int
    server: Server
    data: bytes
    tcp: bool
    timeout: float


@dataclass(frozen=True, slots=True)
class RecordSetKnown:
    """What is known of a name now. `until`: the second, by the clock of `tick`, at which it ends.

    `records` are empty where the name or the type is not there; `stale` where no server could be queried and
    the lifetime is over; `None` where nothing at all is known.
    """

    name: Name
    type: RecordType
    records: tuple[Record, ...] | None
    until: float
    stale: bool = False
    reason: str = ""


ResolverAction = SendQuery | RecordSetKnown


@dataclass(slots=True)
class ServerHealth:
    """How a server does: smoothed latency in seconds, and until when it is passed over."""

    smoothed_latency: float = 0.05
    failures: int = 0
    backoff_until: float = -math.inf
    edns: bool = True
    counts: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class CacheEntry:
    """What is known of one record set."""

    answer: DnsAnswer | None = None
    received_at: float = -math.inf
    expires_at: float = -math.inf
    refresh_at: float = -math.inf
    references: int = 0
    failures: int = 0
    in_flight: bool = False
    announced: RecordSetKnown | None = None


@dataclass(slots=True, eq=False)
class Lookup:
    """One query in flight."""

    key: Key
    question: DnsQuestion
    tcp: bool
    sent_at: float
    attempts: int
    tried_servers: list[Server]
    edns: bool
    times_out_at: float = 0.0


class Resolver:
    """All lookups of one process; `rng` is seeded in tests and by the system elsewhere."""

    def __init__(
        self, servers: Iterable[Server], rng: random.Random, limits: ResolverLimits | None = None
    ) -> None:
        self.limits = limits or ResolverLimits()
        self.rng = rng
        self.servers = list(dict.fromkeys(servers))
        if not self.servers:
            raise ValueError("expected at least one server")
        self.health = {server: ServerHealth() for server in self.servers}
        self.entries: OrderedDict[Key, CacheEntry] = OrderedDict()
        self.lookups: dict[int, Lookup] = {}
        self.last_number = 0
        self.referenced_names = 0
        self.timers: list[tuple[float, int, Key]] = []
        self.counts: Counter[str] = Counter()
        self.actions: list[ResolverAction] = []

    # --- what is wanted ---

    def subscribe(self, name: Name, kind: RecordType, now: float) -> list[ResolverAction]:
        """Keep a record set looked up until `unsubscribe` came as often. Raises ValueError past the bound."""
        self.actions = []
        key = (name.canonicalize(), kind)
        entry = self.entries.get(key)
        if entry is None or not entry.references:
            if self.referenced_names >= self.limits.max_names:
                raise ValueError(f"more than {self.limits.max_names} names are wanted")
            self.referenced_names += 1
        entry = self.entry(key)
        entry.references += 1
        if entry.announced is not None and now < entry.expires_at:
            self.actions.append(entry.announced)
        if now >= entry.refresh_at:
            self.start_lookup(key, now)
        return self.actions

    def unsubscribe(self, name: Name, kind: RecordType) -> None:
        """One subscriber less; an unknown name is no error."""
        entry = self.entries.get((name.canonicalize(), kind))
        if entry is not None and entry.references:
            entry.references -= 1
            self.referenced_names -= not entry.references

    def known(self, name: Name, kind: RecordType) -> RecordSetKnown | None:
        """What was announced last of a record set."""
        entry = self.entries.get((name.canonicalize(), kind))
        return None if entry is None else entry.announced

    def entry(self, key: Key) -> CacheEntry:
        """The entry of a record set, a new one where there is none; idle ones are dropped past the bound."""
        entry = self.entries.get(key)
        if entry is None:
            entry = self.entries[key] = CacheEntry()
            while len(self.entries) > self.limits.max_cached:
                idle = next(
                    (k for k, e in self.entries.items() if not e.references and not e.in_flight), None
                )
                if idle is None or idle == key:
                    break
                del self.entries[idle]
        self.entries.move_to_end(key)
        return entry

    # --- asking ---

    def start_lookup(self, key: Key, now: float) -> None:
        """Look a record set up, unless that is under way or too many lookups are."""
        entry = self.entries[key]
        if entry.in_flight:
            return
        if len(self.lookups) >= self.limits.max_lookups:
            self.counts["put_off"] += 1
            return self.schedule(key, now + self.limits.min_lifetime)
        entry.in_flight = True
        self.send_query(key, now, [], 0, False)

    def send_query(self, key: Key, now: float, tried_servers: list[Server], attempts: int, tcp: bool) -> None:
        """Query the best server not tried yet, or the best of all where each was."""
        server = self.choose_server(tried_servers, now) if not tcp else tried_servers[-1]
        health = self.health[server]
        self.last_number += 1
        name = randomize_case(key[0], self.rng)
        question = DnsQuestion(name, key[1], self.rng.getrandbits(16), server)
        timeout = self.limits.udp_timeout * (3 if tcp else 1)
        lookup = Lookup(
            key, question, tcp, now, attempts + 1, [*tried_servers, server], health.edns, now + timeout
        )
        self.lookups[self.last_number] = lookup
        self.counts["sent_tcp" if tcp else "sent_udp"] += 1
        health.counts["asked"] += 1
        self.actions.append(
            SendQuery(self.last_number, server, build_query(question, health.edns), tcp, timeout)
        )
        self.schedule(key, lookup.times_out_at)

    def choose_server(self, tried_servers: list[Server], now: float) -> Server:
        """By health: who is not passed over first, then who answers soonest, in bands that keep the order."""

        def rank(server: Server) -> tuple[bool, bool, int, int]:
            health = self.health[server]
            band = int(math.log2(max(health.smoothed_latency, 0.001) * 1000))
            return (
                server in tried_servers,
                now < health.backoff_until,
                band // 2,
                self.servers.index(server),
            )

        return min(self.servers, key=rank)

    def schedule(self, key: Key, when: float) -> None:
        """Look at a record set again at a time."""
        self.last_number += 1
        heapq.heappush(self.timers, (when, self.last_number, key))

    # --- answers ---

    def received(self, number: int, data: bytes, server: Server, now: float) -> list[ResolverAction]:
        """Bytes that came where an answer to this lookup is awaited."""
        self.actions = []
        lookup = self.lookups.get(number)
        if lookup is None:
            self.counts["late"] += 1
            return self.actions
        answer = parse_answer(lookup.question, data, server)
        self.counts[f"answers.{answer.kind.value.replace(' ', '_')}"] += 1
        if answer.kind is AnswerKind.NOT_OURS:
            return self.actions  # the real one may still come
        del self.lookups[number]
        if answer.kind is AnswerKind.TRUNCATED:
            if not lookup.tcp:
                # Neither for nor against the server: one that is refused by TCP must not be asked for ever.
                self.send_query(lookup.key, now, lookup.tried_servers, lookup.attempts - 1, True)
                return self.actions
            answer = DnsAnswer(AnswerKind.GARBAGE, reason="truncated by TCP")
        if answer.kind in (AnswerKind.RECORDS, AnswerKind.NO_DATA, AnswerKind.NO_NAME):
            self.record_success(lookup, now)
            self.store_with_extras(lookup.key, answer, now)
        else:
            if answer.kind is AnswerKind.FAILED and lookup.edns and answer.reason in ("FORMERR", "NOTIMP"):
                self.health[lookup.question.server].edns = False  # RFC 6891, section 7: ask without
            self.record_failure(lookup, answer.reason or answer.kind.value, now)
        return self.actions

    def failed(self, number: int, why: str, now: float) -> list[ResolverAction]:
        """A lookup got no answer: refused, unreachable, or out of time."""
        self.actions = []
        lookup = self.lookups.pop(number, None)
        if lookup is not None:
            self.record_failure(lookup, why, now)
        return self.actions

    def record_success(self, lookup: Lookup, now: float) -> None:
        """A server has answered."""
        health = self.health[lookup.question.server]
        health.smoothed_latency += 0.3 * (max(0.0, now - lookup.sent_at) - health.smoothed_latency)
        health.failures = 0
        health.backoff_until = -math.inf

    def record_failure(self, lookup: Lookup, why: str, now: float) -> None:
        """Another server's turn, or the end of this lookup for now."""
        limits, health = self.limits, self.health[lookup.question.server]
        health.failures += 1
        health.counts[why] += 1
        if health.failures >= 2:
            pause = limits.min_server_backoff * 2 ** min(10, health.failures - 2)
            health.backoff_until = now + min(limits.max_server_backoff, pause) * self.rng.uniform(0.75, 1.25)
        # Twice a server at the most: more of the same is what an overloaded one needs least.
        if lookup.attempts < min(limits.max_attempts, 2 * len(self.servers)):
            return self.send_query(lookup.key, now, lookup.tried_servers, lookup.attempts, False)
        entry = self.entries.get(lookup.key)
        if entry is None:
            return
        entry.in_flight = False
        entry.failures += 1
        pause = min(limits.max_failure_backoff, limits.failure_backoff * 2 ** min(10, entry.failures - 1))
        entry.refresh_at = now + pause * self.rng.uniform(0.75, 1.25)
        self.counts["failed"] += 1
        self.schedule(lookup.key, entry.refresh_at)
        self.announce(lookup.key, entry, now, why)

    def store_with_extras(self, key: Key, answer: DnsAnswer, now: float) -> None:
        """Store an answer, and what came along with it where nothing better is known."""
        self.store(key, answer, now)
        for extra in answer.extras:
            other = (extra.name.canonicalize(), extra.type)
            known = self.entries.get(other)
            if known is None or (known.expires_at <= now and not known.in_flight):
                ttl = min(record.ttl for record in extra.records)
                self.counts["extras"] += 1
                self.store(other, DnsAnswer(AnswerKind.RECORDS, extra.records, ttl), now)

    def store(self, key: Key, answer: DnsAnswer, now: float) -> None:
        """Store an answer for its lifetime, and schedule its refresh."""
        limits = self.limits
        entry = self.entry(key)
        spread = limits.first_refresh if entry.answer is None or entry.failures else limits.refresh
        entry.in_flight, entry.failures = False, 0
        max_lifetime = (
            limits.max_lifetime if answer.kind is AnswerKind.RECORDS else limits.max_negative_lifetime
        )
        # The floor spares servers; a removed record leaves at its lifetime or the floor, whichever is later.
        lifetime = min(max_lifetime, max(limits.min_lifetime, float(answer.ttl)))
        entry.answer, entry.received_at, entry.expires_at = answer, now, now + lifetime
        entry.refresh_at = now + max(limits.min_lifetime * 0.9, lifetime * self.rng.uniform(*spread))
        self.schedule(key, entry.refresh_at)
        self.schedule(key, entry.expires_at)
        self.announce(key, entry, now, answer.reason)

    def announce(self, key: Key, entry: CacheEntry, now: float, why: str) -> None:
        """Announce what is known, where that has changed."""
        answer = entry.answer
        if answer is None:
            known = RecordSetKnown(*key, None, now, reason=why)
        elif now < entry.expires_at:
            known = RecordSetKnown(*key, answer.records, entry.expires_at, reason=why)
        elif self.may_serve_stale(entry, now):
            known = RecordSetKnown(*key, answer.records, entry.expires_at + self.limits.stale, True, why)
        else:
            known = RecordSetKnown(*key, None, now, reason=why or "over")
        announced = entry.announced
        entry.announced = known
        if (
            announced is None
            or (announced.records, announced.stale) != (known.records, known.stale)
            or not known.stale
        ):
            self.actions.append(known)

    def may_serve_stale(self, entry: CacheEntry, now: float) -> bool:
        """Whether records may be used past their lifetime: no server has said anything else meanwhile."""
        answer = entry.answer
        unanswered = entry.failures > 0 or entry.in_flight
        records = answer is not None and answer.kind is AnswerKind.RECORDS
        return records and unanswered and now < entry.expires_at + self.limits.stale

    # --- time ---

    def tick(self, now: float) -> list[ResolverAction]:
        """What is due: attempts that are over, record sets to look up again, lifetimes that have ended."""
        self.actions = []
        for number in [n for n, lookup in self.lookups.items() if lookup.times_out_at <= now]:
            self.counts["timeouts"] += 1
            self.record_failure(self.lookups.pop(number), "timeout", now)
        keys: dict[Key, None] = {}
        while self.timers and self.timers[0][0] <= now:
            keys[heapq.heappop(self.timers)[2]] = None
        for key in keys:
            entry = self.entries.get(key)
            if entry is None:
                continue
            if entry.references and now >= entry.refresh_at and not entry.in_flight:
                self.start_lookup(key, now)
            if entry.answer is not None and now >= entry.expires_at and entry.announced is not None:
                if not entry.announced.stale and entry.announced.records is not None:
                    self.announce(key, entry, now, "over")
                elif entry.announced.stale and now >= entry.expires_at + self.limits.stale:
                    self.announce(key, entry, now, "too old")
        return self.actions

    def next_due(self) -> float:
        """When `tick` next has something to do."""
        first = self.timers[0][0] if self.timers else math.inf
        return min([first, *(lookup.times_out_at for lookup in self.lookups.values())])
