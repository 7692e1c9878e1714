"""Record sets that the resolver knows: how long each holds, and what is announced of it."""

import random
from collections import OrderedDict

from paddlequay.discovery.answers import AnswerKind, DnsAnswer
from paddlequay.discovery.dns_servers import JITTER, MAX_DOUBLINGS
from paddlequay.discovery.resolver_types import CacheEntry, Key, RecordSetKnown, ResolverLimits

REFRESH_FLOOR = 0.9  # of the least lifetime: no refresh comes sooner


class RecordCache:
    """Entries by name and type; idle ones are dropped past `max_cached`."""

    def __init__(self, rng: random.Random, limits: ResolverLimits) -> None:
        self.rng, self.limits = rng, limits
        self.entries: OrderedDict[Key, CacheEntry] = OrderedDict()

    def get(self, key: Key) -> CacheEntry | None:
        """The entry of a record set, if there is one."""
        return self.entries.get(key)

    def entry(self, key: Key) -> CacheEntry:
        """The entry of a record set, a new one where there is none."""
        entry = self.entries.get(key)
        if entry is None:
            entry = self.entries[key] = CacheEntry()
            while len(self.entries) > self.limits.max_cached:
                idle = next((k for k, e in self.entries.items() if e.is_idle), None)
                if idle is None or idle == key:
                    break
                del self.entries[idle]
        self.entries.move_to_end(key)
        return entry

    def store(self, key: Key, answer: DnsAnswer, now: float) -> CacheEntry:
        """Keep an answer for its lifetime, and draw when it is refreshed."""
        limits, entry = self.limits, self.entry(key)
        spread = limits.first_refresh if entry.answer is None or entry.failures else limits.refresh
        entry.in_flight, entry.failures = False, 0
        has_records = answer.kind is AnswerKind.RECORDS
        max_lifetime = limits.max_lifetime if has_records else limits.max_negative_lifetime
        # The floor spares servers; a removed record leaves at its lifetime or the floor, whichever is later.
        lifetime = min(max_lifetime, max(limits.min_lifetime, float(answer.ttl)))
        entry.answer, entry.received_at, entry.expires_at = answer, now, now + lifetime
        refresh = lifetime * self.rng.uniform(*spread)
        entry.refresh_at = now + max(limits.min_lifetime * REFRESH_FLOOR, refresh)
        return entry

    def postpone(self, entry: CacheEntry, now: float) -> None:
        """A lookup has failed everywhere: the next one comes after a growing backoff."""
        limits = self.limits
        entry.in_flight = False
        entry.failures += 1
        backoff = limits.failure_backoff * 2 ** min(MAX_DOUBLINGS, entry.failures - 1)
        entry.refresh_at = now + min(limits.max_failure_backoff, backoff) * self.rng.uniform(*JITTER)

    def announcement(self, key: Key, entry: CacheEntry, now: float, why: str) -> RecordSetKnown | None:
        """What is known of an entry now, where that has changed since it was announced last."""
        known = self.known(key, entry, now, why)
        last, entry.announced = entry.announced, known
        if last is None or not known.stale:
            return known
        changed = (last.records, last.stale) != (known.records, known.stale)
        return known if changed else None

    def known(self, key: Key, entry: CacheEntry, now: float, why: str) -> RecordSetKnown:
        """What is known of an entry: fresh, stale, or nothing."""
        answer = entry.answer
        if answer is None:
            return RecordSetKnown(*key, None, now, reason=why)
        if now < entry.expires_at:
            return RecordSetKnown(*key, answer.records, entry.expires_at, reason=why)
        if self.may_serve_stale(entry, now):
            return RecordSetKnown(*key, answer.records, entry.expires_at + self.limits.stale, True, why)
        return RecordSetKnown(*key, None, now, reason=why or "over")

    def may_serve_stale(self, entry: CacheEntry, now: float) -> bool:
        """Whether records may be used past their lifetime: no server has said anything else meanwhile."""
        answer = entry.answer
        unanswered = entry.failures > 0 or entry.in_flight
        records = answer is not None and answer.kind is AnswerKind.RECORDS
        return records and unanswered and now < entry.expires_at + self.limits.stale
