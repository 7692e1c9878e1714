"""Caches record sets: how long each is valid, when it is refreshed, and what is announced about it."""

import random
from collections import OrderedDict

from paddlequay.discovery.answers import AnswerKind, DnsAnswer
from paddlequay.discovery.dns_servers import JITTER, MAX_DOUBLINGS
from paddlequay.discovery.resolver_types import CacheEntry, RecordSetKey, RecordSetUpdate, ResolverLimits

MIN_REFRESH_RATIO = 0.9  # of the minimum lifetime; the earliest time of a refresh


class RecordCache:
    """Entries by name and type; beyond `max_cached`, the least recently used idle entries are evicted.

    Times are seconds of the resolver's clock.
    """

    def __init__(self, rng: random.Random, limits: ResolverLimits) -> None:
        self.rng = rng
        self.limits = limits
        self.entries: OrderedDict[RecordSetKey, CacheEntry] = OrderedDict()

    def get(self, key: RecordSetKey) -> CacheEntry | None:
        """Returns the entry of a record set; None if there is none."""
        return self.entries.get(key)

    def entry(self, key: RecordSetKey) -> CacheEntry:
        """Returns the entry of a record set; creates it if there is none."""
        entry = self.entries.get(key)
        if entry is None:
            entry = CacheEntry()
            self.entries[key] = entry
            self.evict_idle(key)
        self.entries.move_to_end(key)
        return entry

    def evict_idle(self, new_key: RecordSetKey) -> None:
        """Evicts idle entries beyond `max_cached`, except the new one."""
        while len(self.entries) > self.limits.max_cached:
            idle = next((key for key, entry in self.entries.items() if entry.is_idle), None)
            if idle is None or idle == new_key:
                return
            del self.entries[idle]

    def store(self, key: RecordSetKey, answer: DnsAnswer, now: float) -> CacheEntry:
        """Stores an answer for its lifetime, and draws a random time for its refresh."""
        limits = self.limits
        entry = self.entry(key)
        spread = limits.first_refresh if entry.answer is None or entry.failures else limits.refresh
        entry.in_flight = False
        entry.failures = 0
        has_records = answer.kind is AnswerKind.RECORDS
        max_lifetime = limits.max_lifetime if has_records else limits.max_negative_lifetime
        # The minimum limits the load of the servers; a removed record may be used for that long.
        lifetime = min(max_lifetime, max(limits.min_lifetime, float(answer.ttl)))
        entry.answer = answer
        entry.received_at = now
        entry.expires_at = now + lifetime
        refresh_after = lifetime * self.rng.uniform(*spread)
        entry.refresh_at = now + max(limits.min_lifetime * MIN_REFRESH_RATIO, refresh_after)
        return entry

    def back_off(self, entry: CacheEntry, now: float) -> None:
        """Delays the next lookup by an exponential backoff, after a lookup has failed."""
        limits = self.limits
        entry.in_flight = False
        entry.failures += 1
        backoff = limits.failure_backoff * 2 ** min(MAX_DOUBLINGS, entry.failures - 1)
        entry.refresh_at = now + min(limits.max_failure_backoff, backoff) * self.rng.uniform(*JITTER)

    def announcement(
        self, key: RecordSetKey, entry: CacheEntry, now: float, why: str
    ) -> RecordSetUpdate | None:
        """Returns the state to announce; None for a stale record set that was announced unchanged before."""
        update = self.current_record_set(key, entry, now, why)
        last = entry.announced
        entry.announced = update
        if last is None or not update.stale:
            return update
        has_changed = (last.records, last.stale) != (update.records, update.stale)
        return update if has_changed else None

    def current_record_set(
        self, key: RecordSetKey, entry: CacheEntry, now: float, why: str
    ) -> RecordSetUpdate:
        """Returns the current state of an entry: valid records, stale records, or none."""
        answer = entry.answer
        if answer is None:
            return RecordSetUpdate(*key, None, now, reason=why)
        if now < entry.expires_at:
            return RecordSetUpdate(*key, answer.records, entry.expires_at, reason=why)
        if self.may_serve_stale(entry, now):
            return RecordSetUpdate(*key, answer.records, entry.expires_at + self.limits.stale, True, why)
        return RecordSetUpdate(*key, None, now, reason=why or "over")

    def may_serve_stale(self, entry: CacheEntry, now: float) -> bool:
        """Returns whether expired records may still be used, because no server has answered since."""
        answer = entry.answer
        is_unanswered = entry.failures > 0 or entry.in_flight
        has_records = answer is not None and answer.kind is AnswerKind.RECORDS
        return has_records and is_unanswered and now < entry.expires_at + self.limits.stale
