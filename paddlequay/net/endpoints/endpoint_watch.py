"""Watches the event stream of endpoint lists and purges, and applies the events in order."""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.net.endpoints.watch_client import WatchClient
from paddlequay.net.endpoints.watch_connection import EventParser
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

MAX_QUOTED_CHARS = 40  # of an invalid value that an error quotes


class EndpointWatch(WatchClient[EndpointList | PurgeEvent]):
    """Updates the exchange and the pool from the endpoint list.

    Attributes:
        on_endpoint_list: Called with each list. Applies it directly, unless `MemberSources` sets it to report
            the list to the membership.
        on_heartbeat: Called at each heartbeat at which all published events are applied.
    """

    gapless = True

    def __init__(
        self, address: Address, exchange: Exchange, pool: ConnectionPool, limits: Limits, counters: Counters
    ) -> None:
        super().__init__(address, limits, counters, "endpoint_watch")
        self.exchange = exchange
        self.pool = pool
        self.on_endpoint_list: Callable[[EndpointList], None] = self.apply_endpoint_list
        self.on_heartbeat: Callable[[], None] = lambda: None

    def make_parser(self) -> EventParser[EndpointList | PurgeEvent | WatchHeartbeat | UnusableLine]:
        """Returns a parser for a new connection."""
        return wire.WatchEventParser(self.limits.max_watch_line)

    def start_from(self, known: Mapping[str, Any]) -> None:
        """Applies the events in the configuration. Raises `EndpointWatchError` if they are invalid."""
        number = known.get("no", 0)
        if not wire.is_number(number):
            raise wire.EndpointWatchError(f"no: expected a number, got {str(number)[:MAX_QUOTED_CHARS]!r}")
        for item in known["items"]:
            event = wire.parse_event(item)
            if not isinstance(event, WatchHeartbeat) and event.number > self.last_number:
                self.apply_event(event)
                self.last_number = event.number
        self.last_number = max(self.last_number, number)

    def heartbeat(self, number: int) -> None:
        """Calls `on_heartbeat`, as the source is alive and all its events are applied."""
        self.on_heartbeat()

    def apply_event(self, event: EndpointList | PurgeEvent) -> None:
        """Applies a list or a purge."""
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
        """Applies a list directly to the pool and the exchange, for a router without other sources.

        The pool is updated first, because a request may be sent to any member once the exchange knows it.
        """
        listed = (*item.endpoints, *self.as_draining(item.draining_ids))
        self.pool.update_endpoints(listed, item.full)
        self.exchange.update_members(tuple(entry.member for entry in listed), item.full)

    def skip_event(self, event: EndpointList | PurgeEvent) -> None:
        """Applies the valid entries of a list that failed as a whole."""
        if isinstance(event, EndpointList):
            listed = [*event.endpoints, *self.as_draining(event.draining_ids)]
            has_other_sources = self.on_endpoint_list != self.apply_endpoint_list
            if has_other_sources:  # then only the membership may add members
                listed = [entry for entry in listed if entry.member.state is not MemberState.READY]
            apply_one_by_one(self.pool, self.exchange, listed)

    def as_draining(self, names: Iterable[str]) -> Iterable[Endpoint]:
        """Yields known members as draining; ignores unknown names."""
        for name in names:
            member = self.exchange.members.get(name)
            instance = self.pool.instances.get(name)
            if member is not None and instance is not None:
                yield Endpoint(replace(member, state=MemberState.DRAINING), instance.address)


def apply_one_by_one(pool: ConnectionPool, exchange: Exchange, listed: Iterable[Endpoint]) -> set[str]:
    """Applies the entries of a list that failed as a whole; returns the names of those that failed again.

    A drain or removal is applied to the exchange even if the pool fails to apply it.
    """
    failed = set()
    for entry in listed:
        try:
            pool.update_endpoints((entry,), False)
        except Exception:  # an error of one entry must not keep the others from being applied
            failed.add(entry.member.name)
            if entry.member.state is MemberState.READY:
                continue
        try:
            exchange.update_members((entry.member,), False)
        except Exception:  # as above
            failed.add(entry.member.name)
    return failed
