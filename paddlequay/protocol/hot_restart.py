"""The protocol between two processes of one router during a hot restart: lines of JSON."""

import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from paddlequay.lifecycle.operator_state import Override, read_overrides
from paddlequay.protocol.endpoint_watch import EndpointList, PurgeEvent, is_number
from paddlequay.protocol.known_events import format_event, parse_known_event
from paddlequay.protocol.membership_records import (
    format_member,
    format_state,
    parse_member,
    parse_state,
    records,
)
from paddlequay.requests.quotas import QuotaInUse
from paddlequay.routing.membership_state import MembershipState, ReportedMember

MAX_QUOTED_LINE_BYTES = 80  # the part of an invalid line that an error message quotes


class LinkProtocolError(ValueError):
    """The line is not a valid message."""


@dataclass(frozen=True, slots=True)
class StateMessage:
    """The first message in both directions: overrides, ids of known caches and learned state.

    `event_sequence` identifies the numbering of the sender's endpoint events; it is empty if the sender, a
    process of an earlier version, exchanges no events. `executed_ids` are the ids of requests that must not
    be executed again; None if the sender, a process of an earlier version, exchanges no ids.
    `exchanges_members` tells whether the sender understands `InheritedMembers` and `ListChanges`.
    """

    overrides: dict[str, Override]
    known_ids: tuple[str, ...]
    state: dict[str, float]
    event_sequence: str = ""
    executed_ids: tuple[str, ...] | None = None
    exchanges_members: bool = False


@dataclass(frozen=True, slots=True)
class OverrideMessage:
    """An override. The receiver confirms its number once the override is applied."""

    number: int
    name: str
    override: Override


@dataclass(frozen=True, slots=True)
class OverrideConfirmed:
    """Confirms that the override with this number is applied."""

    number: int


@dataclass(frozen=True, slots=True)
class SuccessorReady:
    """Reports that the successor accepts clients."""


@dataclass(frozen=True, slots=True)
class KnownEvents:
    """A part of the events that the predecessor knows; `is_last` marks the last part.

    Together the parts hold its endpoints, as one list in several events, and the purges that it remembers.
    `number` is that of its last event; 0 if its numbers are not those of the successor.
    """

    number: int
    events: tuple[EndpointList | PurgeEvent, ...]
    is_last: bool


@dataclass(frozen=True, slots=True)
class NewEvent:
    """An event that the sender has received from its source and applied."""

    event: EndpointList | PurgeEvent


@dataclass(frozen=True, slots=True)
class InheritedMembers:
    """A part of what the predecessor's sources have told; complete with the last part of its `KnownEvents`.

    `number` is that of the predecessor's last event; 0 if its numbers are not those of the successor.
    """

    number: int
    state: MembershipState


@dataclass(frozen=True, slots=True)
class ListChanges:
    """Members as an event of the sender's endpoint list has changed them.

    Sent where the event itself cannot be: it is too large, or `number`, that of the event, is 0, as the
    sender's numbers are not those of the receiver.
    """

    number: int
    members: tuple[ReportedMember, ...]


@dataclass(frozen=True, slots=True)
class RequestExecuted:
    """Reports that an attempt of a request that is not idempotent was written; `id` is the request's id."""

    id: str


LinkMessage = (
    StateMessage
    | KnownEvents
    | NewEvent
    | InheritedMembers
    | ListChanges
    | OverrideMessage
    | OverrideConfirmed
    | SuccessorReady
    | QuotaInUse
    | RequestExecuted
)


def pack(message: LinkMessage) -> bytes:
    """Returns a message as a line. Its keys must not change, as processes of other versions read them."""
    match message:
        case StateMessage():
            data = format_state_message(message)
        case KnownEvents():
            data = {
                "known": message.number,
                "items": [format_event(event) for event in message.events],
                "last": message.is_last,
            }
        case NewEvent():
            data = {"event": format_event(message.event)}
        case InheritedMembers():
            data = {"membership": message.number, **format_state(message.state)}
        case ListChanges():
            data = {"told": message.number, "members": [format_member(each) for each in message.members]}
        case OverrideMessage():
            override = [message.override.issued_ns, message.override.active]
            data = {"order": {message.name: override}, "number": message.number}
        case OverrideConfirmed():
            data = {"confirmed": message.number}
        case RequestExecuted():
            data = {"ran": message.id}
        case SuccessorReady():
            data = {"ready": True}
        case QuotaInUse():
            data = {"clients": message.client_connections, "caches": message.cache_connections}
    return json.dumps(data, separators=(",", ":")).encode() + b"\n"


