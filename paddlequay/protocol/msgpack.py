"""MessagePack for the clients' protocol: no extension types, bounded depth and counts."""

import struct
from typing import Any

MAX_DEPTH = 6
MAX_ITEMS = 256  # in one array or map
MAX_VALUES = 600  # in one message, which is scanned again whenever more of it is received

Buffer = bytes | bytearray | memoryview


class MalformedMessageError(ValueError):
    """The bytes cannot become a message by further bytes."""


class IncompleteMessageError(Exception):
    """The message continues beyond the received bytes."""


_FLOATS = {0xCA: struct.Struct(">f"), 0xCB: struct.Struct(">d")}
_INTS = {
    0xCC: struct.Struct(">B"),
    0xCD: struct.Struct(">H"),
    0xCE: struct.Struct(">I"),
    0xCF: struct.Struct(">Q"),
    0xD0: struct.Struct(">b"),
    0xD1: struct.Struct(">h"),
    0xD2: struct.Struct(">i"),
    0xD3: struct.Struct(">q"),
}
_NUMBERS = _FLOATS | _INTS
_LENGTHS = {1: struct.Struct(">B"), 2: struct.Struct(">H"), 4: struct.Struct(">I")}
_STR = {0xD9: 1, 0xDA: 2, 0xDB: 4}
_BIN = {0xC4: 1, 0xC5: 2, 0xC6: 4}
_ARRAY = {0xDC: 2, 0xDD: 4}
_MAP = {0xDE: 2, 0xDF: 4}
_PLAIN = {0xC0: None, 0xC2: False, 0xC3: True}


class _Scan:
    """One pass over a buffer.

    Attributes:
        at: The current place.
        end: The end of the buffer.
        last: The place beyond which a message is too long.
        values: The values read so far.
    """

    def __init__(self, data: Buffer, at: int, max_size: int) -> None:
        self.data = data
        self.at = at
        self.end = len(data)
        self.last = at + max_size
        self.values = 0

    def take(self, count: int) -> int:
        """Moves past `count` bytes and returns their place."""
        at = self.at
        if at + count > self.last:
            raise MalformedMessageError("the message is longer than allowed")
        if at + count > self.end:
            raise IncompleteMessageError
        self.at = at + count
        return at

    def length(self, width: int) -> int:
        """Returns a length encoded in `width` bytes."""
        return int(_LENGTHS[width].unpack_from(self.data, self.take(width))[0])

    def text(self, count: int) -> str:
        """Returns a string of `count` bytes of UTF-8."""
        at = self.take(count)
        try:
            return str(self.data[at : at + count], "utf-8")
        except UnicodeDecodeError:
            raise MalformedMessageError("a string is not UTF-8") from None

    def items(self, count: int, depth: int) -> list[Any]:
        """Returns the items of an array, or the keys and values of a map in turn."""
        if count > MAX_ITEMS:
            raise MalformedMessageError(f"{count} items in one message part")
        return [self.value(depth + 1) for _ in range(count)]

    def pairs(self, count: int, depth: int) -> dict[Any, Any]:
        """Returns a map of `count` keys."""
        flat = self.items(2 * count, depth)
        try:
            return dict(zip(flat[::2], flat[1::2], strict=True))
        except TypeError:
            raise MalformedMessageError("a map's key is a map or a list") from None

    def value(self, depth: int) -> Any:
        """Returns the next value, which is at a depth, with all that it contains."""
        if depth > MAX_DEPTH:
            raise MalformedMessageError("nested too deeply")
        self.values += 1
        if self.values > MAX_VALUES:
            raise MalformedMessageError("too many values in one message")
        code = self.data[self.take(1)]
        if code < 0x80:
            return code
        if code >= 0xE0:
            return code - 0x100
        if code < 0x90:
            return self.pairs(code & 0x0F, depth)
        if code < 0xA0:
            return self.items(code & 0x0F, depth)
        if code < 0xC0:
            return self.text(code & 0x1F)
        if code in _PLAIN:
            return _PLAIN[code]
        if code in _STR:
            return self.text(self.length(_STR[code]))
        if code in _BIN:
            count = self.length(_BIN[code])
            at = self.take(count)
            return bytes(self.data[at : at + count])
        if code in _NUMBERS:
            form = _NUMBERS[code]
            return form.unpack_from(self.data, self.take(form.size))[0]
        if code in _ARRAY:
            return self.items(self.length(_ARRAY[code]), depth)
        if code in _MAP:
            return self.pairs(self.length(_MAP[code]), depth)
        raise MalformedMessageError(f"type byte 0x{code:02x} is not used here")


def unpack(data: Buffer, at: int, max_size: int) -> tuple[Any, int]:
    """Returns the value that starts at `at`, and the place after it.

    Args:
        data: The received bytes.
        at: The place of the value.
        max_size: The most bytes of the value.

    Raises:
        IncompleteMessageError: If the value continues beyond `data`.
        MalformedMessageError: If the bytes are no allowed value.
    """
    scan = _Scan(data, at, max_size)
    value = scan.value(0)
    return value, scan.at


def _head(count: int, small: tuple[int, int] | None, wide: tuple[tuple[int, int], ...]) -> bytes:
    """Returns the shortest head of `count` bytes or items.

    Args:
        count: The number of bytes or items.
        small: The type byte that holds the count, and the largest count it holds; None if there is none.
        wide: The type bytes that a count follows, with its width in bytes.
    """
    if small is not None and count <= small[1]:
        return bytes((small[0] | count,))
    for code, width in wide:
        if count < 1 << (8 * width):
            return bytes((code,)) + _LENGTHS[width].pack(count)
    raise ValueError(f"{count} does not fit")


def bin_head(count: int) -> bytes:
    """Returns the head of `count` bytes, so that the bytes can be written without a copy."""
    return _head(count, None, ((0xC4, 1), (0xC5, 2), (0xC6, 4)))


def _pack_int(value: int) -> bytes:
    """Returns an integer in its shortest form. Raises ValueError beyond 64 bits."""
    if 0 <= value < 0x80:
        return bytes((value,))
    if -0x20 <= value < 0:
        return bytes((value + 0x100,))
    codes = (0xCC, 0xCD, 0xCE, 0xCF) if value >= 0 else (0xD0, 0xD1, 0xD2, 0xD3)
    for code in codes:
        try:
            return bytes((code,)) + _INTS[code].pack(value)
        except struct.error:
            continue
    raise ValueError(f"{value} does not fit into 64 bits")


def pack(value: Any) -> bytes:
    """Returns a value as bytes. Raises ValueError or TypeError for a value without a form."""
    match value:
        case None:
            return b"\xc0"
        case bool():
            return b"\xc3" if value else b"\xc2"
        case int():
            return _pack_int(value)
        case float():
            return b"\xcb" + _FLOATS[0xCB].pack(value)
        case str():
            raw = value.encode()
            return _head(len(raw), (0xA0, 31), ((0xD9, 1), (0xDA, 2), (0xDB, 4))) + raw
        case bytes() | bytearray() | memoryview():
            return bin_head(len(value)) + value
        case list() | tuple():
            return _head(len(value), (0x90, 15), ((0xDC, 2), (0xDD, 4))) + b"".join(map(pack, value))
        case dict():
            flat = b"".join(pack(key) + pack(item) for key, item in value.items())
            return _head(len(value), (0x80, 15), ((0xDE, 2), (0xDF, 4))) + flat
    raise TypeError(f"{type(value).__name__} has no form here")
