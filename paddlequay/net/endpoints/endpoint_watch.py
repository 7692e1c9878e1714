"""Watches the event stream of endpoint lists and purges, and applies the events in order."""

import logging
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.net.endpoints.known_endpoints import KnownEndpoints, with_state
from paddlequay.net.endpoints.link_withdrawals import LinkWithdrawals
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
from paddlequay.protocol.membership_records import reported_member
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import LIST_SOURCE, MembershipState, ReportRecord

LOGGER = logging.getLogger(__name__)

MAX_QUOTED_CHARS = 40  # of an invalid value that an error quotes
# One heartbeat may be late on its way; after this many, the source counts by other numbers.
MAX_LOW_HEARTBEATS = 3


class EndpointWatch(WatchClient[EndpointList | PurgeEvent]):
    """Updates the exchange and the pool from the endpoint list.

    Attributes:
        known_endpoints: The endpoints as the list has them, and those that it has removed.
        withdrawals: The drains and removals that only the other process of a hot restart was told of.
        last_changes: The endpoints that the last list has changed, those that it removed as `REMOVED`.
        on_new_event: Called with each event that was received from the source and applied, and the endpoints
            that it has changed.
        on_endpoint_list: Called with each list. Applies it directly, unless `MemberSources` sets it to report
            the list to the membership.
        on_inherited: Called with the predecessor's list, and with what its sources have told. The list is
            None if that of this process is later or has other numbers. `MemberSources` replaces it.
        export_members: Returns what the sources have told. `MemberSources` replaces it.
        on_heartbeat: Called at each heartbeat at which all published events are applied.
        own_number: The number of the last event before the predecessor's events were inherited; None if they
            were not.
        low_heartbeats: The number of consecutive heartbeats below the inherited number.
    """

    gapless = True

    def __init__(
        self, address: Address, exchange: Exchange, pool: ConnectionPool, limits: Limits, counters: Counters
    ) -> None:
        super().__init__(address, limits, counters, "endpoint_watch")
        self.exchange = exchange
        self.pool = pool
        self.known_endpoints = KnownEndpoints()
        self.withdrawals = LinkWithdrawals()
        self.last_changes: tuple[Endpoint, ...] = ()
        self.on_new_event: Callable[[EndpointList | PurgeEvent, tuple[Endpoint, ...]], None] = ignore_event
        self.on_endpoint_list: Callable[[EndpointList], None] = self.apply_endpoint_list
        self.on_inherited: Callable[[EndpointList | None, MembershipState], None] = self.apply_inherited
        self.export_members: Callable[[], MembershipState] = self.withdrawn_members
        self.on_heartbeat: Callable[[], None] = lambda: None
        self.own_number: int | None = None
        self.low_heartbeats = 0

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

    def remembered_purges(self) -> Iterator[PurgeEvent]:
        """Yields the latest purge of each object and group, with the number of the last event."""
        for (scope, value), issued_at in self.exchange.write_checks.purged_at.items():
            is_key = scope == "key"
            yield PurgeEvent(
                self.last_number, issued_at, value if is_key else None, None if is_key else value
            )

    def heartbeat(self, number: int) -> None:
        """Calls `on_heartbeat`, as the source is alive and all its events are applied.

        Raises:
            EndpointWatchError: The source does not know the inherited number, so the events after the last
                one that this process itself has received must be requested.
        """
        self.check_inherited_number(number)
        self.on_heartbeat()

    def inherit(
        self, number: int, endpoints: tuple[Endpoint, ...], state: MembershipState | None = None
    ) -> None:
        """Takes over the predecessor's endpoints, unless a later event than its last one has come already.

        Args:
            number: The number of the predecessor's last event; 0 if its numbers are others.
            endpoints: The predecessor's endpoints.
            state: What the predecessor's sources have told; None from a process of an earlier version.
        """
        state = state or MembershipState()
        is_later = number > self.last_number
        listed = EndpointList(number, True, endpoints)
        try:
            self.on_inherited(listed if is_later else None, state)
        except Exception as error:  # error boundary: the link to the predecessor stays open
            self.report.failed(error)
            if is_later:
                self.skip_event(listed)
        self.known_endpoints.inherit_removals(state)
        if not is_later:
            return
        self.update_endpoints(listed)
        self.counters.add("endpoint_lists")
        self.withdrawals.forget_until(number)
        self.own_number = self.last_number
        self.last_number = number

    def apply_inherited(self, listed: EndpointList | None, state: MembershipState) -> None:
        """Applies the predecessor's list directly, for a router without other sources."""
        if listed is not None:
            self.apply_endpoint_list(listed)

    def withdrawn_members(self) -> MembershipState:
        """Returns the drains and removals of the list, for a router without other sources."""
        now = self.exchange.scheduler.unix()
        withdrawn = (*self.known_endpoints.withdrawn(), *self.withdrawals.endpoints())
        records = (ReportRecord(LIST_SOURCE, reported_member(each), now) for each in withdrawn)
        return MembershipState(reports=tuple(records))

    def known_withdrawals(self) -> dict[int, list[Endpoint]]:
        """Returns the drains and removals by the number of the event up to which they were told.

        Those that only the other process of a hot restart was told of may have no number (0).
        """
        withdrawn = {self.last_number: self.known_endpoints.withdrawn()}
        for entry in self.withdrawals.entries.values():
            withdrawn.setdefault(entry.number, []).append(entry.endpoint)
        return withdrawn

    def whole_list(self) -> EndpointList:
        """Returns all that the list has told, with the endpoints that it has removed."""
        endpoints = (*self.current_endpoints(), *self.known_endpoints.removed.values())
        return EndpointList(self.last_number, True, endpoints)

    def current_endpoints(self) -> list[Endpoint]:
        """Returns the endpoints without those that only the other process was told to remove."""
        endpoints = map(self.withdrawals.withdrawn, self.endpoints.values())
        return [each for each in endpoints if each.member.state is not MemberState.REMOVED]

    def try_to_apply_changes(self, endpoints: Iterable[Endpoint]) -> None:
        """Applies endpoints that the other process was told of."""
        listed = EndpointList(self.last_number, False, tuple(endpoints))
        try:
            self.on_endpoint_list(listed)
        except Exception as error:  # error boundary of one message: the link to that process stays open
            self.report.failed(error)
            apply_one_by_one(self.pool, self.exchange, listed.endpoints)

    def check_inherited_number(self, number: int) -> None:
        """Returns to this process's own number if the source does not count as the predecessor did.

        Raises:
            EndpointWatchError: It has returned to its own number.
        """
        if self.own_number is None or number >= self.last_number:
            self.low_heartbeats = 0
            return
        self.low_heartbeats += 1
        if self.low_heartbeats < MAX_LOW_HEARTBEATS:
            return
        inherited, self.last_number = self.last_number, self.own_number
        self.own_number = None
        raise wire.EndpointWatchError(f"the source has event {number}, but {inherited} was inherited")

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
        self.on_endpoint_list(self.withdrawals.apply_to(event))
        self.update_endpoints(event)
        self.counters.add("endpoint_lists")

    def try_to_apply(self, event: EndpointList | PurgeEvent) -> bool:
        """Applies an event that another process sent, and returns whether it could be applied."""
        try:
            self.apply_event(event)
        except Exception as error:  # error boundary of one event: the link to that process stays open
            self.report.failed(error)
            return False
        return True

    def handle_new(self, event: EndpointList | PurgeEvent | UnusableLine, number: int) -> None:
        """Handles a new event of the source. Raises `EndpointWatchError` if it must be requested again."""
        self.last_changes = ()
        super().handle_new(event, number)
        if not isinstance(event, UnusableLine):
            self.on_new_event(event, tuple(map(self.withdrawals.withdrawn, self.last_changes)))

    def update_endpoints(self, item: EndpointList) -> None:
        """Updates the endpoints from a list or its changes."""
        self.last_changes = self.known_endpoints.update(item, self.is_only_source)

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """The endpoints as the list has them, by id."""
        return self.known_endpoints.listed

    @property
    def is_only_source(self) -> bool:
        """Whether lists are applied directly, and not reported to a membership."""
        return self.on_endpoint_list == self.apply_endpoint_list

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
            self.update_endpoints(event)
            listed = [*event.endpoints, *self.as_draining(event.draining_ids)]
            if not self.is_only_source:  # then only the membership may add members
                listed = [entry for entry in listed if entry.member.state is not MemberState.READY]
            apply_one_by_one(self.pool, self.exchange, listed)

    def as_draining(self, names: Iterable[str]) -> Iterable[Endpoint]:
        """Yields known members as draining; ignores unknown names."""
        for name in names:
            member = self.exchange.members.get(name)
            instance = self.pool.instances.get(name)
            if member is not None and instance is not None:
                yield with_state(Endpoint(member, instance.address), MemberState.DRAINING)


def ignore_event(event: EndpointList | PurgeEvent, changes: tuple[Endpoint, ...]) -> None:
    """Ignores an event."""


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
