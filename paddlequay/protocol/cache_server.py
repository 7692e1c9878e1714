"""The caches' protocol from the server's side: parses requests and formats answers."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from paddlequay.protocol.caches import LINE_END, Buffer, CacheProtocolError, format_fields, parse_fields

MAX_ID_CHARS = 64
MAX_LENGTH_DIGITS = 9
MAX_QUOTED_LINE_BYTES = 60  # the part of an invalid line that an error message quotes


@dataclass(frozen=True, slots=True)
class CacheRequest:
    """A request (`ASK`): its id, its fields and its body."""

    id: str
    fields: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The client cancels the request with this id (`QUIT`)."""

    id: str


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """A query of the server's state (`NOOP` or `INFO`); the answer repeats its tag."""

    tag: str


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The line of a request whose body is not complete yet; `length` is that of the body in bytes."""

    id: str
    fields: Mapping[str, str]
    length: int


Message = CacheRequest | CancelRequest | StatusQuery


def encode_answer(
    id: str, status: str, fields: Mapping[str, str], body: Buffer = b""
) -> tuple[bytes, Buffer, bytes]:
    """Returns the line, the body and the trailing CR LF of an answer; the body is not copied."""
    head = f"{id} {status} {format_fields(fields)} {len(body)}\r\n".encode()
    return head, body, LINE_END


class CacheRequestParser:
    """Parses requests from bytes as they are received.

    Args:
        max_line: The largest allowed line in bytes.
        max_body: The largest allowed body in bytes.

    Attributes:
        buffer: The received bytes that are not parsed yet.
        head: The line of the incomplete request; None before it is complete.
    """

    def __init__(self, max_line: int, max_body: int) -> None:
        self.max_line = max_line
        self.max_body = max_body
        self.buffer = bytearray()
        self.head: RequestHead | None = None

    @property
    def is_inside_message(self) -> bool:
        """Whether the received bytes end inside a message."""
        return self.head is not None or bool(self.buffer)

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yields the messages that are complete with these bytes.

        Raises:
            CacheProtocolError: The bytes are not a message, and nothing after them can be parsed.
        """
        self.buffer += data
        while True:
            if self.head is not None:
                request = self._take_request(self.head)
                if request is None:
                    return
                yield request
                continue
            line = self._take_line()
            if line is None:
                return
            message = self._parse_line(line)
            if isinstance(message, RequestHead):
                self.head = message
            else:
                yield message

    def _take_request(self, head: RequestHead) -> CacheRequest | None:
        """Removes the body from the buffer and returns the request; None while the body is incomplete."""
        end = head.length + len(LINE_END)
        if len(self.buffer) < end:
            return None
        if self.buffer[head.length : end] != LINE_END:
            raise CacheProtocolError("expected CR LF after the body of a request")
        body = bytes(self.buffer[: head.length])
        del self.buffer[:end]
        self.head = None
        return CacheRequest(head.id, head.fields, body)

    def _take_line(self) -> bytes | None:
        """Removes a line from the buffer and returns it; None while it is incomplete."""
        end = self.buffer.find(b"\n", 0, self.max_line)
        if end < 0:
            if len(self.buffer) >= self.max_line:
                raise CacheProtocolError(f"the line is longer than {self.max_line} bytes")
            return None
        line = bytes(self.buffer[: end + 1])
        del self.buffer[: end + 1]
        return line

    def _parse_line(self, line: bytes) -> RequestHead | CancelRequest | StatusQuery:
        """Returns the message that a line holds, or the head of a request. Raises `CacheProtocolError`."""
        try:
            words = line.decode("ascii").split()
        except UnicodeDecodeError:
            raise CacheProtocolError("the line is not ASCII") from None
        if not line.endswith(LINE_END):
            raise CacheProtocolError("the line does not end in CR LF")
        match words:
            case ["ASK", id, fields, length] if _is_length(length) and len(id) <= MAX_ID_CHARS:
                if int(length) > self.max_body:
                    raise CacheProtocolError(
                        f"expected a body of at most {self.max_body} bytes, got {int(length)}"
                    )
                return RequestHead(id, parse_fields(fields), int(length))
            case ["QUIT", id]:
                return CancelRequest(id)
            case ["NOOP" | "INFO", tag] if len(tag) <= MAX_ID_CHARS:
                return StatusQuery(tag)
        raise CacheProtocolError(f"expected ASK, QUIT, NOOP or INFO, got {line[:MAX_QUOTED_LINE_BYTES]!r}")


def _is_length(text: str) -> bool:
    """Returns whether a word is a valid length of a body; `max_body` is checked later."""
    return text.isdigit() and len(text) <= MAX_LENGTH_DIGITS
