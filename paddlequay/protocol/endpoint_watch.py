"""The protocol of the endpoint watch: parses numbered lines of JSON and formats `after N` requests."""

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
# Exclusive bound of numbers, as JSON integers are exact up to here. If an event with a larger number were
# applied, all later events would count as applied already.
MAX_NUMBER = 1 << 53
MS_PER_S = 1000.0
MAX_PORT = 65_535
UNKNOWN_ADDRESS = ("", 0)  # of a removed endpoint, whose entry needs no address
MAX_OCTET = 255
# The parts of invalid input that error messages quote.
MAX_QUOTED_CHARS = 40
MAX_QUOTED_ENTRY_CHARS = 60
MAX_QUOTED_EVENT_CHARS = 80
MAX_REASON_CHARS = 200
ID = re.compile(r"[!-+\--~]{1,200}")  # without space and comma, which separate fields on the wire to a cache
HEX_64_BITS = re.compile(r"[0-9a-fA-F]{1,16}")
ADDRESS = re.compile(r"((?:0|[1-9][0-9]{0,2})(?:\.(?:0|[1-9][0-9]{0,2})){3}):([0-9]{1,5})")

T = TypeVar("T")


class EndpointWatchError(ValueError):
    """The line is neither a valid event nor a heartbeat, or its number does not follow the previous ones."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A member and the address at which it listens."""

    member: Member
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The endpoint list or changes to it. Of several entries with the same id only the last is kept.

    Attributes:
        number: The number of the event.
        full: Whether it is the complete list; else it holds changes.
        endpoints: The valid entries.
        draining_ids: The ids of invalid entries that are not in service; these members drain.
        unusable_count: The number of invalid entries.
        unusable_reason: Why the last invalid entry is invalid; empty if there is none.
    """

    number: int
    full: bool
    endpoints: tuple[Endpoint, ...]
    draining_ids: tuple[str, ...] = ()
    unusable_count: int = 0
    unusable_reason: str = ""


@dataclass(frozen=True, slots=True)
class PurgeEvent:
    """A purge of one object or one group; the other one is None. `issued_at` is in Unix seconds."""

    number: int
    issued_at: float
    key: int | None
    group: int | None


@dataclass(frozen=True, slots=True)
class WatchHeartbeat:
    """A heartbeat; `number` is that of the last event."""

    number: int


@dataclass(frozen=True, slots=True)
class UnusableLine:
    """An invalid line; `number` is None unless the line is an event with a valid number."""

    number: int | None
    reason: str


WatchEvent = EndpointList | PurgeEvent | WatchHeartbeat


def resume_request(number: int) -> bytes:
    """Returns the request for the events that follow the one with a number."""
    return f"after {number}\n".encode()


def is_number(value: Any) -> bool:
    """Returns whether a value is a valid event number."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < MAX_NUMBER


def event_number(item: Any) -> int | None:
    """Returns the number of an event; None if it has no valid one."""
    number = item.get("no") if isinstance(item, dict) else None
    return number if is_number(number) else None


def parse_number(value: Any, name: str) -> float:
    """Returns a number as a float. Raises `EndpointWatchError` unless it is in [0, `MAX_NUMBER`)."""
    if type(value) not in (int, float) or not 0 <= value < MAX_NUMBER:
        raise EndpointWatchError(f"{name}: expected a number, got {str(value)[:MAX_QUOTED_CHARS]!r}")
    return float(value)


def parse_id(item: Mapping[str, Any]) -> str:
    """Returns the id of an entry. Raises `EndpointWatchError`."""
    name = item.get("instanceId")
    if not isinstance(name, str) or not ID.fullmatch(name):
        raise EndpointWatchError(f"instanceId: expected an id, got {str(name)[:MAX_QUOTED_CHARS]!r}")
    return name


def parse_address(text: Any) -> tuple[str, int]:
    """Returns an IPv4 address and a port. Raises `EndpointWatchError`.

    Host names are invalid, because resolving them would block the event loop.
    """
    match = ADDRESS.fullmatch(text) if isinstance(text, str) else None
    port = int(match[2]) if match else 0
    if (
        match is None
        or not 0 < port <= MAX_PORT
        or any(int(octet) > MAX_OCTET for octet in match[1].split("."))
    ):
        raise EndpointWatchError(
            f"hostPort: expected an address and a port, got {str(text)[:MAX_QUOTED_ENTRY_CHARS]!r}"
        )
    return match[1], port


