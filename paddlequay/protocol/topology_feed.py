"""The protocol of the topology feed: the endpoint watch's numbered lines of JSON, with topology deltas.

    {"no":7,"shape":{"version":3,"base":2,"put":[{"id":"a","at":"h:1","parents":["s"]}],"drop":["b"]}}

Purges and heartbeats are those of the endpoint watch. Knows no socket.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from paddlequay.hierarchy.errors import TopologyError
from paddlequay.hierarchy.topology import TopologyDelta, TopologyLimits
from paddlequay.hierarchy.topology_json import decode_delta
from paddlequay.protocol.endpoint_watch import (
    EndpointWatchError,
    LineParser,
    UnusableLine,
    WatchEvent,
    number_of,
    parse_event,
)


@dataclass(frozen=True, slots=True)
class TopologyEvent:
    """A topology delta, or the reason why what came as one cannot be read."""

    number: int
    delta: TopologyDelta | None
    reason: str = ""


class TopologyFeedParser(LineParser):
    """Parses events from bytes as they arrive.

    Args:
        max_line: The most bytes of a line.
        limits: Bounds of a delta.
    """

    def __init__(self, max_line: int, limits: TopologyLimits) -> None:
        super().__init__(max_line)
        self.limits = limits

    def feed(self, data: bytes) -> Iterator[WatchEvent | TopologyEvent | UnusableLine]:
        """Returns the events that are complete with these bytes."""
        yield from self.events(data, lambda item: parse_feed_event(item, self.limits))


def parse_feed_event(item: Any, limits: TopologyLimits) -> WatchEvent | TopologyEvent:
    """Returns the event that a line holds. An unusable delta is an event too: it must not end the feed.

    Raises:
        EndpointWatchError: The line holds no event.
    """
    if not isinstance(item, dict) or "shape" not in item:
        return parse_event(item)
    number = number_of(item)
    if number is None:
        raise EndpointWatchError(f"a shape without a number: {str(item)[:80]}")
    try:
        return TopologyEvent(number, decode_delta(item["shape"], limits))
    except TopologyError as error:
        return TopologyEvent(number, None, str(error))
