"""The operators' side: HTTP/1.1, one call to a connection. Knows no socket."""

from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import unquote, urlsplit

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT")


class MalformedError(ValueError):
    """Bytes that are no call."""


@dataclass(frozen=True, slots=True)
class Call:
    """One call: its method, and the parts of its path with escapes undone."""

    method: str
    path: tuple[str, ...]


class Reader:
    """Takes bytes in pieces of any size and gives the call once it is whole, its body left unread."""

    def __init__(self, most_head: int, most_body: int) -> None:
        self.most_head, self.most_body = most_head, most_body
        self.head = bytearray()
        self.call: Call | None = None
        self.left = 0  # bytes of the body still to come

    def feed(self, data: bytes) -> Call | None:
        if self.call is None:
            # Only what is new is looked through, and the three bytes before it: a head may come byte by byte.
            start = max(0, len(self.head) - 3)
            self.head += data
            at, gap = self.head.find(b"\r\n\r\n", start), 4
            if at < 0:
                if len(self.head) > self.most_head:
                    raise MalformedError("the head is longer than allowed")
                return None
            if at > self.most_head:
                raise MalformedError("the head is longer than allowed")
            data = bytes(self.head[at + gap :])
            self.call, self.left = self.read_head(bytes(self.head[:at]))
        self.left = max(0, self.left - len(data))
        return self.call if not self.left else None

    def read_head(self, head: bytes) -> tuple[Call, int]:
        try:
            first, *lines = head.decode("ascii").lstrip("\r\n").split("\r\n")
        except UnicodeDecodeError:
            raise MalformedError("the head is not ASCII") from None
        words = first.split(" ")
        if len(words) != 3 or words[0] not in METHODS or words[2] not in ("HTTP/1.1", "HTTP/1.0"):
            raise MalformedError("expected METHOD PATH HTTP/1.1")
        length: int | None = None
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise MalformedError("a header line that cannot be read")
            if name.lower() == "transfer-encoding":
                raise MalformedError("a body is told by Content-Length, not by Transfer-Encoding")
            if name.lower() == "content-length":
                text = value.strip()
                plain = text.isascii() and text.isdigit() and len(text) < 10
                if not plain or length not in (None, int(text)):
                    raise MalformedError("Content-Length cannot be used")
                length = int(text)
        if (length or 0) > self.most_body:
            raise MalformedError("the body is longer than allowed")
        return Call(words[0], self.read_path(words[1])), length or 0

    @staticmethod
    def read_path(target: str) -> tuple[str, ...]:
        try:
            path = urlsplit(target).path
        except ValueError:
            raise MalformedError("a path that cannot be read") from None
        if not path.startswith("/"):
            raise MalformedError("a path that cannot be read")
        return tuple(map(unquote, path[1:].split("/")))


def answer(status: int, why: str, allow: str = "", head_only: bool = False) -> bytes:
    """A whole answer; its body is one line that says why."""
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
