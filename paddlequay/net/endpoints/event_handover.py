"""Hands endpoints, members and purges over between the two processes of a hot restart.

A successor starts with the known events of the configuration, which are those of its predecessor's start.
What has been published since then it learns from the endpoint watch, or, while that cannot be reached, only
from its predecessor. So the predecessor sends all that it knows, and each process what it receives later.

What the sources of members have told the predecessor (drains, removals, omissions and pauses) belongs to the
successor as well; the known events are never later than that. Where the numbers of the two processes are not
the same, only withdrawals of members are exchanged: a drain or removal that either was told of holds in both.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any, Protocol

from paddlequay.net.endpoints.endpoint_watch import EndpointWatch
from paddlequay.net.endpoints.link_withdrawals import NO_COMMON_NUMBER
from paddlequay.net.endpoints.withdrawal_receiver import WithdrawalReceiver
from paddlequay.observability import log
from paddlequay.protocol.endpoint_watch import Endpoint, EndpointList, PurgeEvent
from paddlequay.protocol.hot_restart import (
    InheritedMembers,
    KnownEvents,
    LinkMessage,
    LinkProtocolError,
    ListChanges,
    NewEvent,
)
from paddlequay.protocol.known_events import digest_known_events
from paddlequay.protocol.membership_records import (
    MAX_RECORDS_PER_MESSAGE,
    endpoint_of,
    in_parts,
    reported_member,
    state_in_parts,
)
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import LIST_SOURCE, MembershipState, join_states

LOGGER = logging.getLogger(__name__)

# Per message: with names, zones and kinds of 200 characters each, well below the link's largest line.
MAX_ENDPOINTS_PER_MESSAGE = 500
MAX_PURGES_PER_MESSAGE = 2000
# A list with more endpoints than this is not sent on: the other process receives it from the source.
MAX_ENDPOINTS_PER_EVENT = MAX_ENDPOINTS_PER_MESSAGE
# Of a predecessor: reports and removals of a few sources, each with the largest number of members.
MAX_INHERITED_RECORDS = 200_000


class EventLink(Protocol):
    """The link to the other process."""

    def send(self, message: LinkMessage) -> None:
        """Sends a message."""
        ...


class EventHandover:
    """Sends the known and the new events of this process, and applies those of the other one.

    Args:
        watch: The endpoint watch of this process.
        read_known: Returns the known events of the configuration as last read.

    Attributes:
        receiver: Applies the withdrawals of members that other processes were told of.
        purge_links: The links to all processes that exchange events; purges hold in any order.
        links: The links to processes whose events have the numbers of this process's events.
        member_links: The links to processes that exchange what sources of members have told.
        waiting_successors: The links to successors that wait for the known events of this process.
        parts: The parts of the predecessor's known events received so far.
        member_parts: The parts of what its sources of members have told received so far.
        expected: Whether the predecessor sends its known events.
        inherited: Set once all of them are applied.
        purges_unknown: Whether purges since the start of the predecessor may have been missed.
    """

    def __init__(self, watch: EndpointWatch, read_known: Callable[[], Mapping[str, Any]]) -> None:
        self.watch = watch
        self.receiver = WithdrawalReceiver(watch)
        self.read_known = read_known
        self.purge_links: list[EventLink] = []
        self.links: list[EventLink] = []
        self.member_links: list[EventLink] = []
        self.waiting_successors: list[EventLink] = []
        self.parts: list[EndpointList | PurgeEvent] = []
        self.member_parts: list[MembershipState] = []
        self.expected = False
        self.inherited = asyncio.Event()
        self.purges_unknown = False
        watch.on_new_event = self.send_new

    @property
    def sequence(self) -> str:
        """Returns what identifies the numbering of this process's events."""
        return digest_known_events(self.read_known())

    def open(
        self, link: EventLink, sequence: str, to_successor: bool, exchanges_members: bool = False
    ) -> None:
        """Starts the exchange, once the other process has told the numbering of its events.

        Args:
            link: The link to the other process.
            sequence: What identifies the numbering; empty if the other process exchanges no events.
            to_successor: Whether the other process is the successor.
            exchanges_members: Whether the other process exchanges what sources of members have told.
        """
        if not sequence:
            return
        self.purge_links.append(link)
        if sequence == self.sequence:
            self.links.append(link)
        if exchanges_members:
            self.member_links.append(link)
        if to_successor:
            self.waiting_successors.append(link)
            if exchanges_members:
                self.send_withdrawals(link)
            self.send_to_waiting()
        else:
            # Those of an earlier link, which ended before the last part.
            self.parts = []
            self.member_parts = []
            self.expected = True

    def close(self, link: EventLink) -> None:
        """Ends the exchange with a process that has ended."""
        for links in (self.purge_links, self.links, self.member_links, self.waiting_successors):
            if link in links:
                links.remove(link)

    @property
    def is_complete(self) -> bool:
        """Returns whether this process knows all events that it was to be told of."""
        has_all = not self.expected or self.inherited.is_set() or self.watch.is_current.is_set()
        return has_all and not self.purges_unknown

    def set_purges_unknown(self, unknown: bool) -> None:
        """Sets whether purges may have been missed; until then, a successor gets no known events."""
        self.purges_unknown = unknown
        self.send_to_waiting()

    def send_to_waiting(self) -> None:
        """Sends the known events to the successors that wait, if they are complete."""
        if not self.is_complete:
            return
        for link in self.waiting_successors:
            self.send_known(link)
        self.waiting_successors.clear()

    def send_withdrawals(self, link: EventLink) -> None:
        """Sends the drains and removals that this process knows, also if it does not know all events yet."""
        has_same_numbers = link in self.links
        for number, withdrawn in self.watch.known_withdrawals().items():
            self.send_changes(link, number if has_same_numbers else NO_COMMON_NUMBER, withdrawn)

    def send_known(self, link: EventLink) -> None:
        """Sends all endpoints, members and purges; no endpoints to a process with other event numbers."""
        has_same_numbers = link in self.links
        number = self.watch.last_number if has_same_numbers else NO_COMMON_NUMBER
        endpoints = self.watch.current_endpoints() if has_same_numbers else []
        if link in self.member_links:
            for state in state_in_parts(self.watch.export_members()):
                link.send(InheritedMembers(number, state))
        elif has_same_numbers:
            # An earlier version takes members that a list merely lacks for omitted by mistake.
            endpoints += self.watch.known_endpoints.removed.values()
        for part in in_parts(endpoints, MAX_ENDPOINTS_PER_MESSAGE):
            link.send(KnownEvents(number, (EndpointList(number, True, part),), is_last=False))
        for purges in in_parts(self.watch.remembered_purges(), MAX_PURGES_PER_MESSAGE):
            link.send(KnownEvents(number, purges, is_last=False))
        link.send(KnownEvents(number, (), is_last=True))

    def receive_members(self, message: InheritedMembers) -> None:
        """Keeps a part of what the predecessor's sources have told until the last part of its known events.

        Withdrawals hold at once, as the last part may never come.

        Raises:
            LinkProtocolError: The predecessor sends more than any membership holds.
        """
        self.member_parts.append(message.state)
        if sum(part.record_count for part in self.member_parts) > MAX_INHERITED_RECORDS:
            raise LinkProtocolError(f"membership: more than {MAX_INHERITED_RECORDS} records")
        withdrawn = (
            endpoint_of(record.member)
            for record in message.state.reports
            if record.source == LIST_SOURCE and record.is_withdrawal
        )
        self.receiver.withdraw(withdrawn, message.number)

    def receive_known(self, message: KnownEvents) -> None:
        """Applies the predecessor's known events once all parts are there."""
        self.parts += message.events
        if not message.is_last:
            return
        purges = [event for event in self.parts if isinstance(event, PurgeEvent)]
        endpoints = [
            endpoint
            for event in self.parts
            if isinstance(event, EndpointList)
            for endpoint in event.endpoints
        ]
        state = join_states(self.member_parts)
        self.parts = []
        self.member_parts = []
        self.apply_known(message.number, endpoints, purges, state)
        self.inherited.set()
        self.send_to_waiting()

    def apply_known(
        self, number: int, endpoints: list[Endpoint], purges: list[PurgeEvent], state: MembershipState
    ) -> None:
        """Applies all; of the endpoints nothing if this process has received a later event already."""
        for purge in purges:
            self.watch.apply_event(purge)
        self.watch.inherit(number, tuple(endpoints), state)
        log.event(
            LOGGER,
            logging.INFO,
            "endpoint_events_inherited",
            last=number,
            endpoints=len(endpoints),
            purges=len(purges),
        )

    def send_new(self, event: EndpointList | PurgeEvent, changes: tuple[Endpoint, ...]) -> None:
        """Sends an event that this process has received from its source to the other processes.

        A process whose events have other numbers gets it without a number: a purge, or the changed members.

        Args:
            event: The event.
            changes: The endpoints that it has changed.
        """
        if isinstance(event, PurgeEvent):
            for link in self.purge_links:
                number = event.number if link in self.links else NO_COMMON_NUMBER
                link.send(NewEvent(replace(event, number=number)))
            return
        is_small = len(event.endpoints) <= MAX_ENDPOINTS_PER_EVENT
        for link in self.purge_links:
            has_same_numbers = link in self.links
            if has_same_numbers and is_small:
                link.send(NewEvent(event))
            elif link in self.member_links:
                self.send_changes(link, event.number if has_same_numbers else NO_COMMON_NUMBER, changes)

    def send_changes(self, link: EventLink, number: int, changes: Iterable[Endpoint]) -> None:
        """Sends the members that an event has changed."""
        for part in in_parts(map(reported_member, changes), MAX_RECORDS_PER_MESSAGE):
            link.send(ListChanges(number, part))

    def receive_new(self, event: EndpointList | PurgeEvent) -> None:
        """Applies a purge of the other process, and its next event; the watch delivers all others.

        Of an event after the next one, withdrawals hold at once, as this process may have no watch.
        """
        if isinstance(event, PurgeEvent) and event.number != self.watch.last_number + 1:
            self.watch.try_to_apply(event)
        elif event.number == self.watch.last_number + 1 and self.watch.try_to_apply(event):
            self.watch.last_number = event.number
        elif isinstance(event, EndpointList):
            draining = self.watch.as_draining(event.draining_ids)
            self.receiver.withdraw((*withdrawn_among(event.endpoints), *draining), event.number)

    def receive_changes(self, message: ListChanges) -> None:
        """Applies the withdrawals of members, and their revocation by a process with other numbers.

        Where the numbers are the same, the watch delivers the event itself.
        """
        endpoints = [endpoint_of(member) for member in message.members]
        self.receiver.withdraw(withdrawn_among(endpoints), message.number)
        if message.number == NO_COMMON_NUMBER:
            ready = [each for each in endpoints if each.member.state is MemberState.READY]
            self.receiver.revoke(ready)


def withdrawn_among(endpoints: Iterable[Endpoint]) -> list[Endpoint]:
    """Returns the endpoints that drain or were removed."""
    return [each for each in endpoints if each.member.state is not MemberState.READY]
