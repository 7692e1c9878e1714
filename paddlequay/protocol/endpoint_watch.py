"""The protocol of the endpoint list: parses numbered lines of JSON and formats `after N` requests."""

import json
import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from paddlequay.routing.interface import Member, MemberState

STATES = {
    "in_service": MemberState.READY,
    "terminating": MemberState.DRAINING,
    "terminated": MemberState.REMOVED,
}
MAX_NUMBER = 1 << 53  # of JSON's integers; after a larger number, all later events would count as applied
MS_PER_S = 1000.0
MAX_PORT = 65_535
MAX_OCTET = 255
MAX_QUOTED_CHARS = 40  # of an invalid value, in an error
MAX_QUOTED_ENTRY_CHARS = 60
MAX_QUOTED_EVENT_CHARS = 80
MAX_REASON_CHARS = 200
ID = re.compile(r"[!-+\--~]{1,200}")  # without space and comma, as it is a field's value on the wire
HEX_64_BITS = re.compile(r"[0-9a-fA-F]{1,16}")
ADDRESS = re.compile(r"((?:0|[1-9][0-9]{0,2})(?:\.(?:0|[1-9][0-9]{0,2})){3}):([0-9]{1,5})")

T = TypeVar("T")


class EndpointWatchError(ValueError):
    """The line is neither an event nor a heartbeat, or cannot follow the ones before it."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A member with the address at which it listens."""

    member: Member
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The endpoint list or changes to it, with at most one entry of an id: its last.

    Attributes:
        number: The number of the event.
        full: Whether it is the complete list.
        endpoints: The valid entries.
        draining_ids: The ids of invalid entries that are not in service.
        unusable_count: The number of invalid entries.
        unusable_reason: Why the last of them is invalid.
    """

    number: int
    full: bool
    endpoints: tuple[Endpoint, ...]
    draining_ids: tuple[str, ...] = ()
    unusable_count: int = 0
    unusable_reason: str = ""


@dataclass(frozen=True, slots=True)
class PurgeEvent:
    """A purge of an object, or of a group; `issued_at` in Unix seconds."""

    number: int
    issued_at: float
    key: int | None
    group: int | None


@dataclass(frozen=True, slots=True)
class WatchHeartbeat:
    """A heartbeat with the number of the last event."""

    number: int


@dataclass(frozen=True, slots=True)
class UnusableLine:
    """An invalid line; with its number if it is an event with one."""

    number: int | None
    reason: str


WatchEvent = EndpointList | PurgeEvent | WatchHeartbeat


def resume_request(number: int) -> bytes:
    """Returns the request for the events after a number."""
    return f"after {number}\n".encode()


def is_number(value: Any) -> bool:
    """Returns whether a value may be the number of an event."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < MAX_NUMBER


def number_of(item: Any) -> int | None:
    """Returns the number of an event; None without a valid one."""
    number = item.get("no") if isinstance(item, dict) else None
    return number if is_number(number) else None


def parse_number(value: Any, name: str) -> float:
    """Returns a number from 0 to below `MAX_NUMBER`. Raises `EndpointWatchError` for others and NaN."""
    if type(value) not in (int, float) or not 0 <= value < MAX_NUMBER:
        raise EndpointWatchError(f"{name}: expected a number, got {str(value)[:MAX_QUOTED_CHARS]!r}")
    return float(value)


def parse_id(item: Mapping[str, Any]) -> str:
    """Returns the id of an entry. Raises `EndpointWatchError`."""
    name = item.get("instanceId")
    if not isinstance(name, str) or not ID.fullmatch(name):
        raise EndpointWatchError(f"instanceId: cannot be used: {str(name)[:MAX_QUOTED_CHARS]!r}")
    return name


def parse_address(at: Any) -> tuple[str, int]:
    """Returns an IPv4 address and a port. Raises `EndpointWatchError`.

    Host names are invalid, as their lookup would block the event loop.
    """
    match = ADDRESS.fullmatch(at) if isinstance(at, str) else None
    port = int(match[2]) if match else 0
    if (
        match is None
        or not 0 < port <= MAX_PORT
        or any(int(each) > MAX_OCTET for each in match[1].split("."))
    ):
        raise EndpointWatchError(
            f"hostPort: expected an address and a port, got {str(at)[:MAX_QUOTED_ENTRY_CHARS]!r}"
        )
    return match[1], port


def parse_endpoint(item: Any) -> Endpoint:
    """Returns one entry of the list. Raises `EndpointWatchError`."""
    if not isinstance(item, dict):
        raise EndpointWatchError(f"an entry that is no object: {str(item)[:MAX_QUOTED_CHARS]}")
    name = parse_id(item)
    lifecycle = item.get("lifecycle")
    state = STATES.get(lifecycle) if isinstance(lifecycle, str) else None
    if state is None:
        raise EndpointWatchError(f"lifecycle: {str(lifecycle)[:MAX_QUOTED_CHARS]!r} is not known")
    if state is MemberState.REMOVED:
        return Endpoint(Member(name=name, state=state), ("", 0))  # the other fields are not needed
    zone = item.get("zone")
    kind = item.get("machineType")
    cell = item.get("cell")
    # No calls for these checks: thousands of entries are parsed in one iteration of the event loop.
    if not ((zone is None or type(zone) is str) and (kind is None or type(kind) is str)):
        raise EndpointWatchError(
            f"zone, machineType: expected text, got {str((zone, kind))[:MAX_QUOTED_ENTRY_CHARS]}"
        )
    if not (cell is None or type(cell) is int):
        raise EndpointWatchError(f"cell: expected a whole number, got {str(cell)[:MAX_QUOTED_CHARS]!r}")
    started = item.get("startedAtMs")
    weight = item.get("weight")
    return Endpoint(
        Member(
            name,
            zone,
            kind,
            cell,
            state,
            None if weight is None else parse_number(weight, "weight"),
            parse_number(started, "startedAtMs") / MS_PER_S if started else 0.0,
        ),
        parse_address(item.get("hostPort")),
    )