def parse_endpoint(item: Any) -> Endpoint:
    """Returns one entry of the list. Raises `EndpointWatchError`."""
    if not isinstance(item, dict):
        raise EndpointWatchError(f"instances: expected objects, got {str(item)[:MAX_QUOTED_CHARS]}")
    name = parse_id(item)
    lifecycle = item.get("lifecycle")
    state = STATES.get(lifecycle) if isinstance(lifecycle, str) else None
    if state is None:
        raise EndpointWatchError(f"lifecycle: {str(lifecycle)[:MAX_QUOTED_CHARS]!r} is not known")
    if state is MemberState.REMOVED:
        return Endpoint(Member(name=name, state=state), UNKNOWN_ADDRESS)  # the other fields are not needed
    zone = item.get("zone")
    kind = item.get("machineType")
    cell = item.get("cell")
    # Checked without function calls, as thousands of entries are parsed in one iteration of the event loop.
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
    """Returns the event that holds an endpoint list. Raises `EndpointWatchError` without a list.

    An invalid entry does not affect the others. If it has an id and is not in service, the member with this
    id drains.
    """
    instances = roster.get("instances") if isinstance(roster, dict) else None
    if not isinstance(instances, list):
        raise EndpointWatchError("roster: expected an object with a list of instances")
    listed: dict[str, Endpoint] = {}
    drained: dict[str, None] = {}
    unusable_count = 0
    unusable_reason = ""
    for item in instances:
        try:
            endpoint = parse_endpoint(item)
        except EndpointWatchError as error:
            unusable_count += 1
            unusable_reason = str(error)
            name = item.get("instanceId") if isinstance(item, dict) else None
            if isinstance(name, str) and item.get("lifecycle") != "in_service":
                listed.pop(name, None)
                drained[name] = None
            continue
        name = endpoint.member.name
        drained.pop(name, None)
        listed.pop(name, None)
        listed[name] = endpoint
    full = bool(roster.get("reset")) or number == 1
    return EndpointList(number, full, tuple(listed.values()), tuple(drained), unusable_count, unusable_reason)


def parse_purge(number: int, recall: Any) -> PurgeEvent:
    """Returns a purge event. Raises `EndpointWatchError`."""
    if not isinstance(recall, dict):
        raise EndpointWatchError("expected an event with roster or recall")
    key = recall.get("item")
    group = recall.get("lot")
    if (key is None) == (group is None):
        raise EndpointWatchError("recall: expected either item or lot")
    issued = parse_number(recall.get("issued"), "issued") / MS_PER_S
    if key is None:
        if not is_number(group):
            raise EndpointWatchError(f"lot: expected a number, got {str(group)[:MAX_QUOTED_CHARS]!r}")
        return PurgeEvent(number, issued, None, group)
    if not isinstance(key, str) or not HEX_64_BITS.fullmatch(key):
        raise EndpointWatchError(f"item: expected hex digits, got {str(key)[:MAX_QUOTED_CHARS]!r}")
    return PurgeEvent(number, issued, int(key, 16), None)


def parse_event(item: Any) -> WatchEvent:
    """Returns the event or the heartbeat that a line holds. Raises `EndpointWatchError`."""
    if is_number(item):
        return WatchHeartbeat(item)
    number = event_number(item)
    if number is None:
        raise EndpointWatchError(
            f"expected an event or a heartbeat, got {str(item)[:MAX_QUOTED_EVENT_CHARS]}"
        )
    if item.keys() == {"no"}:
        return WatchHeartbeat(number)  # a heartbeat is an object with nothing but `no`, or a plain number
    if "roster" in item:
        return parse_endpoint_list(number, item["roster"])
    return parse_purge(number, item.get("recall"))


class LineParser:
    """Parses lines from bytes as they are received; an invalid line becomes an `UnusableLine`.

    Args:
        max_line: The largest allowed line in bytes; a longer one is skipped to its end.

    Attributes:
        buffer: The received part of an incomplete line.
        skipping: Whether that line is too long, so that the rest of it is skipped.
    """

    def __init__(self, max_line: int) -> None:
        self.max_line = max_line
        self.buffer = bytearray()
        self.skipping = False

    def lines(self, data: bytes) -> Iterator[bytes | None]:
        """Returns the lines that are complete with these bytes; None instead of a line that is too long."""
        # Search only the new bytes: a list of thousands of members is one line, received in many parts.
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
        """Returns the result of `parse` for each line that is complete with these bytes."""
        for line in self.lines(data):
            if line is None:
                yield UnusableLine(None, f"the line is longer than {self.max_line} bytes")
                continue
            item: Any = None
            try:
                item = json.loads(line)
                event: T | UnusableLine = parse(item)
            except Exception as error:  # error boundary of one line: not even RecursionError affects another
                event = UnusableLine(event_number(item), f"{type(error).__name__} {error}"[:MAX_REASON_CHARS])
            yield event


class WatchEventParser(LineParser):
    """Parses the events of the endpoint list."""

    def feed(self, data: bytes) -> Iterator[WatchEvent | UnusableLine]:
        """Returns the events that are complete with these bytes."""
        yield from self.events(data, parse_event)
