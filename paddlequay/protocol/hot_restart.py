"""The protocol between two processes of one router: lines of JSON. Knows no socket."""

import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from paddlequay.lifecycle.operator_state import Override, read_overrides
from paddlequay.requests.quotas import QuotaInUse


class LinkProtocolError(ValueError):
    """A line that is no message."""


@dataclass(frozen=True, slots=True)
class StateMessage:
    """What the sender knows and has learned: the first message, both ways."""

    overrides: dict[str, Override]
    known_ids: tuple[str, ...]
    state: dict[str, float]


@dataclass(frozen=True, slots=True)
class OverrideMessage:
    """One override; it is to be confirmed by its number once it is applied."""

    number: int
    name: str
    override: Override


@dataclass(frozen=True, slots=True)
class OverrideConfirmed:
    """The override of that number is applied."""

    number: int


@dataclass(frozen=True, slots=True)
class SuccessorReady:
    """The successor takes clients from now on."""


LinkMessage = StateMessage | OverrideMessage | OverrideConfirmed | SuccessorReady | QuotaInUse


def pack(message: LinkMessage) -> bytes:
    """A message as a line. Other versions read its keys, which stay as they are."""
    match message:
        case StateMessage():
            marks = {name: [mark.issued_ns, mark.active] for name, mark in message.overrides.items()}
            data: dict[str, Any] = {"state": marks, "listed": message.known_ids, "knowledge": message.state}
        case OverrideMessage():
            mark = message.override
            data = {"order": {message.name: [mark.issued_ns, mark.active]}, "number": message.number}
        case OverrideConfirmed():
            data = {"confirmed": message.number}
        case SuccessorReady():
            data = {"ready": True}
        case QuotaInUse():
            data = {"clients": message.client_connections, "caches": message.cache_connections}
    return json.dumps(data, separators=(",", ":")).encode() + b"\n"


def unpack(line: bytes) -> LinkMessage:
    """A line as a message; raises `LinkProtocolError`."""
    try:
        match json.loads(line):
            case {"state": dict(marks), "listed": [*listed], "knowledge": dict(knowledge)}:
                learned = {str(name): float(value) for name, value in knowledge.items()}
                if not all(map(math.isfinite, learned.values())) or min(learned.values(), default=0) < 0:
                    raise LinkProtocolError("knowledge that cannot be used")
                return StateMessage(read_overrides(marks), tuple(map(str, listed)), learned)
            case {"order": dict(order), "number": int(number)} if len(order) == 1:
                ((name, mark),) = read_overrides(order).items()
                return OverrideMessage(number, name, mark)
            case {"confirmed": int(number)}:
                return OverrideConfirmed(number)
            case {"ready": True}:
                return SuccessorReady()
            case {"clients": int(clients), "caches": int(caches)}:
                return QuotaInUse(clients, caches)
    except (TypeError, ValueError) as error:
        raise LinkProtocolError(str(error)) from None
    raise LinkProtocolError(f"no message: {line[:80]!r}")


class LinkParser:
    """Takes bytes as they come and gives complete messages."""

    def __init__(self, most: int) -> None:
        self.max_line = most
        self.partial = b""

    def feed(self, data: bytes) -> Iterator[LinkMessage]:
        """The messages that are complete with these bytes; raises `LinkProtocolError`."""
        *lines, self.partial = (self.partial + data).split(b"\n")
        if len(self.partial) > self.max_line:
            raise LinkProtocolError("a line is longer than allowed")
        yield from map(unpack, lines)