def parse_endpoint_list(number: int, roster: Any) -> EndpointList:
    """Returns the event of a list. Raises `EndpointWatchError` if it is no list.

    An invalid entry does not affect the others. If it has an id and is not in service, its member drains.
    """
    instances = roster.get("instances") if isinstance(roster, dict) else None
    if not isinstance(instances, list):
        raise EndpointWatchError("a list without instances")
    listed: dict[str, Endpoint] = {}
    drained: dict[str, None] = {}
    unusable_count = 0
    unusable_reason = ""
    for item in instances:
        try:
            entry = parse_endpoint(item)
        except EndpointWatchError as error:
            unusable_count += 1
            unusable_reason = str(error)
            name = item.get("instanceId") if isinstance(item, dict) else None
            if isinstance(name, str) and item.get("lifecycle") != "in_service":
                listed.pop(name, None)
                drained[name] = None
            continue
        name = entry.member.name
        drained.pop(name, None)
        listed.pop(name, None)
        listed[name] = entry
    full = bool(roster.get("reset")) or number == 1
    return EndpointList(number, full, tuple(listed.values()), tuple(drained), unusable_count, unusable_reason)


def parse_purge(number: int, recall: Any) -> PurgeEvent:
    """Returns the event of a purge. Raises `EndpointWatchError`."""
    if not isinstance(recall, dict):
        raise EndpointWatchError("neither a list nor a purge")
    key = recall.get("item")
    group = recall.get("lot")
    if (key is None) == (group is None):
        raise EndpointWatchError("a purge names an object or a group")
    issued = parse_number(recall.get("issued"), "issued") / MS_PER_S
    if key is None:
        if not is_number(group):
            raise EndpointWatchError(f"lot: expected a number, got {str(group)[:MAX_QUOTED_CHARS]!r}")
        return PurgeEvent(number, issued, None, group)
    if not isinstance(key, str) or not HEX_64_BITS.fullmatch(key):
        raise EndpointWatchError(f"item: expected hex digits, got {str(key)[:MAX_QUOTED_CHARS]!r}")
    return PurgeEvent(number, issued, int(key, 16), None)


def parse_event(item: Any) -> WatchEvent:
    """Returns an event or a heartbeat. Raises `EndpointWatchError`."""
    if is_number(item):
        return WatchHeartbeat(item)
    number = number_of(item)
    if number is None:
        raise EndpointWatchError(f"neither an event nor a heartbeat: {str(item)[:MAX_QUOTED_EVENT_CHARS]}")
    if item.keys() == {"no"}:
        return WatchHeartbeat(number)  # the other form of a heartbeat, beside the plain number
    if "roster" in item:
        return parse_endpoint_list(number, item["roster"])
    return parse_purge(number, item.get("recall"))


class LineParser:
    """Parses lines from bytes as they are received; an invalid line becomes an `UnusableLine`.

    Args:
        max_line: The most bytes of a line; a longer one is skipped to its end.

    Attributes:
        buffer: The received part of an incomplete line.
        skipping: Whether that line is too long.
    """

    def __init__(self, max_line: int) -> None:
        self.max_line = max_line
        self.buffer = bytearray()
        self.skipping = False

    def lines(self, data: bytes) -> Iterator[bytes | None]:
        """Returns the lines that are complete with these bytes; None in place of one that is too long."""
        # Search the new bytes only: thousands of members are one line, received in many parts.
        start = len(self.buffer)
        self.buffer += data
        end = self.buffer.find(b"\n", start)
        while end >= 0:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            if self.skipping or len(line) > self.max_line:
                self.skipping = False
                yield None
            elif line.strip():
                yield line
            end = self.buffer.find(b"\n")
        if len(self.buffer) > self.max_line:
            self.buffer.clear()
            self.skipping = True

    def events(self, data: bytes, parse: Callable[[Any], T]) -> Iterator[T | UnusableLine]:
        """Returns what `parse` makes of each line that is complete with these bytes."""
        for line in self.lines(data):
            if line is None:
                yield UnusableLine(None, "a line is longer than allowed")
                continue
            item: Any = None
            try:
                item = json.loads(line)
                event: T | UnusableLine = parse(item)
            except Exception as error:  # the edge of one line: any error, RecursionError too, is its own
                event = UnusableLine(number_of(item), f"{type(error).__name__} {error}"[:MAX_REASON_CHARS])
            yield event


class WatchEventParser(LineParser):
    """Parses the events of the endpoint list."""

    def feed(self, data: bytes) -> Iterator[WatchEvent | UnusableLine]:
        """Returns the events that are complete with these bytes."""
        yield from self.events(data, parse_event)
