"""Between the two processes of one router while one replaces the other: lines of JSON. Knows no socket."""

import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from paddlequay.lifecycle.operator_state import Mark, read_marks
from paddlequay.requests.quotas import Held


class MalformedError(ValueError):
    """A line that is no message."""


@dataclass(frozen=True, slots=True)
class State:
    """Orders and listed ids that the sender knows, and what it has learned: the first message, both ways."""

    marks: dict[str, Mark]
    listed: tuple[str, ...]
    knowledge: dict[str, float]


@dataclass(frozen=True, slots=True)
class Order:
    """One order; it is to be confirmed by its number once it is obeyed."""

    number: int
    name: str
    mark: Mark


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The order of that number is obeyed."""

    number: int


@dataclass(frozen=True, slots=True)
class Ready:
    """The newer process takes clients from now on."""


Message = State | Order | Confirmed | Ready | Held


def pack(message: Message) -> bytes:
    match message:
        case State():
            marks = {name: [mark.at, mark.on] for name, mark in message.marks.items()}
            data: dict[str, Any] = {"state": marks, "listed": message.listed, "knowledge": message.knowledge}
        case Order():
            mark = message.mark
            data = {"order": {message.name: [mark.at, mark.on]}, "number": message.number}
        case Confirmed():
            data = {"confirmed": message.number}
        case Ready():
            data = {"ready": True}
        case Held():
            data = {"clients": message.clients, "caches": message.caches}
    return json.dumps(data, separators=(",", ":")).encode() + b"\n"


def unpack(line: bytes) -> Message:
    try:
        match json.loads(line):
            case {"state": dict(marks), "listed": [*listed], "knowledge": dict(knowledge)}:
                learned = {str(name): float(value) for name, value in knowledge.items()}
                if not all(map(math.isfinite, learned.values())) or min(learned.values(), default=0) < 0:
                    raise MalformedError("knowledge that cannot be used")
                return State(read_marks(marks), tuple(map(str, listed)), learned)
            case {"order": dict(order), "number": int(number)} if len(order) == 1:
                ((name, mark),) = read_marks(order).items()
                return Order(number, name, mark)
            case {"confirmed": int(number)}:
                return Confirmed(number)
            case {"ready": True}:
                return Ready()
            case {"clients": int(clients), "caches": int(caches)}:
                return Held(clients, caches)
    except (TypeError, ValueError) as error:
        raise MalformedError(str(error)) from None
    raise MalformedError(f"no message: {line[:80]!r}")


class Reader:
    """Takes bytes as they come and gives whole messages."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.rest = b""

    def feed(self, data: bytes) -> Iterator[Message]:
        *lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > self.most:
            raise MalformedError("a line is longer than allowed")
        yield from map(unpack, lines)
