"""The clients' protocol: parses MessagePack-RPC messages and formats answers."""

import contextlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from paddlequay.protocol import msgpack
from paddlequay.protocol.msgpack import Buffer, IncompleteMessageError, MalformedMessageError

REQUEST = 0
RESPONSE = 1
NOTIFICATION = 2
REJECTED = "TryLater"
FAILED = "Aborted"
CANCEL = b"cancelRequest"  # every message that cancels requests contains these bytes
SERVED_HEAD = b"\x94\x01"  # an array of four values, the first of which is RESPONSE
NO_ERROR_AND_PAIR = b"\xc0\x92"  # nil for the error, and an array of two values: body and fields


@dataclass(slots=True)
class ClientCall:
    """A request as received; its fields are not validated yet."""

    number: int
    method: str
    fields: Mapping[Any, Any]
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadinessQuery:
    """A client's query whether this router accepts requests."""

    number: int


@dataclass(frozen=True, slots=True)
class CallsCancelled:
    """The client has cancelled these requests."""

    numbers: tuple[int, ...]


ClientMessage = ClientCall | ReadinessQuery | CallsCancelled


class ClientMessageParser:
    """Parses messages from bytes as they are received.

    Args:
        max_message: The largest allowed message in bytes.

    Attributes:
        partial: The received part of an incomplete message.
    """

    def __init__(self, max_message: int) -> None:
        self.max_message = max_message
        self.partial = b""

    def feed(self, data: bytes) -> Iterator[ClientMessage]:
        """Returns the messages that are complete with these bytes. Raises `MalformedMessageError`."""
        data = self.partial + data if self.partial else data
        self.partial = b""
        position = 0
        try:
            while position < len(data):
                value, position = msgpack.unpack(data, position, self.max_message)
                yield parse_message(value)
        except IncompleteMessageError:
            self.partial = data[position:]

    def completes(self, data: bytes) -> bool:
        """Returns whether `data`, which is not fed yet, completes a message; malformed bytes do not."""
        try:
            msgpack.unpack(self.partial + data, 0, self.max_message)
        except (IncompleteMessageError, MalformedMessageError):
            return False
        return True

    def cancelled_in(self, data: bytes) -> set[int]:
        """Returns the numbers of the requests that `data` cancels, up to the first malformed bytes.

        `data` follows the bytes that were fed, and is not fed yet itself.
        """
        parser = ClientMessageParser(self.max_message)
        numbers: set[int] = set()
        with contextlib.suppress(MalformedMessageError):
            for message in parser.feed(self.partial + data):
                if isinstance(message, CallsCancelled):
                    numbers.update(message.numbers)
        return numbers


def is_number(value: Any) -> bool:
    """Returns whether a value is a valid message number."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def parse_message(value: Any) -> ClientMessage:
    """Returns the message that an unpacked value represents. Raises `MalformedMessageError`."""
    match value:
        case [0, number, "alive", [*_]] if is_number(number):
            return ReadinessQuery(number)
        case [0, number, str(method), [dict(fields), bytes(body)]] if is_number(number):
            return ClientCall(number, method, fields, body)
        case [0, number, str(method), [dict(fields)]] if is_number(number):
            return ClientCall(number, method, fields, b"")
        case [2, "cancelRequest", [*numbers]] if all(map(is_number, numbers)):
            return CallsCancelled(tuple(numbers))
    raise MalformedMessageError("expected a request or a cancelRequest notification")


def readiness_answer(number: int, ready: bool) -> bytes:
    """Returns the answer to a `ReadinessQuery`."""
    return msgpack.pack([RESPONSE, number, None, [ready, {}]])


def error_answer(number: int, error: str, fields: Mapping[str, str]) -> bytes:
    """Returns the answer to a request that was rejected or has failed."""
    return msgpack.pack([RESPONSE, number, [error, dict(fields)], None])


def served_answer(number: int, body: Buffer, fields: Mapping[str, str]) -> tuple[bytes, Buffer, bytes]:
    """Returns the head, the body and the fields of a successful answer; the body is not copied."""
    head = SERVED_HEAD + msgpack.pack(number) + NO_ERROR_AND_PAIR + msgpack.bin_head(len(body))
    return head, body, msgpack.pack(dict(fields))
