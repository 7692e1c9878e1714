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
from collections import Counter
from collections.abc import Iterable

from paddlequay.discovery.answers import (
    AnswerKind,
    DnsAnswer,
    DnsQuestion,
    Name,
    build_query,
    parse_answer,
    randomize_case,
)
from paddlequay.discovery.dns_servers import DnsServers
from paddlequay.discovery.record_cache import RecordCache
from paddlequay.discovery.resolver_types import (
    CacheEntry,
    Key,
    Lookup,
    RecordSetKnown,
    RecordType,
    ResolverAction,
    ResolverLimits,
    SendQuery,
    Server,
)

TCP_PATIENCE = 3  # times the time-out of UDP


class Resolver:
    """All lookups of one process; `rng` is seeded in tests and by the system elsewhere."""

    def __init__(
        self, servers: Iterable[Server], rng: random.Random, limits: ResolverLimits | None = None
    ) -> None:
        self.limits = limits or ResolverLimits()
        self.rng = rng
        self.servers = DnsServers(servers, rng, self.limits)
        self.cache = RecordCache(rng, self.limits)
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
        entry = self.cache.get(key)
        if entry is None or not entry.references:
            if self.referenced_names >= self.limits.max_names:
                raise ValueError(f"more than {self.limits.max_names} names are wanted")
            self.referenced_names += 1
        entry = self.cache.entry(key)
        entry.references += 1
        if entry.announced is not None and now < entry.expires_at:
            self.actions.append(entry.announced)
        if now >= entry.refresh_at:
            self.start_lookup(key, now)
        return self.actions

    def unsubscribe(self, name: Name, kind: RecordType) -> None:
        """One subscriber less; an unknown name is no error."""
        entry = self.cache.get((name.canonicalize(), kind))
        if entry is not None and entry.references:
            entry.references -= 1
            self.referenced_names -= not entry.references

    def known(self, name: Name, kind: RecordType) -> RecordSetKnown | None:
        """What was announced last of a record set."""
        entry = self.cache.get((name.canonicalize(), kind))
        return None if entry is None else entry.announced

    # --- asking ---

    def start_lookup(self, key: Key, now: float) -> None:
        """Look a record set up, unless that is under way or too many lookups are."""
        entry = self.cache.entries[key]
        if entry.in_flight:
            return
        if len(self.lookups) >= self.limits.max_lookups:
            self.counts["put_off"] += 1
            return self.schedule(key, now + self.limits.min_lifetime)
        entry.in_flight = True
        self.send_query(key, now, [], 0, False)

    def send_query(self, key: Key, now: float, tried_servers: list[Server], attempts: int, tcp: bool) -> None:
        """Query the best server not tried yet, or the best of all where each was."""
        server = self.servers.choose(tried_servers, now) if not tcp else tried_servers[-1]
        health = self.servers.health[server]
        self.last_number += 1
        name = randomize_case(key[0], self.rng)
        question = DnsQuestion(name, key[1], self.rng.getrandbits(16), server)
        timeout = self.limits.udp_timeout * (TCP_PATIENCE if tcp else 1)
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
            self.servers.record_success(lookup, now)
            self.store_with_extras(lookup.key, answer, now)
        else:
            if answer.kind is AnswerKind.FAILED and lookup.edns and answer.reason in ("FORMERR", "NOTIMP"):
                self.servers.health[lookup.question.server].edns = False  # RFC 6891, section 7: ask without
            self.record_failure(lookup, answer.reason or answer.kind.value, now)
        return self.actions

    def failed(self, number: int, why: str, now: float) -> list[ResolverAction]:
        """A lookup got no answer: refused, unreachable, or out of time."""
        self.actions = []
        lookup = self.lookups.pop(number, None)
        if lookup is not None:
            self.record_failure(lookup, why, now)
        return self.actions

    def record_failure(self, lookup: Lookup, why: str, now: float) -> None:
        """Another server's turn, or the end of this lookup for now."""
        self.servers.record_failure(lookup, why, now)
        # Twice a server at the most: more of the same is what an overloaded one needs least.
        if lookup.attempts < min(self.limits.max_attempts, 2 * len(self.servers)):
            return self.send_query(lookup.key, now, lookup.tried_servers, lookup.attempts, False)
        entry = self.cache.get(lookup.key)
        if entry is None:
            return
        self.cache.postpone(entry, now)
        self.counts["failed"] += 1
        self.schedule(lookup.key, entry.refresh_at)
        self.announce(lookup.key, entry, now, why)

    def store_with_extras(self, key: Key, answer: DnsAnswer, now: float) -> None:
        """Store an answer, and what came along with it where nothing better is known."""
        self.store(key, answer, now)
        for extra in answer.extras:
            other = (extra.name.canonicalize(), extra.type)
            known = self.cache.get(other)
            if known is None or (known.expires_at <= now and not known.in_flight):
                ttl = min(record.ttl for record in extra.records)
                self.counts["extras"] += 1
                self.store(other, DnsAnswer(AnswerKind.RECORDS, extra.records, ttl), now)

    def store(self, key: Key, answer: DnsAnswer, now: float) -> None:
        """Store an answer for its lifetime, and schedule its refresh."""
        entry = self.cache.store(key, answer, now)
        self.schedule(key, entry.refresh_at)
        self.schedule(key, entry.expires_at)
        self.announce(key, entry, now, answer.reason)

    def announce(self, key: Key, entry: CacheEntry, now: float, why: str) -> None:
        """Announce what is known, where that has changed."""
        known = self.cache.announcement(key, entry, now, why)
        if known is not None:
            self.actions.append(known)

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
            entry = self.cache.get(key)
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
