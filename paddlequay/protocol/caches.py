"""The caches' protocol: `ASK` and `QUIT` lines out, answers in. Knows no socket."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

Buffer = bytes | bytearray | memoryview


class CacheProtocolError(ValueError):
    """A line that is no answer: what follows on this connection cannot be told apart any more."""


@dataclass(frozen=True, slots=True)
class CacheAnswer:
    """One answer: its id, its status word, its fields and its bytes."""

    id: str
    status: str
    fields: Mapping[str, str]
    body: Buffer


def format_fields(fields: Mapping[str, str]) -> str:
    """Fields as they stand in a line; `-` for none."""
    return ",".join(f"{name}={value}" for name, value in fields.items()) or "-"


def request_line(id: str, fields: Mapping[str, str], length: int) -> bytes:
    """The line before the body; CR LF follows the body."""
    return f"ASK {id} {format_fields(fields)} {length}\r\n".encode()


def cancel_line(id: str) -> bytes:
    """The line that cancels a request."""
    return f"QUIT {id}\r\n".encode()


def parse_fields(text: str) -> dict[str, str]:
    """Fields of a line; raises `CacheProtocolError`."""
    if text == "-":
        return {}
    fields = {}
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not (name and equals):
            raise CacheProtocolError(f"expected name=value, got {pair[:60]!r}")
        fields[name] = value
    return fields


class CacheAnswerParser:
    """Takes bytes as they come and gives complete answers; a body is copied once, to where it stays."""

    def __init__(self, most_line: int, most_body: int) -> None:
        self.max_line, self.max_body = most_line, most_body
        self.line = bytearray()
        self.head: tuple[str, str, dict[str, str]] | None = None
        self.body = bytearray()
        self.filled = 0
        self.trailer_read = 0

    @property
    def has_begun(self) -> bool:
        """Whether an answer, or its line, has begun and is not complete."""
        return self.head is not None or bool(self.line)

    @property
    def progress(self) -> float:
        """How much has come of the answer that has begun, 0 to 1; 0 while its length is unknown."""
        return 0.0 if self.head is None else (self.filled + self.trailer_read) / (len(self.body) + 2)

    @property
    def current_id(self) -> str | None:
        """The id of the answer that has begun, once its line is complete."""
        return None if self.head is None else self.head[0]

    def feed(self, data: bytes) -> Iterator[CacheAnswer]:
        """The answers that are complete with these bytes; raises `CacheProtocolError`."""
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
                if data[at] != b"\r\n"[self.trailer_read]:
                    raise CacheProtocolError("expected CR LF after a body")
                self.trailer_read += 1
                at += 1
            if self.head is not None and self.filled == len(self.body) and self.trailer_read == 2:
                yield self.finish_answer()

    def read_line(self, data: bytes, at: int) -> int:
        """Read on in the first line of an answer; the place after what was read."""
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
        if not self.line.endswith(b"\r\n") or len(words) != 4 or not words[3].isdigit():
            raise CacheProtocolError(f"expected ID WORD FIELDS LENGTH, got {bytes(self.line[:80])!r}")
        length = int(words[3])
        if length > self.max_body:
            raise CacheProtocolError(f"a body of {length} bytes")
        self.head = (words[0], words[1], parse_fields(words[2]))
        self.body, self.filled, self.trailer_read = bytearray(length), 0, 0
        self.line.clear()
        return end + 1

    def finish_answer(self) -> CacheAnswer:
        """The answer that is complete; the next may begin."""
        assert self.head is not None
        answer = CacheAnswer(*self.head, self.body)
        self.head, self.body = None, bytearray()
        return answer
