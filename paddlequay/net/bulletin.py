"""The connection to the bulletin: members and purges, put in force in their order."""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.net.caches import Pool
from paddlequay.net.lines import Line, LineFollower
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol import bulletin as wire
from paddlequay.protocol.bulletin import Heartbeat, Listed, Recall, Roster, Unusable
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import MemberState

LOGGER = logging.getLogger(__name__)


class Follower(LineFollower[Roster | Recall]):
    """Keeps exchange and pool up to date with the bulletin."""

    gapless = True

    def __init__(
        self, address: Address, exchange: Exchange, pool: Pool, limits: Limits, counters: Counters
    ) -> None:
        super().__init__(address, limits, counters, "bulletin")
        self.exchange, self.pool = exchange, pool
        self.on_roster: Callable[[Roster], None] = self.direct
        self.on_alive: Callable[[], None] = lambda: None

    def reader(self) -> Line[Roster | Recall | Heartbeat | Unusable]:
        return wire.Reader(self.limits.max_bulletin_line)

    def start_from(self, known: Mapping[str, Any]) -> None:
        """The events that stand in the configuration; MalformedError where these cannot be used."""
        number = known.get("no", 0)
        if not wire.is_number(number):
            raise wire.MalformedError(f"no: expected a number, got {str(number)[:40]!r}")
        for item in known["items"]:
            news = wire.read_news(item)
            if not isinstance(news, Heartbeat) and news.number > self.last:
                self.take(news)
                self.last = news.number
        self.last = max(self.last, number)

    def heartbeat(self, number: int) -> None:
        self.on_alive()

    def take(self, event: Roster | Recall) -> None:
        if isinstance(event, Recall):
            self.exchange.record_purge(event.key, event.group, event.issued)
            self.counters.add("purges")
            return
        if event.unusable:
            if self.counters.add_once("unusable_entries"):
                log.event(LOGGER, logging.WARNING, "unusable_entry", number=event.number, why=event.why)
            self.counters.add("unusable_entries", event.unusable - 1)
        self.on_roster(event)
        self.counters.add("rosters")

    def direct(self, item: Roster) -> None:
        """The list alone tells the members. The pool first: a decision that follows may send to whom it
        names."""
        listed = (*item.listed, *self.drained(item.drained))
        self.pool.list_changed(listed, item.full)
        self.exchange.update_members(tuple(entry.member for entry in listed), item.full)

    def pass_over(self, event: Roster | Recall) -> None:
        if isinstance(event, Roster):
            listed = [*event.listed, *self.drained(event.drained)]
            if self.on_roster != self.direct:  # who comes is for the membership to say
                listed = [entry for entry in listed if entry.member.state is not MemberState.READY]
            one_by_one(self.pool, self.exchange, listed)

    def drained(self, names: Iterable[str]) -> Iterable[Listed]:
        """Members as they are known, but out of service."""
        for name in names:
            member, instance = self.exchange.members.get(name), self.pool.instances.get(name)
            if member is not None and instance is not None:
                yield Listed(replace(member, state=MemberState.DRAINING), instance.address)


def one_by_one(pool: Pool, exchange: Exchange, listed: Iterable[Listed]) -> set[str]:
    """Put in force what can be, after a whole list failed; the names of those that failed again.

    A drain or an end binds what is decided and written even where the pool cannot follow it.
    """
    failed = set()
    for entry in listed:
        try:
            pool.list_changed((entry,), False)
        except Exception:
            failed.add(entry.member.name)
            if entry.member.state is MemberState.READY:
                continue
        try:
            exchange.update_members((entry.member,), False)
        except Exception:
            failed.add(entry.member.name)
    return failed
