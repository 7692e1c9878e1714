"""The console's protocol: HTTP/1.1, one call to a connection. Knows no socket."""

from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import unquote, urlsplit

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT")


class ConsoleProtocolError(ValueError):
    """Bytes that are no call."""


@dataclass(frozen=True, slots=True)
class ConsoleCall:
    """One call: its method, and the parts of its path with escapes undone."""

    method: str
    path: tuple[str, ...]


class ConsoleCallParser:
    """Takes bytes in pieces of any size and gives the call once it is complete; its body is not kept."""

    def __init__(self, most_head: int, most_body: int) -> None:
        self.max_head, self.max_body = most_head, most_body
        self.head = bytearray()
        self.call: ConsoleCall | None = None
        self.body_left = 0  # bytes of the body still to come

    def feed(self, data: bytes) -> ConsoleCall | None:
        """The call, once it is complete with these bytes; raises `ConsoleProtocolError`."""
        if self.call is None:
            # Only what is new is looked through, and the three bytes before it: a head may come byte by byte.
            start = max(0, len(self.head) - 3)
            self.head += data
            at, gap = self.head.find(b"\r\n\r\n", start), 4
            if at < 0:
                if len(self.head) > self.max_head:
                    raise ConsoleProtocolError("the head is longer than allowed")
                return None
            if at > self.max_head:
                raise ConsoleProtocolError("the head is longer than allowed")
            data = bytes(self.head[at + gap :])
            self.call, self.body_left = self.parse_head(bytes(self.head[:at]))
        self.body_left = max(0, self.body_left - len(data))
        return self.call if not self.body_left else None

    def parse_head(self, head: bytes) -> tuple[ConsoleCall, int]:
        """The call and the length of its body."""
        try:
            first, *lines = head.decode("ascii").lstrip("\r\n").split("\r\n")
        except UnicodeDecodeError:
            raise ConsoleProtocolError("the head is not ASCII") from None
        words = first.split(" ")
        if len(words) != 3 or words[0] not in METHODS or words[2] not in ("HTTP/1.1", "HTTP/1.0"):
            raise ConsoleProtocolError("expected METHOD PATH HTTP/1.1")
        length: int | None = None
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise ConsoleProtocolError("a header line that cannot be read")
            if name.lower() == "transfer-encoding":
                raise ConsoleProtocolError("a body is told by Content-Length, not by Transfer-Encoding")
            if name.lower() == "content-length":
                text = value.strip()
                plain = text.isascii() and text.isdigit() and len(text) < 10
                if not plain or length not in (None, int(text)):
                    raise ConsoleProtocolError("Content-Length cannot be used")
                length = int(text)
        if (length or 0) > self.max_body:
            raise ConsoleProtocolError("the body is longer than allowed")
        return ConsoleCall(words[0], self.parse_path(words[1])), length or 0

    @staticmethod
    def parse_path(target: str) -> tuple[str, ...]:
        """The parts of a path, unescaped."""
        try:
            path = urlsplit(target).path
        except ValueError:
            raise ConsoleProtocolError("a path that cannot be read") from None
        if not path.startswith("/"):
            raise ConsoleProtocolError("a path that cannot be read")
        return tuple(map(unquote, path[1:].split("/")))


def format_answer(status: int, why: str, allow: str = "", head_only: bool = False) -> bytes:
    """A complete answer; its body is one line that says why."""
    body = f"{why}\n".encode()
    lines = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        "Content-Type: text/plain; charset=utf-8",
        f"Content-Length: {len(body)}",
        "Cache-Control: no-store",
        "Connection: close",
    ]
    if allow:
        lines.append(f"Allow: {allow}")
    return "\r\n".join([*lines, "", ""]).encode() + (b"" if head_only else body)
