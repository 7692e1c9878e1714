"""The protocol between two processes of one router: lines of JSON."""

import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from paddlequay.lifecycle.operator_state import Override, read_overrides
from paddlequay.requests.quotas import QuotaInUse

MAX_QUOTED_LINE_BYTES = 80  # of an invalid line, in an error


class LinkProtocolError(ValueError):
    """The line is no message."""


@dataclass(frozen=True, slots=True)
class StateMessage:
    """The first message in both directions: overrides, known caches and learned state."""

    overrides: dict[str, Override]
    known_ids: tuple[str, ...]
    state: dict[str, float]


@dataclass(frozen=True, slots=True)
class OverrideMessage:
    """One override, to be confirmed by its number once it is applied."""

    number: int
    name: str
    override: Override


@dataclass(frozen=True, slots=True)
class OverrideConfirmed:
    """The override with this number is applied."""

    number: int


@dataclass(frozen=True, slots=True)
class SuccessorReady:
    """The successor accepts clients."""


LinkMessage = StateMessage | OverrideMessage | OverrideConfirmed | SuccessorReady | QuotaInUse


def pack(message: LinkMessage) -> bytes:
    """Returns a message as a line. Other versions read its keys, which must not change."""
    match message:
        case StateMessage():
            overrides = {name: [each.issued_ns, each.active] for name, each in message.overrides.items()}
            data: dict[str, Any] = {
                "state": overrides,
                "listed": message.known_ids,
                "knowledge": message.state,
            }
        case OverrideMessage():
            override = [message.override.issued_ns, message.override.active]
            data = {"order": {message.name: override}, "number": message.number}
        case OverrideConfirmed():
            data = {"confirmed": message.number}
        case SuccessorReady():
            data = {"ready": True}
        case QuotaInUse():
            data = {"clients": message.client_connections, "caches": message.cache_connections}
    return json.dumps(data, separators=(",", ":")).encode() + b"\n"


def unpack(line: bytes) -> LinkMessage:
    """Returns the message of a line. Raises `LinkProtocolError`."""
    try:
        match json.loads(line):
            case {"state": dict(overrides), "listed": [*listed], "knowledge": dict(knowledge)}:
                learned = parse_learned(knowledge)
                return StateMessage(read_overrides(overrides), tuple(map(str, listed)), learned)
            case {"order": dict(order), "number": int(number)} if len(order) == 1:
                ((name, override),) = read_overrides(order).items()
                return OverrideMessage(number, name, override)
            case {"confirmed": int(number)}:
                return OverrideConfirmed(number)
            case {"ready": True}:
                return SuccessorReady()
            case {"clients": int(clients), "caches": int(caches)}:
                return QuotaInUse(clients, caches)
    except (TypeError, ValueError) as error:
        raise LinkProtocolError(str(error)) from None
    raise LinkProtocolError(f"no message: {line[:MAX_QUOTED_LINE_BYTES]!r}")


def parse_learned(values: dict[Any, Any]) -> dict[str, float]:
    """Returns learned state: finite numbers by name, 0 or more. Raises `LinkProtocolError`."""
    learned = {str(name): float(value) for name, value in values.items()}
    if not all(map(math.isfinite, learned.values())) or min(learned.values(), default=0) < 0:
        raise LinkProtocolError("knowledge that cannot be used")
    return learned


class LinkParser:
    """Parses messages from bytes as they are received.

    Args:
        max_line: The most bytes of a line.
    """

    def __init__(self, max_line: int) -> None:
        self.max_line = max_line
        self.partial = b""

    def feed(self, data: bytes) -> Iterator[LinkMessage]:
        """Returns the messages that are complete with these bytes. Raises `LinkProtocolError`."""
        *lines, self.partial = (self.partial + data).split(b"\n")
        if len(self.partial) > self.max_line:
            raise LinkProtocolError("a line is longer than allowed")
        yield from map(unpack, lines)
