"""A stub resolver without sockets: decides what is queried when, at which server, and how long answers hold.

Subscribed names are looked up again before the shortest lifetime of their records ends, at a random time, so
that a fleet does not query in step. No record is used past its lifetime unless no server can be reached, and
then for `stale` seconds at most (RFC 8767). Servers are chosen by their health, and failures are cached for a
time (RFC 9520). Truncated answers are queried again over TCP (RFC 7766).

Events (`subscribe`, `received`, `failed`, `tick`) return actions (`SendQuery`, `RecordSetKnown`).
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

TCP_TIMEOUT_FACTOR = 3  # of the timeout of UDP
MAX_ATTEMPTS_PER_SERVER = 2  # more queries would only add to the load of an overloaded server


class Resolver:
    """All lookups of one process. Times are seconds of one clock, passed to each method.

    Args:
        servers: The host and port of each server, in order of preference.
        rng: Draws ids, letter case and jitter; seeded in tests only.
        limits: The bounds of the resolver.

    Attributes:
        lookups: The queries in flight, by number.
        referenced_names: The number of subscribed record sets.
        timers: A heap of times at which record sets are looked at, with a number for their order.
        counts: The counts of answers, queries and failures.
        actions: The actions of the event being handled.
    """

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

    # --- subscriptions ---

    def subscribe(self, name: Name, kind: RecordType, now: float) -> list[ResolverAction]:
        """Keeps a record set looked up until as many calls of `unsubscribe`.

        Raises:
            ValueError: If `max_names` record sets are subscribed.
        """
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
        """Removes one subscriber; ignores an unknown record set."""
        entry = self.cache.get((name.canonicalize(), kind))
        if entry is not None and entry.references:
            entry.references -= 1
            self.referenced_names -= not entry.references

    def known(self, name: Name, kind: RecordType) -> RecordSetKnown | None:
        """Returns what was announced last of a record set; None if nothing was."""
        entry = self.cache.get((name.canonicalize(), kind))
        return None if entry is None else entry.announced

    # --- queries ---

    def start_lookup(self, key: Key, now: float) -> None:
        """Looks up a record set, unless it is in flight; later, if too many lookups are."""
        entry = self.cache.entries[key]
        if entry.in_flight:
            return
        if len(self.lookups) >= self.limits.max_lookups:
            self.counts["put_off"] += 1
            self.schedule(key, now + self.limits.min_lifetime)
            return
        entry.in_flight = True
        self.send_query(key, now, [], 0, False)

    def send_query(self, key: Key, now: float, tried_servers: list[Server], attempts: int, tcp: bool) -> None:
        """Queries a server, and schedules the timeout.

        Args:
            key: The record set.
            now: The time in seconds.
            tried_servers: The servers queried before.
            attempts: The number of queries before.
            tcp: Whether to query the last server again over TCP; otherwise the best server is queried.
        """
        server = tried_servers[-1] if tcp else self.servers.choose(tried_servers, now)
        health = self.servers.health[server]
        self.last_number += 1
        name = randomize_case(key[0], self.rng)
        question = DnsQuestion(name, key[1], self.rng.getrandbits(16), server)
        timeout = self.limits.udp_timeout * (TCP_TIMEOUT_FACTOR if tcp else 1)
        lookup = Lookup(
            key, question, tcp, now, attempts + 1, [*tried_servers, server], health.edns, now + timeout
        )
        self.lookups[self.last_number] = lookup
        self.counts["sent_tcp" if tcp else "sent_udp"] += 1
        health.counts["asked"] += 1
        query = build_query(question, health.edns)
        self.actions.append(SendQuery(self.last_number, server, query, tcp, timeout))
        self.schedule(key, lookup.times_out_at)

    def schedule(self, key: Key, when: float) -> None:
        """Schedules a look at a record set."""
        self.last_number += 1
        heapq.heappush(self.timers, (when, self.last_number, key))

    # --- answers ---

    def received(self, number: int, data: bytes, server: Server, now: float) -> list[ResolverAction]:
        """Handles bytes that were received for a query; they may be no answer to it."""
        self.actions = []
        lookup = self.lookups.get(number)
        if lookup is None:
            self.counts["late"] += 1
            return self.actions
        answer = parse_answer(lookup.question, data, server)
        self.counts[f"answers.{answer.kind.value.replace(' ', '_')}"] += 1
        if answer.kind is AnswerKind.NOT_OURS:
            return self.actions  # the genuine answer may still be received
        del self.lookups[number]
        if answer.kind is AnswerKind.TRUNCATED and not lookup.tcp:
            # Not counted as an attempt, nor for or against the server.
            self.send_query(lookup.key, now, lookup.tried_servers, lookup.attempts - 1, True)
            return self.actions
        if answer.kind is AnswerKind.TRUNCATED:
            answer = DnsAnswer(AnswerKind.GARBAGE, reason="truncated by TCP")
        self.handle_answer(lookup, answer, now)
        return self.actions

    def handle_answer(self, lookup: Lookup, answer: DnsAnswer, now: float) -> None:
        """Stores a usable answer, or treats it as a failure of its server."""
        if answer.kind in (AnswerKind.RECORDS, AnswerKind.NO_DATA, AnswerKind.NO_NAME):
            self.servers.record_success(lookup, now)
            self.store_with_extras(lookup.key, answer, now)
            return
        if answer.kind is AnswerKind.FAILED and lookup.edns and answer.reason in ("FORMERR", "NOTIMP"):
            self.servers.health[lookup.question.server].edns = False  # RFC 6891, section 7
        self.record_failure(lookup, answer.reason or answer.kind.value, now)

    def failed(self, number: int, why: str, now: float) -> list[ResolverAction]:
        """Handles a query without an answer, as its server refused it or is unreachable."""
        self.actions = []
        lookup = self.lookups.pop(number, None)
        if lookup is not None:
            self.record_failure(lookup, why, now)
        return self.actions

    def record_failure(self, lookup: Lookup, why: str, now: float) -> None:
        """Queries another server, or ends the lookup until its backoff is over."""
        self.servers.record_failure(lookup, why, now)
        if lookup.attempts < min(self.limits.max_attempts, MAX_ATTEMPTS_PER_SERVER * len(self.servers)):
            self.send_query(lookup.key, now, lookup.tried_servers, lookup.attempts, False)
            return
        entry = self.cache.get(lookup.key)
        if entry is None:
            return
        self.cache.postpone(entry, now)
        self.counts["failed"] += 1
        self.schedule(lookup.key, entry.refresh_at)
        self.announce(lookup.key, entry, now, why)

    def store_with_extras(self, key: Key, answer: DnsAnswer, now: float) -> None:
        """Stores an answer, and its additional records for which nothing valid is known."""
        self.store(key, answer, now)
        for extra in answer.extras:
            other = (extra.name.canonicalize(), extra.type)
            known = self.cache.get(other)
            if known is None or (known.expires_at <= now and not known.in_flight):
                ttl = min(record.ttl for record in extra.records)
                self.counts["extras"] += 1
                self.store(other, DnsAnswer(AnswerKind.RECORDS, extra.records, ttl), now)

    def store(self, key: Key, answer: DnsAnswer, now: float) -> None:
        """Stores an answer for its lifetime, and schedules its refresh and its end."""
        entry = self.cache.store(key, answer, now)
        self.schedule(key, entry.refresh_at)
        self.schedule(key, entry.expires_at)
        self.announce(key, entry, now, answer.reason)

    def announce(self, key: Key, entry: CacheEntry, now: float, why: str) -> None:
        """Announces what is known of a record set, if that has changed."""
        known = self.cache.announcement(key, entry, now, why)
        if known is not None:
            self.actions.append(known)

    # --- time ---

    def tick(self, now: float) -> list[ResolverAction]:
        """Ends queries that have timed out, refreshes record sets and announces the ends of lifetimes."""
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
            if entry.answer is not None and now >= entry.expires_at:
                self.announce_expiry(key, entry, now)
        return self.actions

    def announce_expiry(self, key: Key, entry: CacheEntry, now: float) -> None:
        """Announces that a lifetime has ended, or that stale records are too old."""
        announced = entry.announced
        if announced is None:
            return
        if not announced.stale and announced.records is not None:
            self.announce(key, entry, now, "over")
        elif announced.stale and now >= entry.expires_at + self.limits.stale:
            self.announce(key, entry, now, "too old")

    def next_due(self) -> float:
        """Returns when `tick` is due next, in seconds; infinity if never."""
        first = self.timers[0][0] if self.timers else math.inf
        return min([first, *(lookup.times_out_at for lookup in self.lookups.values())])
