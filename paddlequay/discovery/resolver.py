"""A stub resolver without sockets: decides when to query which server, and how long answers are used.

Subscribed record sets are looked up again at a random time before the shortest lifetime of their records
ends, so that the routers of a fleet do not query in step. Expired records are used only while no server
answers, for `stale` seconds at most (RFC 8767). Servers are chosen by their health. After a failed lookup,
the next one waits for a backoff (RFC 9520). A truncated answer is queried again over TCP (RFC 7766).

Events (`subscribe`, `received`, `failed`, `tick`) return actions (`SendQuery`, `RecordSetUpdate`).
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
    PendingQuery,
    RecordSetKey,
    RecordSetUpdate,
    RecordType,
    ResolverAction,
    ResolverLimits,
    SendQuery,
    Server,
)

TCP_TIMEOUT_FACTOR = 3  # relative to the UDP timeout
MAX_ATTEMPTS_PER_SERVER = 2  # per lookup; more would only add load to an overloaded server


class Resolver:
    """Looks up record sets for one process. Times are seconds of one clock, passed to each method.

    Args:
        servers: The host and port of each server, in order of preference.
        rng: Draws query ids, letter case and jitter; seeded in tests only.
        limits: The bounds of the resolver.

    Attributes:
        pending_queries: The queries in flight, by number.
        last_serial: The last number that was given to a query or timer.
        subscribed_count: The number of subscribed record sets.
        timers: A heap of the times at which `tick` checks record sets, with a number that breaks ties.
        counts: The counts of answers, queries and failures.
        actions: The actions that result from the event being handled.
    """

    def __init__(
        self, servers: Iterable[Server], rng: random.Random, limits: ResolverLimits | None = None
    ) -> None:
        self.limits = limits or ResolverLimits()
        self.rng = rng
        self.servers = DnsServers(servers, rng, self.limits)
        self.cache = RecordCache(rng, self.limits)
        self.pending_queries: dict[int, PendingQuery] = {}
        self.last_serial = 0
        self.subscribed_count = 0
        self.timers: list[tuple[float, int, RecordSetKey]] = []
        self.counts: Counter[str] = Counter()
        self.actions: list[ResolverAction] = []

    def subscribe(self, name: Name, record_type: RecordType, now: float) -> list[ResolverAction]:
        """Adds a subscriber of a record set, which is refreshed until its last subscriber unsubscribes.

        Raises:
            ValueError: `max_names` record sets are already subscribed.
        """
        self.actions = []
        key = (name.canonicalize(), record_type)
        entry = self.cache.get(key)
        if entry is None or not entry.references:
            if self.subscribed_count >= self.limits.max_names:
                raise ValueError(f"more than {self.limits.max_names} record sets are subscribed")
            self.subscribed_count += 1
        entry = self.cache.entry(key)
        entry.references += 1
        if entry.announced is not None and now < entry.expires_at:
            self.actions.append(entry.announced)
        if now >= entry.refresh_at:
            self.start_lookup(key, now)
        return self.actions

    def unsubscribe(self, name: Name, record_type: RecordType) -> None:
        """Removes one subscriber; ignores an unknown record set."""
        entry = self.cache.get((name.canonicalize(), record_type))
        if entry is not None and entry.references:
            entry.references -= 1
            self.subscribed_count -= not entry.references

    def known(self, name: Name, record_type: RecordType) -> RecordSetUpdate | None:
        """Returns the last announcement of a record set; None if there was none."""
        entry = self.cache.get((name.canonicalize(), record_type))
        return None if entry is None else entry.announced

    def start_lookup(self, key: RecordSetKey, now: float) -> None:
        """Starts a lookup unless one is in flight; postpones it if too many queries are pending."""
        entry = self.cache.entries[key]
        if entry.in_flight:
            return
        if len(self.pending_queries) >= self.limits.max_pending_queries:
            self.counts["put_off"] += 1
            self.schedule(key, now + self.limits.min_lifetime)
            return
        entry.in_flight = True
        self.send_query(key, now, [], 0, False)

    def send_query(
        self, key: RecordSetKey, now: float, tried_servers: list[Server], attempts: int, tcp: bool
    ) -> None:
        """Sends a query of a lookup to a server, and schedules its timeout.

        Args:
            key: The record set.
            now: The time in seconds.
            tried_servers: The servers that this lookup has queried so far.
            attempts: The number of queries that this lookup has sent so far.
            tcp: Whether to query the last server again over TCP; otherwise the best server is queried.
        """
        server = tried_servers[-1] if tcp else self.servers.choose(tried_servers, now)
        health = self.servers.health[server]
        self.last_serial += 1
        name = randomize_case(key[0], self.rng)
        question = DnsQuestion(name, key[1], self.rng.getrandbits(16), server)
        timeout = self.limits.udp_timeout * (TCP_TIMEOUT_FACTOR if tcp else 1)
        query = PendingQuery(
            key, question, tcp, now, attempts + 1, [*tried_servers, server], health.edns, now + timeout
        )
        self.pending_queries[self.last_serial] = query
        self.counts["sent_tcp" if tcp else "sent_udp"] += 1
        health.counts["asked"] += 1
        query_bytes = build_query(question, health.edns)
        self.actions.append(SendQuery(self.last_serial, server, query_bytes, tcp, timeout))
        self.schedule(key, query.times_out_at)

    def schedule(self, key: RecordSetKey, when: float) -> None:
        """Schedules a check of a record set by `tick`."""
        self.last_serial += 1
        heapq.heappush(self.timers, (when, self.last_serial, key))

    def received(self, number: int, data: bytes, server: Server, now: float) -> list[ResolverAction]:
        """Handles bytes that were received for a query; they may be unrelated to it."""
        self.actions = []
        query = self.pending_queries.get(number)
        if query is None:
            self.counts["late"] += 1
            return self.actions
        answer = parse_answer(query.question, data, server)
        self.counts[f"answers.{answer.kind.value.replace(' ', '_')}"] += 1
        if answer.kind is AnswerKind.MISMATCHED:
            return self.actions  # the genuine answer may still be received
        del self.pending_queries[number]
        if answer.kind is AnswerKind.TRUNCATED and not query.tcp:
            # Truncation counts neither as an attempt nor as a success or failure of the server.
            self.send_query(query.key, now, query.tried_servers, query.attempts - 1, True)
            return self.actions
        if answer.kind is AnswerKind.TRUNCATED:
            answer = DnsAnswer(AnswerKind.MALFORMED, reason="truncated by TCP")
        self.handle_answer(query, answer, now)
        return self.actions

    def handle_answer(self, query: PendingQuery, answer: DnsAnswer, now: float) -> None:
        """Stores a usable answer, or treats it as a failure of its server."""
        if answer.kind in (AnswerKind.RECORDS, AnswerKind.NO_DATA, AnswerKind.NO_NAME):
            self.servers.record_success(query, now)
            self.store_with_additional_records(query.key, answer, now)
            return
        if answer.kind is AnswerKind.FAILED and query.edns and answer.reason in ("FORMERR", "NOTIMP"):
            self.servers.health[query.question.server].edns = False  # RFC 6891, section 7
        self.record_failure(query, answer.reason or answer.kind.value, now)

    def failed(self, number: int, why: str, now: float) -> list[ResolverAction]:
        """Handles a query that cannot be answered, because its server is unreachable or refused it."""
        self.actions = []
        query = self.pending_queries.pop(number, None)
        if query is not None:
            self.record_failure(query, why, now)
        return self.actions

    def record_failure(self, query: PendingQuery, why: str, now: float) -> None:
        """Queries another server; after too many attempts, ends the lookup and backs off."""
        self.servers.record_failure(query, why, now)
        if query.attempts < min(self.limits.max_attempts, MAX_ATTEMPTS_PER_SERVER * len(self.servers)):
            self.send_query(query.key, now, query.tried_servers, query.attempts, False)
            return
        entry = self.cache.get(query.key)
        if entry is None:
            return
        self.cache.back_off(entry, now)
        self.counts["failed"] += 1
        self.schedule(query.key, entry.refresh_at)
        self.announce(query.key, entry, now, why)

    def store_with_additional_records(self, key: RecordSetKey, answer: DnsAnswer, now: float) -> None:
        """Stores an answer, and those of its additional records for which the cache has no valid entry."""
        self.store(key, answer, now)
        for additional in answer.additional_records:
            other = (additional.name.canonicalize(), additional.type)
            known = self.cache.get(other)
            if known is None or (known.expires_at <= now and not known.in_flight):
                ttl = min(record.ttl for record in additional.records)
                self.counts["extras"] += 1
                self.store(other, DnsAnswer(AnswerKind.RECORDS, additional.records, ttl), now)

    def store(self, key: RecordSetKey, answer: DnsAnswer, now: float) -> None:
        """Stores an answer for its lifetime, and schedules its refresh and its expiry."""
        entry = self.cache.store(key, answer, now)
        self.schedule(key, entry.refresh_at)
        self.schedule(key, entry.expires_at)
        self.announce(key, entry, now, answer.reason)

    def announce(self, key: RecordSetKey, entry: CacheEntry, now: float, why: str) -> None:
        """Announces the state of a record set, unless the cache finds it already announced."""
        known = self.cache.announcement(key, entry, now, why)
        if known is not None:
            self.actions.append(known)

    def tick(self, now: float) -> list[ResolverAction]:
        """Handles timed-out queries, starts due refreshes and announces expired record sets."""
        self.actions = []
        for number in [n for n, query in self.pending_queries.items() if query.times_out_at <= now]:
            self.counts["timeouts"] += 1
            self.record_failure(self.pending_queries.pop(number), "timeout", now)
        keys: dict[RecordSetKey, None] = {}
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

    def announce_expiry(self, key: RecordSetKey, entry: CacheEntry, now: float) -> None:
        """Announces that records have expired, or that stale records are too old to be used."""
        announced = entry.announced
        if announced is None:
            return
        if not announced.stale and announced.records is not None:
            self.announce(key, entry, now, "over")
        elif announced.stale and now >= entry.expires_at + self.limits.stale:
            self.announce(key, entry, now, "too old")

    def next_tick_at(self) -> float:
        """Returns the time in seconds at which `tick` is due next; infinity if it is not due."""
        first = self.timers[0][0] if self.timers else math.inf
        return min([first, *(query.times_out_at for query in self.pending_queries.values())])
