"""The clients' protocol: MessagePack-RPC messages in, answers out. Knows no socket."""

import contextlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from paddlequay.protocol import msgpack
from paddlequay.protocol.msgpack import Buffer, IncompleteMessageError, MalformedMessageError

REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2
REJECTED, FAILED = "TryLater", "Aborted"
CANCEL = b"cancelRequest"  # in whatever takes a request back


@dataclass(slots=True)
class ClientCall:
    """A request as it stands on the wire; whether its fields can be used is for the front to say."""

    number: int
    method: str
    fields: Mapping[Any, Any]
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadinessQuery:
    """Whether this router takes requests."""

    number: int


@dataclass(frozen=True, slots=True)
class CallsCancelled:
    """The client no longer waits for these."""

    numbers: tuple[int, ...]


ClientMessage = ClientCall | ReadinessQuery | CallsCancelled


class ClientMessageParser:
    """Takes bytes as they come and gives complete messages; raises `MalformedMessageError`."""

    def __init__(self, most: int) -> None:
        self.max_message = most
        self.partial = b""  # of a message that is not whole yet

    def feed(self, data: bytes) -> Iterator[ClientMessage]:
        """The messages that are complete with these bytes."""
        data = self.partial + data if self.partial else data
        self.partial = b""
        at = 0
        try:
            while at < len(data):
                value, at = msgpack.unpack(data, at, self.max_message)
                yield parse_message(value)
        except IncompleteMessageError:
            self.partial = data[at:]

    def completes(self, data: bytes) -> bool:
        """Whether `data`, not fed yet, completes a message; what can be none does not."""
        try:
            msgpack.unpack(self.partial + data, 0, self.max_message)
        except (IncompleteMessageError, MalformedMessageError):
            return False
        return True

    def cancelled_in(self, data: bytes) -> set[int]:
        """What `data`, not fed yet, cancels; what is no message ends it early."""
        ahead, numbers = ClientMessageParser(self.max_message), set[int]()
        with contextlib.suppress(MalformedMessageError):
            for told in ahead.feed(self.partial + data):
                if isinstance(told, CallsCancelled):
                    numbers.update(told.numbers)
        return numbers


def is_number(value: Any) -> bool:
    """Whether a value may be a message number."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def parse_message(value: Any) -> ClientMessage:
    """One unpacked value as a message; raises `MalformedMessageError`."""
    match value:
        case [0, number, "alive", [*_]] if is_number(number):
            return ReadinessQuery(number)
        case [0, number, str(method), [dict(fields), bytes(body)]] if is_number(number):
            return ClientCall(number, method, fields, body)
        case [0, number, str(method), [dict(fields)]] if is_number(number):
            return ClientCall(number, method, fields, b"")
        case [2, "cancelRequest", [*numbers]] if all(map(is_number, numbers)):
            return CallsCancelled(tuple(numbers))
    raise MalformedMessageError("not a request, nor a notification that is known")


def readiness_answer(number: int, ready: bool) -> bytes:
    """The answer to a `ReadinessQuery`."""
    return msgpack.pack([RESPONSE, number, None, [ready, {}]])


def error_answer(number: int, error: str, fields: Mapping[str, str]) -> bytes:
    """An answer that says what went wrong."""
    return msgpack.pack([RESPONSE, number, [error, dict(fields)], None])


def served_answer(number: int, body: Buffer, fields: Mapping[str, str]) -> tuple[bytes, Buffer, bytes]:
    """Head, body and tail of a served answer: the body is not copied."""
    head = b"\x94\x01" + msgpack.pack(number) + b"\xc0\x92" + msgpack.bin_head(len(body))
    return head, body, msgpack.pack(dict(fields))
