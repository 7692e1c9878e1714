"""The protocol of the endpoint list: numbered lines of JSON in, `after N` out. Knows no socket."""

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
MAX_NUMBER = 1 << 53  # JSON's whole numbers; one past all that follow would have these taken as had
ID = re.compile(r"[!-+\--~]{1,200}")  # it is written to caches as a field's value: no space, no comma
ADDRESS = re.compile(r"((?:0|[1-9][0-9]{0,2})(?:\.(?:0|[1-9][0-9]{0,2})){3}):([0-9]{1,5})")

T = TypeVar("T")


class EndpointWatchError(ValueError):
    """A line that is neither an event nor a heartbeat, or one that cannot follow what came before."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A member with the address at which it listens."""

    member: Member
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The endpoint list or changes to it, at most one entry of an id: its last.

    `draining_ids`: ids that an unusable entry says not to be in service; `unusable_count`: how many entries
    cannot be used, with the reason of the last.
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
    """The number of the last event there is."""

    number: int


@dataclass(frozen=True, slots=True)
class UnusableLine:
    """A line that cannot be used; `number` where it is an event with a number."""

    number: int | None
    reason: str


WatchEvent = EndpointList | PurgeEvent | WatchHeartbeat


def resume_request(number: int) -> bytes:
    """Ask for the events after a number."""
    return f"after {number}\n".encode()


def is_number(value: Any) -> bool:
    """Whether a value may be an event's number."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < MAX_NUMBER


def number_of(item: Any) -> int | None:
    """An event's number, if it has one that can be used."""
    number = item.get("no") if isinstance(item, dict) else None
    return number if is_number(number) else None


def parse_figure(value: Any, name: str) -> float:
    """A number from 0 to under `MAX_NUMBER`; raises `EndpointWatchError` for others, NaN too."""
    if type(value) not in (int, float) or not 0 <= value < MAX_NUMBER:
        raise EndpointWatchError(f"{name}: expected a number, got {str(value)[:40]!r}")
    return float(value)


def parse_id(item: Mapping[str, Any]) -> str:
    """An entry's id; raises `EndpointWatchError`."""
    name = item.get("instanceId")
    if not isinstance(name, str) or not ID.fullmatch(name):
        raise EndpointWatchError(f"instanceId: cannot be used: {str(name)[:40]!r}")
    return name


def parse_address(at: Any) -> tuple[str, int]:
    """An IPv4 address and a port. No host name: a look-up would hold up the program."""
    match = ADDRESS.fullmatch(at) if isinstance(at, str) else None
    port = int(match[2]) if match else 0
    if match is None or not 0 < port < 65536 or any(int(part) > 255 for part in match[1].split(".")):
        raise EndpointWatchError(f"hostPort: expected an address and a port, got {str(at)[:60]!r}")
    return match[1], port


def parse_endpoint(item: Any) -> Endpoint:
    """One entry of the list; raises `EndpointWatchError`."""
    if not isinstance(item, dict):
        raise EndpointWatchError(f"an entry that is no object: {str(item)[:40]}")
    name, word = parse_id(item), item.get("lifecycle")
    state = STATES.get(word) if isinstance(word, str) else None
    if state is None:
        raise EndpointWatchError(f"lifecycle: {str(word)[:40]!r} is not known")
    if state is MemberState.REMOVED:
        return Endpoint(Member(name=name, state=state), ("", 0))  # what has gone needs nothing else any more
    zone, kind, cell = item.get("zone"), item.get("machineType"), item.get("cell")
    # Looked at in one line each: a list of thousands is read in one turn of the loop.
    if not ((zone is None or type(zone) is str) and (kind is None or type(kind) is str)):
        raise EndpointWatchError(f"zone, machineType: expected text, got {str((zone, kind))[:60]}")
    if not (cell is None or type(cell) is int):
        raise EndpointWatchError(f"cell: expected a whole number, got {str(cell)[:40]!r}")
    started, weight = item.get("startedAtMs"), item.get("weight")
    return Endpoint(
        Member(
            name,
            zone,
            kind,
            cell,
            state,
            None if weight is None else parse_figure(weight, "weight"),
            parse_figure(started, "startedAtMs") / 1000.0 if started else 0.0,
        ),
        parse_address(item.get("hostPort")),
    )