def format_state_message(message: StateMessage) -> dict[str, Any]:
    """Returns the fields of a state message; those that earlier versions lack only if they are set."""
    overrides = {name: [each.issued_ns, each.active] for name, each in message.overrides.items()}
    data: dict[str, Any] = {"state": overrides, "listed": message.known_ids, "knowledge": message.state}
    if message.event_sequence:
        data["sequence"] = message.event_sequence
    if message.executed_ids is not None:
        data["executed"] = message.executed_ids
    if message.exchanges_members:
        data["members"] = True
    return data


def unpack(line: bytes) -> LinkMessage:
    """Returns the message that a line holds. Raises `LinkProtocolError`."""
    try:
        match json.loads(line):
            case {"state": dict(overrides), "listed": [*listed], "knowledge": dict(knowledge), **others}:
                learned = parse_learned_state(knowledge)
                sequence = str(others.get("sequence", ""))
                executed = others.get("executed")
                executed_ids = tuple(map(str, executed)) if isinstance(executed, list) else None
                known_ids = tuple(map(str, listed))
                exchanges_members = others.get("members") is True
                return StateMessage(
                    read_overrides(overrides), known_ids, learned, sequence, executed_ids, exchanges_members
                )
            case {"known": int(number), "items": [*items], "last": bool(is_last)} if is_number(number):
                return KnownEvents(number, tuple(map(parse_known_event, items)), is_last)
            case {"event": dict(item)}:
                return NewEvent(parse_known_event(item))
            case {"membership": int(number), **fields} if is_number(number):
                return InheritedMembers(number, parse_state(fields))
            case {"told": int(number), **fields} if is_number(number):
                return ListChanges(number, tuple(map(parse_member, records(fields, "members"))))
            case {"order": dict(order), "number": int(number)} if len(order) == 1:
                ((name, override),) = read_overrides(order).items()
                return OverrideMessage(number, name, override)
            case {"confirmed": int(number)}:
                return OverrideConfirmed(number)
            case {"ran": str(id)}:
                return RequestExecuted(id)
            case {"ready": True}:
                return SuccessorReady()
            case {"clients": int(clients), "caches": int(caches)}:
                return QuotaInUse(clients, caches)
    except (TypeError, ValueError) as error:  # also `EndpointWatchError` and `MembershipRecordError`
        raise LinkProtocolError(str(error)) from None
    raise LinkProtocolError(f"expected a message, got {line[:MAX_QUOTED_LINE_BYTES]!r}")


def parse_learned_state(values: dict[Any, Any]) -> dict[str, float]:
    """Returns learned state by name. Raises `LinkProtocolError` unless it is finite and at least 0."""
    learned = {str(name): float(value) for name, value in values.items()}
    if not all(map(math.isfinite, learned.values())) or min(learned.values(), default=0) < 0:
        raise LinkProtocolError("knowledge: expected finite numbers of at least 0")
    return learned


class LinkParser:
    """Parses messages from bytes as they are received.

    Args:
        max_line: The largest allowed line in bytes.

    Attributes:
        partial: The received part of an incomplete line.
    """

    def __init__(self, max_line: int) -> None:
        self.max_line = max_line
        self.partial = b""

    def feed(self, data: bytes) -> Iterator[LinkMessage]:
        """Returns the messages that are complete with these bytes. Raises `LinkProtocolError`."""
        *lines, self.partial = (self.partial + data).split(b"\n")
        if len(self.partial) > self.max_line:
            raise LinkProtocolError(f"the line is longer than {self.max_line} bytes")
        yield from map(unpack, lines)
