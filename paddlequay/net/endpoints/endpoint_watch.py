"""The watch of the endpoint list: members and purges, put in force in their order."""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.net.endpoints.watch_client import EventParser, WatchClient
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol import endpoint_watch as wire
from paddlequay.protocol.endpoint_watch import (
    Endpoint,
    EndpointList,
    PurgeEvent,
    UnusableLine,
    WatchHeartbeat,
)
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import MemberState

LOGGER = logging.getLogger(__name__)


class EndpointWatch(WatchClient[EndpointList | PurgeEvent]):
    """Keeps exchange and pool up to date with the endpoint list."""

    gapless = True

    def __init__(
        self, address: Address, exchange: Exchange, pool: ConnectionPool, limits: Limits, counters: Counters
    ) -> None:
        super().__init__(address, limits, counters, "endpoint_watch")
        self.exchange, self.pool = exchange, pool
        self.on_endpoint_list: Callable[[EndpointList], None] = self.apply_endpoint_list
        self.on_alive: Callable[[], None] = lambda: None

    def make_parser(self) -> EventParser[EndpointList | PurgeEvent | WatchHeartbeat | UnusableLine]:
        """A parser for a new connection."""
        return wire.WatchEventParser(self.limits.max_bulletin_line)

    def start_from(self, known: Mapping[str, Any]) -> None:
        """Apply the events of the configuration. Raises `EndpointWatchError` where they cannot be used."""
        number = known.get("no", 0)
        if not wire.is_number(number):
            raise wire.EndpointWatchError(f"no: expected a number, got {str(number)[:40]!r}")
        for item in known["items"]:
            news = wire.parse_event(item)
            if not isinstance(news, WatchHeartbeat) and news.number > self.last_number:
                self.apply_event(news)
                self.last_number = news.number
        self.last_number = max(self.last_number, number)

    def heartbeat(self, number: int) -> None:
        """No event is out beyond those applied: the source is alive."""
        self.on_alive()

    def apply_event(self, event: EndpointList | PurgeEvent) -> None:
        """Put a list or a purge in force."""
        if isinstance(event, PurgeEvent):
            self.exchange.record_purge(event.key, event.group, event.issued_at)
            self.counters.add("purges")
            return
        if event.unusable_count:
            if self.counters.add_once("unusable_endpoints"):
                log.event(
                    LOGGER,
                    logging.WARNING,
                    "unusable_endpoint",
                    number=event.number,
                    why=event.unusable_reason,
                )
            self.counters.add("unusable_endpoints", event.unusable_count - 1)
        self.on_endpoint_list(event)
        self.counters.add("endpoint_lists")

    def apply_endpoint_list(self, item: EndpointList) -> None:
        """The endpoint list alone names the members.

        The pool first: a decision that follows may send to whom the list names.
        """
        listed = (*item.endpoints, *self.as_draining(item.draining_ids))
        self.pool.update_endpoints(listed, item.full)
        self.exchange.update_members(tuple(entry.member for entry in listed), item.full)

    def skip_event(self, event: EndpointList | PurgeEvent) -> None:
        """A list that failed as a unit: apply what can be, entry by entry."""
        if isinstance(event, EndpointList):
            listed = [*event.endpoints, *self.as_draining(event.draining_ids)]
            if self.on_endpoint_list != self.apply_endpoint_list:  # who comes is for the membership to say
                listed = [entry for entry in listed if entry.member.state is not MemberState.READY]
            apply_one_by_one(self.pool, self.exchange, listed)

    def as_draining(self, names: Iterable[str]) -> Iterable[Endpoint]:
        """Members as they are known, but out of service."""
        for name in names:
            member, instance = self.exchange.members.get(name), self.pool.instances.get(name)
            if member is not None and instance is not None:
                yield Endpoint(replace(member, state=MemberState.DRAINING), instance.address)


def apply_one_by_one(pool: ConnectionPool, exchange: Exchange, listed: Iterable[Endpoint]) -> set[str]:
    """Put in force what can be, after a list failed as a unit; the names of those that failed again.

    A drain or a removal binds what is decided and written even where the pool cannot follow it.
    """
    failed = set()
    for entry in listed:
        try:
            pool.update_endpoints((entry,), False)
        except Exception:
            failed.add(entry.member.name)
            if entry.member.state is MemberState.READY:
                continue
        try:
            exchange.update_members((entry.member,), False)
        except Exception:
            failed.add(entry.member.name)
    return failed
