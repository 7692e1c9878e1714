"""Hands endpoints and purges over between the two processes of a hot restart.

A successor starts with the known events of the configuration, which are those of its predecessor's start.
What has been published since then it learns from the endpoint watch, or, while that cannot be reached, only
from its predecessor. So the predecessor sends all that it knows, and each process what it receives later.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import replace
from itertools import islice
from typing import Any, Protocol, TypeVar

from paddlequay.net.endpoints.endpoint_watch import EndpointWatch
from paddlequay.observability import log
from paddlequay.protocol.endpoint_watch import Endpoint, EndpointList, PurgeEvent
from paddlequay.protocol.hot_restart import KnownEvents, LinkMessage, NewEvent
from paddlequay.protocol.known_events import digest_known_events

LOGGER = logging.getLogger(__name__)

# Per message: with names, zones and kinds of 200 characters each, well below the link's largest line.
MAX_ENDPOINTS_PER_MESSAGE = 500
MAX_PURGES_PER_MESSAGE = 2000
# A list with more endpoints than this is not sent on: the other process receives it from the source.
MAX_ENDPOINTS_PER_EVENT = MAX_ENDPOINTS_PER_MESSAGE
NO_COMMON_NUMBER = 0

T = TypeVar("T")


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
        purge_links: The links to all processes that exchange events; purges hold in any order.
        links: The links to processes whose events have the numbers of this process's events.
        waiting_successors: The links to successors that wait for the known events of this process.
        parts: The parts of the predecessor's known events received so far.
        expected: Whether the predecessor sends its known events.
        inherited: Set once all of them are applied.
        purges_unknown: Whether purges since the start of the predecessor may have been missed.
    """

    def __init__(self, watch: EndpointWatch, read_known: Callable[[], Mapping[str, Any]]) -> None:
        self.watch = watch
        self.read_known = read_known
        self.purge_links: list[EventLink] = []
        self.links: list[EventLink] = []
        self.waiting_successors: list[EventLink] = []
        self.parts: list[EndpointList | PurgeEvent] = []
        self.expected = False
        self.inherited = asyncio.Event()
        self.purges_unknown = False
        watch.on_new_event = self.send_new

    @property
    def sequence(self) -> str:
        """Returns what identifies the numbering of this process's events."""
        return digest_known_events(self.read_known())

    def open(self, link: EventLink, sequence: str, to_successor: bool) -> None:
        """Starts the exchange, once the other process has told the numbering of its events.

        Args:
            link: The link to the other process.
            sequence: What identifies the numbering; empty if the other process exchanges no events.
            to_successor: Whether the other process is the successor.
        """
        if not sequence:
            return
        self.purge_links.append(link)
        if sequence == self.sequence:
            self.links.append(link)
        if to_successor:
            self.waiting_successors.append(link)
            self.send_to_waiting()
        else:
            self.parts = []  # of an earlier link, which ended before the last part
            self.expected = True

    def close(self, link: EventLink) -> None:
        """Ends the exchange with a process that has ended."""
        for links in (self.purge_links, self.links, self.waiting_successors):
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

    def send_known(self, link: EventLink) -> None:
        """Sends all endpoints and purges; the purges alone to a process whose events have other numbers."""
        has_same_numbers = link in self.links
        number = self.watch.last_number if has_same_numbers else NO_COMMON_NUMBER
        endpoints = self.watch.endpoints.values() if has_same_numbers else ()
        for part in in_parts(endpoints, MAX_ENDPOINTS_PER_MESSAGE):
            link.send(KnownEvents(number, (EndpointList(number, True, part),), is_last=False))
        for purges in in_parts(self.watch.remembered_purges(), MAX_PURGES_PER_MESSAGE):
            link.send(KnownEvents(number, purges, is_last=False))
        link.send(KnownEvents(number, (), is_last=True))

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
        self.parts = []
        self.apply_known(message.number, endpoints, purges)
        self.inherited.set()
        self.send_to_waiting()

    def apply_known(self, number: int, endpoints: list[Endpoint], purges: list[PurgeEvent]) -> None:
        """Applies purges, and the endpoints unless this process has received a later event already."""
        for purge in purges:
            self.watch.apply_event(purge)
        self.watch.inherit(number, tuple(endpoints))
        log.event(
            LOGGER,
            logging.INFO,
            "endpoint_events_inherited",
            last=number,
            endpoints=len(endpoints),
            purges=len(purges),
        )

    def send_new(self, event: EndpointList | PurgeEvent) -> None:
        """Sends an event that this process has received from its source to the other process.

        A process whose events have other numbers gets the purges alone, without a number.
        """
        if isinstance(event, EndpointList) and len(event.endpoints) > MAX_ENDPOINTS_PER_EVENT:
            return
        for link in self.links:
            link.send(NewEvent(event))
        if not isinstance(event, PurgeEvent):
            return
        for link in self.purge_links:
            if link not in self.links:
                link.send(NewEvent(replace(event, number=NO_COMMON_NUMBER)))

    def receive_new(self, event: EndpointList | PurgeEvent) -> None:
        """Applies a purge of the other process, and its next event; the watch delivers all others."""
        if isinstance(event, PurgeEvent) and event.number != self.watch.last_number + 1:
            self.watch.try_to_apply(event)
        elif event.number == self.watch.last_number + 1 and self.watch.try_to_apply(event):
            self.watch.last_number = event.number


def in_parts(items: Iterable[T], size: int) -> Iterator[tuple[T, ...]]:
    """Yields the items in tuples of at most `size`."""
    iterator = iter(items)
    while part := tuple(islice(iterator, size)):
        yield part
