"""The caches' protocol from the client's side: formats `ASK` and `QUIT` lines and parses answers."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

Buffer = bytes | bytearray | memoryview

LINE_END = b"\r\n"
HEAD_WORD_COUNT = 4  # id, status, fields, length of the body
# The parts of invalid input that error messages quote.
MAX_QUOTED_FIELD_CHARS = 60
MAX_QUOTED_LINE_BYTES = 80


class CacheProtocolError(ValueError):
    """The bytes are not a message; nothing after them on this connection can be parsed."""


@dataclass(frozen=True, slots=True)
class CacheAnswer:
    """One answer: the id of its request, its status, its fields and its body."""

    id: str
    status: str
    fields: Mapping[str, str]
    body: Buffer


def format_fields(fields: Mapping[str, str]) -> str:
    """Returns fields as `name=value` pairs separated by commas; `-` if there are none."""
    return ",".join(f"{name}={value}" for name, value in fields.items()) or "-"


def request_line(id: str, fields: Mapping[str, str], length: int) -> bytes:
    """Returns the line of a request; a body of `length` bytes and CR LF must follow it."""
    return f"ASK {id} {format_fields(fields)} {length}\r\n".encode()


def cancel_line(id: str) -> bytes:
    """Returns the line that cancels a request."""
    return f"QUIT {id}\r\n".encode()


def parse_fields(text: str) -> dict[str, str]:
    """Returns the fields of a line. Raises `CacheProtocolError`."""
    if text == "-":
        return {}
    fields = {}
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not (name and equals):
            raise CacheProtocolError(f"expected name=value, got {pair[:MAX_QUOTED_FIELD_CHARS]!r}")
        fields[name] = value
    return fields


class CacheAnswerParser:
    """Parses answers from bytes as they are received; a body is copied once, into its final buffer.

    Args:
        max_line: The largest allowed line in bytes.
        max_body: The largest allowed body in bytes.

    Attributes:
        line: The received part of an incomplete line.
        head: The id, the status and the fields of the incomplete answer; None before its line is complete.
        body: The buffer of its body.
        received_body_bytes: How many bytes of its body have been received.
        received_trailer_bytes: How many bytes of the CR LF after its body have been received.
    """

    def __init__(self, max_line: int, max_body: int) -> None:
        self.max_line = max_line
        self.max_body = max_body
        self.line = bytearray()
        self.head: tuple[str, str, dict[str, str]] | None = None
        self.body = bytearray()
        self.received_body_bytes = 0
        self.received_trailer_bytes = 0

    @property
    def has_begun(self) -> bool:
        """Whether the received bytes end inside an answer."""
        return self.head is not None or bool(self.line)

    @property
    def progress(self) -> float:
        """The received fraction of the incomplete answer, from 0 to 1; 0 while its length is unknown."""
        if self.head is None:
            return 0.0
        return (self.received_body_bytes + self.received_trailer_bytes) / (len(self.body) + len(LINE_END))

    @property
    def current_id(self) -> str | None:
        """The id of the incomplete answer; None before its line is complete."""
        return None if self.head is None else self.head[0]

    def feed(self, data: bytes) -> Iterator[CacheAnswer]:
        """Returns the answers that are complete with these bytes. Raises `CacheProtocolError`."""
        view = memoryview(data)
        position = 0
        while position < len(view):
            if self.head is None:
                position = self.read_line(data, position)
            elif self.received_body_bytes < len(self.body):
                count = min(len(self.body) - self.received_body_bytes, len(view) - position)
                self.body[self.received_body_bytes : self.received_body_bytes + count] = view[
                    position : position + count
                ]
                self.received_body_bytes += count
                position += count
            else:
                if data[position] != LINE_END[self.received_trailer_bytes]:
                    raise CacheProtocolError("expected CR LF after the body of an answer")
                self.received_trailer_bytes += 1
                position += 1
            if (
                self.head is not None
                and self.received_body_bytes == len(self.body)
                and self.received_trailer_bytes == 2
            ):
                yield self.finish_answer()

    def read_line(self, data: bytes, position: int) -> int:
        """Reads the line of an answer, or a part of it; returns the position in `data` after what it read."""
        end = data.find(b"\n", position)
        self.line += data[position : end + 1 if end >= 0 else len(data)]
        if len(self.line) > self.max_line:
            raise CacheProtocolError(f"the line is longer than {self.max_line} bytes")
        if end < 0:
            return len(data)
        try:
            words = self.line.decode("ascii").split()
        except UnicodeDecodeError:
            raise CacheProtocolError("the line is not ASCII") from None
        is_head = self.line.endswith(LINE_END) and len(words) == HEAD_WORD_COUNT and words[3].isdigit()
        if not is_head:
            quoted = bytes(self.line[:MAX_QUOTED_LINE_BYTES])
            raise CacheProtocolError(f"expected ID STATUS FIELDS LENGTH, got {quoted!r}")
        length = int(words[3])
        if length > self.max_body:
            raise CacheProtocolError(f"expected a body of at most {self.max_body} bytes, got {length}")
        self.head = (words[0], words[1], parse_fields(words[2]))
        self.body = bytearray(length)
        self.received_body_bytes = 0
        self.received_trailer_bytes = 0
        self.line.clear()
        return end + 1

    def finish_answer(self) -> CacheAnswer:
        """Returns the complete answer, and resets the parser for the next one."""
        assert self.head is not None
        answer = CacheAnswer(*self.head, self.body)
        self.head = None
        self.body = bytearray()
        return answer
