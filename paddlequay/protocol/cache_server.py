"""The caches' protocol from the serving side: `ASK`, `QUIT`, `NOOP` and `INFO` in, answers out. Knows no
socket."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from paddlequay.protocol.caches import Buffer, CacheProtocolError, format_fields, parse_fields

ID_MOST = 64


@dataclass(frozen=True, slots=True)
class Asked:
    """One request: its id, its fields and its body."""

    id: str
    fields: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Given:
    """The request under this id is given up."""

    id: str


@dataclass(frozen=True, slots=True)
class Probe:
    """`NOOP` or `INFO`: how are you, under this tag."""

    tag: str


Line = Asked | Given | Probe


def answer(id: str, word: str, fields: Mapping[str, str], body: Buffer = b"") -> tuple[bytes, Buffer, bytes]:
    """The pieces of an answer, the body not copied."""
    return f"{id} {word} {format_fields(fields)} {len(body)}\r\n".encode(), body, b"\r\n"


class Reader:
    """Takes bytes as they come and gives whole requests. `MalformedError`: nothing that follows can be
    read."""

    def __init__(self, most_line: int, most_body: int) -> None:
        self.most_line, self.most_body = most_line, most_body
        self.buffer = bytearray()
        self.head: tuple[str, dict[str, str], int] | None = None

    @property
    def begun(self) -> bool:
        """Whether a request has begun and is not whole."""
        return self.head is not None or bool(self.buffer)

    def feed(self, data: bytes) -> Iterator[Line]:
        self.buffer += data
        while True:
            if self.head is not None:
                id, fields, length = self.head
                if len(self.buffer) < length + 2:
                    return
                if self.buffer[length : length + 2] != b"\r\n":
                    raise CacheProtocolError("expected CR LF after a body")
                body = bytes(self.buffer[:length])
                del self.buffer[: length + 2]
                self.head = None
                yield Asked(id, fields, body)
                continue
            end = self.buffer.find(b"\n", 0, self.most_line)
            if end < 0:
                if len(self.buffer) >= self.most_line:
                    raise CacheProtocolError("a line is longer than allowed")
                return
            line = bytes(self.buffer[: end + 1])
            del self.buffer[: end + 1]
            read = self.read_line(line)
            if read is not None:
                yield read

    def read_line(self, line: bytes) -> Line | None:
        try:
            words = line.decode("ascii").split()
        except UnicodeDecodeError:
            raise CacheProtocolError("a line is not ASCII") from None
        if not line.endswith(b"\r\n"):
            raise CacheProtocolError("a line does not end in CR LF")
        match words:
            case ["ASK", id, fields, length] if length.isdigit() and len(length) < 10 and len(id) <= ID_MOST:
                if int(length) > self.most_body:
                    raise CacheProtocolError(f"a body of {int(length)} bytes")
                self.head = (id, parse_fields(fields), int(length))
                return None
            case ["QUIT", id]:
                return Given(id)
            case ["NOOP" | "INFO", tag] if len(tag) <= ID_MOST:
                return Probe(tag)
        raise CacheProtocolError(f"expected ASK, QUIT, NOOP or INFO, got {line[:60]!r}")
