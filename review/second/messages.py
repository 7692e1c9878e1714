"""The part of MessagePack that the clients' protocol needs."""

import struct
from typing import Any

ARRAY, MAP, TEXT, SHORT = 0x90, 0x80, 0xA0, 16


class IncompleteError(Exception):
    """More bytes are needed."""


def pack(value: Any) -> bytes:
    """Returns the bytes of a value."""
    match value:
        case None:
            return b"\xc0"
        case bool():
            return b"\xc3" if value else b"\xc2"
        case int() if value < 128:
            return bytes([value])
        case int():
            return b"\xce" + struct.pack(">I", value)
        case str():
            data = value.encode()
            return b"\xd9" + bytes([len(data)]) + data
        case bytes():
            return b"\xc6" + struct.pack(">I", len(value)) + value
        case list():
            return bytes([ARRAY | len(value)]) + b"".join(map(pack, value))
        case dict():
            return bytes([MAP | len(value)]) + b"".join(pack(k) + pack(v) for k, v in value.items())
    raise TypeError(f"no form for {value!r}")


class Reader:
    """Reads values from bytes, from a position on."""

    def __init__(self, data: bytes, at: int = 0) -> None:
        self.data = data
        self.at = at

    def take(self, size: int) -> bytes:
        """Returns the next bytes; raises `IncompleteError`."""
        if self.at + size > len(self.data):
            raise IncompleteError
        self.at += size
        return self.data[self.at - size : self.at]

    def number(self, size: int) -> int:
        """Returns the next bytes as a number."""
        return int.from_bytes(self.take(size), "big")

    def value(self) -> Any:
        """Returns the next value."""
        head = self.number(1)
        if head < MAP:
            return head
        if head < ARRAY:
            return self.pairs(head & 15)
        if head < TEXT:
            return [self.value() for _ in range(head & 15)]
        if head < 0xC0:
            return self.take(head & 31).decode()
        return self.long_value(head)

    def pairs(self, count: int) -> dict[Any, Any]:
        """Returns a map."""
        return {self.value(): self.value() for _ in range(count)}

    def long_value(self, head: int) -> Any:
        """Returns a value whose first byte does not hold its length."""
        match head:
            case 0xC0:
                return None
            case 0xC2 | 0xC3:
                return head == 0xC3
            case 0xC4 | 0xC5 | 0xC6:
                return self.take(self.number(1 << head - 0xC4))
            case 0xCC | 0xCD | 0xCE | 0xCF:
                return self.number(1 << head - 0xCC)
            case 0xD9 | 0xDA | 0xDB:
                return self.take(self.number(1 << head - 0xD9)).decode()
            case 0xDC:
                return [self.value() for _ in range(self.number(2))]
            case 0xDE:
                return self.pairs(self.number(2))
        raise ValueError(f"no value begins with {head:#x}")
