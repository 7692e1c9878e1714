"""The console's protocol: parses one HTTP/1.1 call per connection and formats its answer."""

from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import unquote, urlsplit

HEAD_END = b"\r\n\r\n"
MAX_LENGTH_DIGITS = 9
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT")


class ConsoleProtocolError(ValueError):
    """The bytes are not a valid call."""


@dataclass(frozen=True, slots=True)
class ConsoleCall:
    """One call: its method, and the segments of its path without percent-encoding."""

    method: str
    path: tuple[str, ...]


class ConsoleCallParser:
    """Parses one call from bytes as they are received, and discards its body.

    Args:
        max_head: The largest allowed head in bytes.
        max_body: The largest allowed body in bytes.

    Attributes:
        head: The received part of the head.
        call: The call; None before its head is complete.
        body_left: How many bytes of the body have not been received yet.
    """

    def __init__(self, max_head: int, max_body: int) -> None:
        self.max_head = max_head
        self.max_body = max_body
        self.head = bytearray()
        self.call: ConsoleCall | None = None
        self.body_left = 0

    def feed(self, data: bytes) -> ConsoleCall | None:
        """Returns the call if it is complete, else None. Raises `ConsoleProtocolError`."""
        if self.call is None:
            # A head may arrive byte by byte: search only the new bytes and the last ones before them, in
            # which the end of the head may have begun.
            start = max(0, len(self.head) - len(HEAD_END) + 1)
            self.head += data
            end = self.head.find(HEAD_END, start)
            if (end if end >= 0 else len(self.head)) > self.max_head:
                raise ConsoleProtocolError("the head is longer than allowed")
            if end < 0:
                return None
            data = bytes(self.head[end + len(HEAD_END) :])
            self.call, self.body_left = self.parse_head(bytes(self.head[:end]))
        self.body_left = max(0, self.body_left - len(data))
        return self.call if not self.body_left else None

    def parse_head(self, head: bytes) -> tuple[ConsoleCall, int]:
        """Returns the call and the length of its body in bytes. Raises `ConsoleProtocolError`."""
        try:
            first, *lines = head.decode("ascii").lstrip("\r\n").split("\r\n")
        except UnicodeDecodeError:
            raise ConsoleProtocolError("the head is not ASCII") from None
        words = first.split(" ")
        if len(words) != 3 or words[0] not in METHODS or words[2] not in ("HTTP/1.1", "HTTP/1.0"):
            raise ConsoleProtocolError("expected METHOD PATH HTTP/1.1")
        length = self.parse_length(lines)
        if length > self.max_body:
            raise ConsoleProtocolError("the body is longer than allowed")
        return ConsoleCall(words[0], self.parse_path(words[1])), length

    @staticmethod
    def parse_length(lines: list[str]) -> int:
        """Returns the length of the body in bytes, 0 without a header. Raises `ConsoleProtocolError`."""
        length: int | None = None
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise ConsoleProtocolError("a header line that cannot be read")
            if name.lower() == "transfer-encoding":
                raise ConsoleProtocolError("a body is told by Content-Length, not by Transfer-Encoding")
            if name.lower() == "content-length":
                text = value.strip()
                is_length = text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS
                if not is_length or length not in (None, int(text)):
                    raise ConsoleProtocolError("Content-Length cannot be used")
                length = int(text)
        return length or 0

    @staticmethod
    def parse_path(target: str) -> tuple[str, ...]:
        """Returns the segments of a path without percent-encoding. Raises `ConsoleProtocolError`."""
        try:
            path = urlsplit(target).path
        except ValueError:
            raise ConsoleProtocolError("a path that cannot be read") from None
        if not path.startswith("/"):
            raise ConsoleProtocolError("a path that cannot be read")
        return tuple(map(unquote, path[1:].split("/")))


def format_answer(status: int, message: str, allow: str = "", head_only: bool = False) -> bytes:
    """Returns a complete answer.

    Args:
        status: The HTTP status.
        message: The line of the body.
        allow: The value of the `Allow` header; without that header if it is empty.
        head_only: Whether to leave out the body.
    """
    body = f"{message}\n".encode()
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
