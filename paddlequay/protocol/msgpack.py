"""MessagePack as the clients' protocol uses it: no extension types, and limits on depth and counts."""

import struct
from typing import Any

MAX_DEPTH = 6
MAX_ITEMS = 256  # of one array; each key and each value of a map counts
# Of one message; bounds the work on an incomplete message, which is parsed again whenever more is received.
MAX_VALUES = 600

Buffer = bytes | bytearray | memoryview


class MalformedMessageError(ValueError):
    """The bytes are not a message, whatever bytes may follow."""


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
_STR_LENGTH_WIDTHS = {0xD9: 1, 0xDA: 2, 0xDB: 4}
_BIN_LENGTH_WIDTHS = {0xC4: 1, 0xC5: 2, 0xC6: 4}
_ARRAY_LENGTH_WIDTHS = {0xDC: 2, 0xDD: 4}
_MAP_LENGTH_WIDTHS = {0xDE: 2, 0xDF: 4}
_CONSTANTS = {0xC0: None, 0xC2: False, 0xC3: True}


class _ValueReader:
    """Reads one value from a buffer.

    Attributes:
        position: The index of the next byte to read.
        end: The length of the buffer.
        limit: The index that the end of the value must not exceed.
        value_count: The number of values read so far.
    """

    def __init__(self, data: Buffer, position: int, max_size: int) -> None:
        self.data = data
        self.position = position
        self.end = len(data)
        self.limit = position + max_size
        self.value_count = 0

    def take(self, count: int) -> int:
        """Moves past `count` bytes and returns the index of the first of them."""
        position = self.position
        if position + count > self.limit:
            raise MalformedMessageError("the message is longer than allowed")
        if position + count > self.end:
            raise IncompleteMessageError
        self.position = position + count
        return position

    def length(self, width: int) -> int:
        """Returns a length encoded in `width` bytes."""
        return int(_LENGTHS[width].unpack_from(self.data, self.take(width))[0])

    def text(self, count: int) -> str:
        """Returns the string in the next `count` bytes of UTF-8."""
        position = self.take(count)
        try:
            return str(self.data[position : position + count], "utf-8")
        except UnicodeDecodeError:
            raise MalformedMessageError("a string is not UTF-8") from None

    def items(self, count: int, depth: int) -> list[Any]:
        """Returns the items of an array, or the alternating keys and values of a map."""
        if count > MAX_ITEMS:
            raise MalformedMessageError(
                f"expected at most {MAX_ITEMS} items, or keys and values, got {count}"
            )
        return [self.value(depth + 1) for _ in range(count)]

    def pairs(self, count: int, depth: int) -> dict[Any, Any]:
        """Returns a map with `count` keys."""
        flat = self.items(2 * count, depth)
        try:
            return dict(zip(flat[::2], flat[1::2], strict=True))
        except TypeError:
            raise MalformedMessageError("the key of a map is a map or an array") from None

    def value(self, depth: int) -> Any:
        """Returns the next value with all that it contains; `depth` values enclose it."""
        if depth > MAX_DEPTH:
            raise MalformedMessageError(f"expected a nesting depth of at most {MAX_DEPTH}, got {depth}")
        self.value_count += 1
        if self.value_count > MAX_VALUES:
            raise MalformedMessageError(f"expected at most {MAX_VALUES} values in one message, got more")
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
        if code in _CONSTANTS:
            return _CONSTANTS[code]
        if code in _STR_LENGTH_WIDTHS:
            return self.text(self.length(_STR_LENGTH_WIDTHS[code]))
        if code in _BIN_LENGTH_WIDTHS:
            count = self.length(_BIN_LENGTH_WIDTHS[code])
            position = self.take(count)
            return bytes(self.data[position : position + count])
        if code in _NUMBERS:
            number_format = _NUMBERS[code]
            return number_format.unpack_from(self.data, self.take(number_format.size))[0]
        if code in _ARRAY_LENGTH_WIDTHS:
            return self.items(self.length(_ARRAY_LENGTH_WIDTHS[code]), depth)
        if code in _MAP_LENGTH_WIDTHS:
            return self.pairs(self.length(_MAP_LENGTH_WIDTHS[code]), depth)
        raise MalformedMessageError(f"type byte 0x{code:02x} is not supported")


def unpack(data: Buffer, position: int, max_size: int) -> tuple[Any, int]:
    """Returns the value that starts at `position`, and the index of the byte after it.

    Args:
        data: The received bytes.
        position: The index of the first byte of the value.
        max_size: The largest allowed value in bytes.

    Raises:
        IncompleteMessageError: If the value continues beyond `data`.
        MalformedMessageError: If the bytes are not a supported value.
    """
    reader = _ValueReader(data, position, max_size)
    value = reader.value(0)
    return value, reader.position


def _head(count: int, small: tuple[int, int] | None, wide: tuple[tuple[int, int], ...]) -> bytes:
    """Returns the shortest head of a value with `count` bytes or items.

    Args:
        count: The number of bytes or items.
        small: The type byte into which a small count is encoded, and the largest such count; None if the
            type has none.
        wide: The type bytes after which the count is encoded, each with the width of the count in bytes.
    """
    if small is not None and count <= small[1]:
        return bytes((small[0] | count,))
    for code, width in wide:
        if count < 1 << (8 * width):
            return bytes((code,)) + _LENGTHS[width].pack(count)
    raise ValueError(f"a count of {count} does not fit into 32 bits")


def bin_head(count: int) -> bytes:
    """Returns the head of a value of `count` bytes; the caller writes the bytes after it without a copy."""
    return _head(count, None, ((0xC4, 1), (0xC5, 2), (0xC6, 4)))


def _pack_int(value: int) -> bytes:
    """Returns the shortest encoding of an integer. Raises ValueError if it does not fit into 64 bits."""
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
    """Returns the encoding of a value. Raises ValueError or TypeError if MessagePack cannot represent it."""
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
    raise TypeError(f"cannot encode {type(value).__name__}")
