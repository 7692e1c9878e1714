"""MessagePack, as far as the clients need it."""

import struct
from typing import Any

from standins.record import CannotRunError


def pack(value: Any) -> bytes:
    """Returns the MessagePack encoding of a value that a client sends."""
    if value is None:
        return b"\xc0"
    if isinstance(value, int):
        return bytes((value,)) if value < 0x80 else b"\xce" + struct.pack(">I", value)
    if isinstance(value, str):
        raw = value.encode()
        return (bytes((0xA0 | len(raw),)) if len(raw) < 32 else b"\xd9" + bytes((len(raw),))) + raw
    if isinstance(value, bytes):
        return b"\xc5" + struct.pack(">H", len(value)) + value
    if isinstance(value, list):
        return bytes((0x90 | len(value),)) + b"".join(map(pack, value))
    flat = b"".join(pack(key) + pack(item) for key, item in value.items())
    return bytes((0x80 | len(value),)) + flat


class Unpacker:
    """Reads MessagePack values from the bytes of one connection."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.at = 0

    def values(self, more: bytes) -> list[Any]:
        """Returns the values that are complete with more bytes."""
        self.data += more
        found = []
        while self.data:
            self.at = 0
            try:
                found.append(self._value())
            except IndexError:
                break
            del self.data[: self.at]
        return found

    def _take(self, count: int) -> bytes:
        if self.at + count > len(self.data):
            raise IndexError
        self.at += count
        return bytes(self.data[self.at - count : self.at])

    def _number(self, width: int) -> int:
        return int.from_bytes(self._take(width), "big")

    def _value(self) -> Any:
        code = self._number(1)
        if code < 0x80:
            return code
        if code < 0x90:
            return {self._value(): self._value() for _ in range(code & 0x0F)}
        if code < 0xA0:
            return [self._value() for _ in range(code & 0x0F)]
        if code < 0xC0:
            return self._take(code & 0x1F).decode()
        if code in (0xC0, 0xC2, 0xC3):
            return {0xC0: None, 0xC2: False, 0xC3: True}[code]
        if code in (0xC4, 0xC5, 0xC6):
            return self._take(self._number(1 << (code - 0xC4)))
        if code in (0xCC, 0xCD, 0xCE, 0xCF):
            return self._number(1 << (code - 0xCC))
        if code in (0xD9, 0xDA):
            return self._take(self._number(1 << (code - 0xD9))).decode()
        raise CannotRunError(f"a client cannot read type byte {code:#x}")