def parse_endpoint_list(number: int, roster: Any) -> EndpointList:
    """A list's event; raises `EndpointWatchError` where it is none.

    An entry that cannot be used does not take the others with it; one that ends a member's service binds by
    its id alone, and so does a state that is not known.
    """
    instances = roster.get("instances") if isinstance(roster, dict) else None
    if not isinstance(instances, list):
        raise EndpointWatchError("a list without instances")
    listed: dict[str, Endpoint] = {}
    drained: dict[str, None] = {}
    unusable, why = 0, ""
    for item in instances:
        try:
            entry = parse_endpoint(item)
        except EndpointWatchError as error:
            unusable, why = unusable + 1, str(error)
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
    return EndpointList(number, full, tuple(listed.values()), tuple(drained), unusable, why)


def parse_purge(number: int, recall: Any) -> PurgeEvent:
    """A purge's event; raises `EndpointWatchError`."""
    if not isinstance(recall, dict):
        raise EndpointWatchError("neither a list nor a purge")
    key, lot = recall.get("item"), recall.get("lot")
    if (key is None) == (lot is None):
        raise EndpointWatchError("a purge names an object or a group")
    issued = parse_figure(recall.get("issued"), "issued") / 1000.0
    if key is None:
        if not is_number(lot):
            raise EndpointWatchError(f"lot: expected a number, got {str(lot)[:40]!r}")
        return PurgeEvent(number, issued, None, lot)
    if not isinstance(key, str) or not re.fullmatch(r"[0-9a-fA-F]{1,16}", key):
        raise EndpointWatchError(f"item: expected hex digits, got {str(key)[:40]!r}")
    return PurgeEvent(number, issued, int(key, 16), None)


def parse_event(item: Any) -> WatchEvent:
    """One event, or a heartbeat: a number, plain or as an object with nothing else."""
    if is_number(item):
        return WatchHeartbeat(item)
    number = number_of(item)
    if number is None:
        raise EndpointWatchError(f"neither an event nor a heartbeat: {str(item)[:80]}")
    if item.keys() == {"no"}:
        # The bulletin writes its heartbeat as an object too; read as a broken event, it ended the
        # connection every second.
        return WatchHeartbeat(number)
    if "roster" in item:
        return parse_endpoint_list(number, item["roster"])
    return parse_purge(number, item.get("recall"))


class LineParser:
    """Takes bytes as they come and gives what complete lines say; what cannot be read is `UnusableLine`.

    `max_line` bounds a line's bytes. A longer one is skipped to its end: what stands behind it still comes.
    """

    def __init__(self, most: int) -> None:
        self.max_line = most
        self.buffer = bytearray()
        self.skipping = False

    def lines(self, data: bytes) -> Iterator[bytes | None]:
        """Complete lines; None for one that is too long."""
        # Only what is new is looked through: thousands of members come as one line in many pieces.
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

    def events(self, data: bytes, read: Callable[[Any], T]) -> Iterator[T | UnusableLine]:
        """Complete lines, each parsed by `parse`."""
        for line in self.lines(data):
            if line is None:
                yield UnusableLine(None, "a line is longer than allowed")
                continue
            item: Any = None
            try:
                item = json.loads(line)
                news: T | UnusableLine = read(item)
            except Exception as error:  # ValueError, RecursionError: whatever it is, it costs this line only
                news = UnusableLine(number_of(item), f"{type(error).__name__} {error}"[:200])
            yield news


class WatchEventParser(LineParser):
    """Gives the events of complete lines."""

    def feed(self, data: bytes) -> Iterator[WatchEvent | UnusableLine]:
        """The events that are complete with these bytes."""
        yield from self.events(data, parse_event)
