"""The protocol of the topology feed: numbered lines of JSON like the endpoint watch's, with topology deltas.

    {"no":7,"shape":{"version":3,"base":2,"put":[{"id":"a","at":"h:1","parents":["s"]}],"drop":["b"]}}

Purges and heartbeats have the same form as in the endpoint watch.
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
    event_number,
    parse_event,
)


@dataclass(frozen=True, slots=True)
class TopologyEvent:
    """A topology delta; None if it is invalid, and then `reason` says why."""

    number: int
    delta: TopologyDelta | None
    reason: str = ""


class TopologyFeedParser(LineParser):
    """Parses events from bytes as they are received.

    Args:
        max_line: The largest allowed line in bytes; a longer one is skipped to its end.
        limits: Limits on a delta.
    """

    def __init__(self, max_line: int, limits: TopologyLimits) -> None:
        super().__init__(max_line)
        self.limits = limits

    def feed(self, data: bytes) -> Iterator[WatchEvent | TopologyEvent | UnusableLine]:
        """Returns the events that are complete with these bytes."""
        yield from self.events(data, lambda item: parse_feed_event(item, self.limits))


def parse_feed_event(item: Any, limits: TopologyLimits) -> WatchEvent | TopologyEvent:
    """Returns the event that a line holds. An invalid delta is an event as well, as it must not end the feed.

    Raises:
        EndpointWatchError: The line holds no event.
    """
    if not isinstance(item, dict) or "shape" not in item:
        return parse_event(item)
    number = event_number(item)
    if number is None:
        raise EndpointWatchError(f"shape: expected an event with a number, got {str(item)[:80]}")
    try:
        return TopologyEvent(number, decode_delta(item["shape"], limits))
    except TopologyError as error:
        return TopologyEvent(number, None, str(error))
