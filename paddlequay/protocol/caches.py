"""The caches' protocol from the client's side: formats `ASK` and `QUIT` lines and parses answers."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

Buffer = bytes | bytearray | memoryview

LINE_END = b"\r\n"
HEAD_WORD_COUNT = 4  # id, status, fields, length of the body
MAX_QUOTED_FIELD_CHARS = 60  # of an invalid field, in an error
MAX_QUOTED_LINE_BYTES = 80


class CacheProtocolError(ValueError):
    """The bytes are no answer; nothing after them on this connection can be parsed."""


@dataclass(frozen=True, slots=True)
class CacheAnswer:
    """One answer: the id of its request, its status, its fields and its body."""

    id: str
    status: str
    fields: Mapping[str, str]
    body: Buffer


def format_fields(fields: Mapping[str, str]) -> str:
    """Returns fields in the form of a line; `-` for none."""
    return ",".join(f"{name}={value}" for name, value in fields.items()) or "-"


def request_line(id: str, fields: Mapping[str, str], length: int) -> bytes:
    """Returns the line before a body of `length` bytes, which CR LF must follow."""
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
        max_line: The most bytes of a line.
        max_body: The most bytes of a body.

    Attributes:
        line: The received part of an incomplete line.
        head: The id, the status and the fields of the incomplete answer; None before its line is complete.
        body: The buffer of its body.
        filled: The received bytes of its body.
        trailer_read: The received bytes of the CR LF after its body.
    """

    def __init__(self, max_line: int, max_body: int) -> None:
        self.max_line = max_line
        self.max_body = max_body
        self.line = bytearray()
        self.head: tuple[str, str, dict[str, str]] | None = None
        self.body = bytearray()
        self.filled = 0
        self.trailer_read = 0

    @property
    def has_begun(self) -> bool:
        """Whether an answer has begun and is not complete."""
        return self.head is not None or bool(self.line)

    @property
    def progress(self) -> float:
        """The received share of the incomplete answer, from 0 to 1; 0 while its length is unknown."""
        if self.head is None:
            return 0.0
        return (self.filled + self.trailer_read) / (len(self.body) + len(LINE_END))

    @property
    def current_id(self) -> str | None:
        """The id of the incomplete answer; None before its line is complete."""
        return None if self.head is None else self.head[0]

    def feed(self, data: bytes) -> Iterator[CacheAnswer]:
        """Returns the answers that are complete with these bytes. Raises `CacheProtocolError`."""
        view = memoryview(data)
        at = 0
        while at < len(view):
            if self.head is None:
                at = self.read_line(data, at)
            elif self.filled < len(self.body):
                count = min(len(self.body) - self.filled, len(view) - at)
                self.body[self.filled : self.filled + count] = view[at : at + count]
                self.filled += count
                at += count
            else:
                if data[at] != LINE_END[self.trailer_read]:
                    raise CacheProtocolError("expected CR LF after a body")
                self.trailer_read += 1
                at += 1
            if self.head is not None and self.filled == len(self.body) and self.trailer_read == 2:
                yield self.finish_answer()

    def read_line(self, data: bytes, at: int) -> int:
        """Reads a part of the line of an answer; returns the place in `data` after it."""
        end = data.find(b"\n", at)
        self.line += data[at : end + 1 if end >= 0 else len(data)]
        if len(self.line) > self.max_line:
            raise CacheProtocolError("a line is longer than allowed")
        if end < 0:
            return len(data)
        try:
            words = self.line.decode("ascii").split()
        except UnicodeDecodeError:
            raise CacheProtocolError("a line is not ASCII") from None
        is_head = self.line.endswith(LINE_END) and len(words) == HEAD_WORD_COUNT and words[3].isdigit()
        if not is_head:
            quoted = bytes(self.line[:MAX_QUOTED_LINE_BYTES])
            raise CacheProtocolError(f"expected ID WORD FIELDS LENGTH, got {quoted!r}")
        length = int(words[3])
        if length > self.max_body:
            raise CacheProtocolError(f"a body of {length} bytes")
        self.head = (words[0], words[1], parse_fields(words[2]))
        self.body = bytearray(length)
        self.filled = 0
        self.trailer_read = 0
        self.line.clear()
        return end + 1

    def finish_answer(self) -> CacheAnswer:
        """Returns the complete answer, and prepares for the next one."""
        assert self.head is not None
        answer = CacheAnswer(*self.head, self.body)
        self.head = None
        self.body = bytearray()
        return answer
