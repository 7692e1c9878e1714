"""The feed of shapes: the bulletin's numbered lines of JSON, with changes of the shape among them.

    {"no":7,"shape":{"version":3,"base":2,"put":[{"id":"a","at":"h:1","parents":["s"]}],"drop":["b"]}}

Purges and heartbeats are the bulletin's. Knows no socket.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from paddlequay.hierarchy.topology import Delta, TopologyError, TopologyLimits, read_delta
from paddlequay.protocol.endpoint_watch import (
    EndpointWatchError,
    LineParser,
    UnusableLine,
    WatchEvent,
    number_of,
    parse_event,
)


@dataclass(frozen=True, slots=True)
class Shaped:
    """A change of the shape, or why what came as one cannot be read."""

    number: int
    delta: Delta | None
    why: str = ""


def read_item(item: Any, limits: TopologyLimits) -> WatchEvent | Shaped:
    """One event. A change that cannot be used is news of its own: it must not end the feed."""
    if isinstance(item, dict) and "shape" in item:
        number = number_of(item)
        if number is None:
            raise EndpointWatchError(f"a shape without a number: {str(item)[:80]}")
        try:
            return Shaped(number, read_delta(item["shape"], limits))
        except TopologyError as error:
            return Shaped(number, None, str(error))
    return parse_event(item)


class Reader(LineParser):
    """Gives whole lines' news."""

    def __init__(self, most: int, limits: TopologyLimits) -> None:
        super().__init__(most)
        self.limits = limits

    def feed(self, data: bytes) -> Iterator[WatchEvent | Shaped | UnusableLine]:
        yield from self.events(data, lambda item: read_item(item, self.limits))
