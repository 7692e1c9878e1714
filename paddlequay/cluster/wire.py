"""Datagrams between routers: messages packed with a header, and the checks on what is received.

A datagram is an 8-byte tag followed by one msgpack array: version, sender, incarnation, sequence, ballot
counter, messages. Each message is an array of its `KIND` and its fields.

The tag is a blake2s hash of the array, keyed by the installation's name, so that altered datagrams and those
of another installation are rejected. The name is not secret: the tag protects against mistakes, not attacks.
The sender's number is verified by the address that a datagram comes from, which the network has to keep
authentic.

The tag and the version stay in the same place in all versions. A release reads the version that it writes,
the previous one and, if it prepares an upgrade, the next one; all others are rejected. To introduce a
version, a release that reads it but still writes the previous one is deployed everywhere first. A new
message, or a new field at a message's end, needs no new version: unknown kinds are skipped and counted,
unknown fields are ignored, and missing fields take their defaults.
"""

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any

import msgpack  # type: ignore[import-untyped]

from paddlequay.cluster.message_formats import message_format
from paddlequay.cluster.messages import MAX_FIELD_VALUE, MAX_TEXT_BYTES, MESSAGE_TYPES, PeerMessage
from paddlequay.cluster.replay_window import ReplayWindow
from paddlequay.cluster.types import Fleet, Peer
from paddlequay.errors import ProtocolError

VERSION = 1  # the version that this release writes
MAX_DATAGRAM_BYTES = 256  # limit of the platform
TAG_BYTES = 8
# Messages in a datagram. A message takes at least two bytes; the limit bounds the work of reading a datagram.
MAX_MESSAGES = 32
HEADER_ITEM_COUNT = 5
ARRAY_HEADER_BYTES = 3  # the header of a msgpack array of more than 15 items
MAX_HEADER_BYTES = TAG_BYTES + ARRAY_HEADER_BYTES + HEADER_ITEM_COUNT * 9
MAX_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES  # a message of this length fits beside any header

# A ballot counter counts elections, not renewals. At 100 elections a second, a router that was isolated for
# over a year is still within this jump, while a counter with a flipped high bit exceeds it.
MAX_BALLOT_COUNTER_JUMP = 1 << 32
# The highest ballot counter that a router accepts in the first datagram that it receives. If that counter is
# wrong, the other routers reject this router's datagrams, and their own counters can still grow (2^63 divided
# among 4096 routers is 2^51).
MAX_INITIAL_BALLOT_COUNTER = 1 << 48

UNPACK_LIMITS: dict[str, Any] = {
    "use_list": False,
    "raw": False,
    "max_array_len": HEADER_ITEM_COUNT + MAX_MESSAGES,
    "max_map_len": 0,
    "max_str_len": MAX_TEXT_BYTES,
    "max_bin_len": MAX_TEXT_BYTES,
    "max_ext_len": 0,
}


class RejectReason(Enum):
    """Why a datagram was rejected as a whole. The values are names of counters."""

    OVERSIZED = "oversized"  # longer than `MAX_DATAGRAM_BYTES`
    FOREIGN = "foreign"  # of another installation, or altered
    MALFORMED = "malformed"  # the tag is correct, but the content is invalid
    NEWER = "newer"  # its version is above those that this release reads
    OLDER = "older"  # its version is below those that this release reads
    SENDER = "sender"  # the address is not that of the peer whose number the header states
    OWN = "own"  # sent by this router itself to all
    STALE = "stale"  # of an earlier incarnation, or too old for the replay window
    REPEATED = "repeated"  # received before
    CLOCK = "clock"  # the sender's ballot counter is too far ahead


class RejectedDatagramError(ProtocolError):
    """A received datagram is rejected. `Wire.read` catches the error and returns the reason."""

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a datagram. `sequence` counts the datagrams of an incarnation to all receivers."""

    version: int
    sender: Peer
    incarnation: int
    sequence: int
    ballot_counter: int  # the highest ballot counter of any lease that the sender knows


@dataclass(frozen=True, slots=True)
class ReceivedDatagram:
    """The content of an accepted datagram."""

    header: Header
    messages: tuple[PeerMessage, ...]
    skipped_count: int  # number of messages of unknown kinds


class Codec:
    """Packs and reads datagrams, without state; the same for all routers of an installation.

    `written_version` is the version of sent datagrams, `max_read_version` the highest version accepted.
    """

    def __init__(
        self,
        installation: str,
        fleet_size: int,
        message_types: Mapping[int, type[PeerMessage]] = MESSAGE_TYPES,
        written_version: int = VERSION,
        max_read_version: int = VERSION,
    ) -> None:
        if not written_version <= max_read_version <= written_version + 1:
            raise ValueError(
                f"max_read_version is {max_read_version}, expected {written_version} or one above"
            )
        self.written_version = written_version
        self.max_read_version = max_read_version
        self.formats = {number: message_format(kind, fleet_size) for number, kind in message_types.items()}
        self._packer = msgpack.Packer()
        # A blake2s key has at most 32 bytes, so a name of any length is hashed first.
        key = hashlib.blake2s(installation.encode()).digest()
        self._keyed_hash = hashlib.blake2s(key=key, digest_size=TAG_BYTES)

    def tag(self, body: bytes) -> bytes:
        """Returns the tag of a datagram's packed array."""
        keyed_hash = self._keyed_hash.copy()
        keyed_hash.update(body)
        return keyed_hash.digest()

    def pack_message(self, message: PeerMessage) -> bytes:
        """Packs a message. Raises `ValueError` if it is too long or receivers would reject it."""
        format_ = self.formats.get(message.KIND)
        if format_ is None or type(message) is not format_.message_type:
            raise ValueError(f"{type(message).__name__} is not a message type of this codec")
        raw_values = (getattr(message, name) for name in format_.field_names)
        values = [int(value) if isinstance(value, IntEnum) else value for value in raw_values]
        for name, value, field in zip(format_.field_names, values, format_.fields, strict=True):
            if not field.accepts(value):
                raise ValueError(f"{type(message).__name__}.{name}: value {value!r} is out of range")
        packed: bytes = self._packer.pack((message.KIND, *values))
        if len(packed) > MAX_MESSAGE_BYTES:
            raise ValueError(
                f"{type(message).__name__}: {len(packed)} bytes, expected at most {MAX_MESSAGE_BYTES}"
            )
        return packed

    def pack_header(self, header: Header) -> bytes:
        """Packs the items of a header, without the msgpack header of the array."""
        items = (header.version, header.sender, header.incarnation, header.sequence, header.ballot_counter)
        return b"".join(self._packer.pack(item) for item in items)

    def pack(self, header: Header, packed_messages: Sequence[bytes]) -> bytes:
        """Packs a datagram. Raises `ValueError` if the messages do not fit into one."""
        array_header: bytes = self._packer.pack_array_header(HEADER_ITEM_COUNT + len(packed_messages))
        body = array_header + self.pack_header(header) + b"".join(packed_messages)
        too_long = len(body) > MAX_DATAGRAM_BYTES - TAG_BYTES
        if too_long or len(packed_messages) > MAX_MESSAGES:
            raise ValueError(
                f"{len(packed_messages)} messages in {len(body) + TAG_BYTES} bytes exceed one datagram"
            )
        return self.tag(body) + body

    def read(self, data: bytes) -> ReceivedDatagram:
        """Reads a datagram. Cheap checks come first. Raises `RejectedDatagramError`."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise RejectedDatagramError(RejectReason.OVERSIZED)
        body = data[TAG_BYTES:]
        if data[:TAG_BYTES] != self.tag(body):
            raise RejectedDatagramError(RejectReason.FOREIGN)
        items = self._unpack(body)
        self._check_version(items[0])
        if len(items) < HEADER_ITEM_COUNT or not all(map(_is_header_item, items[:HEADER_ITEM_COUNT])):
            raise RejectedDatagramError(RejectReason.MALFORMED)
        read = [self._read_message(item) for item in items[HEADER_ITEM_COUNT:]]
        known = tuple(message for message in read if message is not None)
        return ReceivedDatagram(Header(*items[:HEADER_ITEM_COUNT]), known, len(read) - len(known))

    def _unpack(self, body: bytes) -> tuple[Any, ...]:
        try:
            items = msgpack.unpackb(body, **UNPACK_LIMITS)
        except (ValueError, msgpack.UnpackException):
            raise RejectedDatagramError(self._reason_unpackable(body)) from None
        if type(items) is not tuple or not items or type(items[0]) is not int:
            raise RejectedDatagramError(RejectReason.MALFORMED)
        return items

    def _check_version(self, version: int) -> None:
        if version > self.max_read_version:
            raise RejectedDatagramError(RejectReason.NEWER)
        if version < 0:
            raise RejectedDatagramError(RejectReason.MALFORMED)
        if version < max(self.written_version - 1, 1):
            raise RejectedDatagramError(RejectReason.OLDER)

    def _reason_unpackable(self, body: bytes) -> RejectReason:
        """Returns why an array cannot be unpacked: a newer version may have other limits than this one."""
        unpacker = msgpack.Unpacker(max_buffer_size=MAX_DATAGRAM_BYTES, **UNPACK_LIMITS)
        unpacker.feed(body)
        try:
            unpacker.read_array_header()
            version = unpacker.unpack()
        except (ValueError, msgpack.UnpackException):
            return RejectReason.MALFORMED
        is_newer = type(version) is int and version > self.max_read_version
        return RejectReason.NEWER if is_newer else RejectReason.MALFORMED

    def _read_message(self, item: object) -> PeerMessage | None:
        """Returns the message; None for a kind that this release does not know."""
        if type(item) is not tuple or not item or type(item[0]) is not int or item[0] < 0:
            raise RejectedDatagramError(RejectReason.MALFORMED)
        format_ = self.formats.get(item[0])
        if format_ is None:
            return None
        values = item[1 : 1 + len(format_.fields)]
        if len(values) < format_.required_count:
            raise RejectedDatagramError(RejectReason.MALFORMED)
        for value, field in zip(values, format_.fields, strict=False):
            if not field.accepts(value):
                raise RejectedDatagramError(RejectReason.MALFORMED)
        return format_.message_type(*values)


def _is_header_item(item: object) -> bool:
    return type(item) is int and 0 <= item <= MAX_FIELD_VALUE


class Wire:
    """One router's datagrams: numbers those that it sends, and checks those that it receives for repetition.

    The node raises `incarnation` and `ballot_counter`; a higher ballot counter that is received raises it
    too.
    """

    def __init__(self, codec: Codec, fleet: Fleet, incarnation: int) -> None:
        self.codec = codec
        self.fleet = fleet
        self.incarnation = incarnation
        self.sequence = 0
        self.ballot_counter = 0
        self.windows: dict[Peer, ReplayWindow] = {}  # by sender, at most one per router of the fleet

    def next_header(self) -> Header:
        """Returns the header of the next datagram."""
        return Header(
            self.codec.written_version,
            self.fleet.me,
            self.incarnation,
            self.sequence + 1,
            self.ballot_counter,
        )

    def available_bytes(self) -> int:
        """Returns the bytes left for messages in the next datagram, assuming a long array header."""
        header = self.codec.pack_header(self.next_header())
        return MAX_DATAGRAM_BYTES - TAG_BYTES - ARRAY_HEADER_BYTES - len(header)

    def write(self, packed_messages: Sequence[bytes]) -> bytes:
        """Returns the next datagram. Raises `ValueError` if the messages exceed `available_bytes`."""
        data = self.codec.pack(self.next_header(), packed_messages)
        self.sequence += 1
        return data

    def read(self, data: bytes, source: Peer | None) -> ReceivedDatagram | RejectReason:
        """Reads a datagram; returns the reason if it is rejected. Raises no error.

        Args:
            data: the datagram.
            source: the peer from whose address it came; None for an unknown address.
        """
        try:
            received = self.codec.read(data)
        except RejectedDatagramError as error:
            return error.reason
        header = received.header
        reason = self._find_reject_reason(header, source)
        if reason is not None:
            return reason
        window = self.windows.get(header.sender)
        if window is None:
            self.windows[header.sender] = ReplayWindow(header.incarnation, header.sequence)
        else:
            window.record(header.incarnation, header.sequence)
        self.ballot_counter = max(self.ballot_counter, header.ballot_counter)
        return received

    def _find_reject_reason(self, header: Header, source: Peer | None) -> RejectReason | None:
        """Returns why a datagram with this header is rejected; None if it is accepted."""
        if source is None or header.sender != source or source >= self.fleet.size:
            return RejectReason.SENDER
        if source == self.fleet.me:
            return RejectReason.OWN
        window = self.windows.get(source)
        if window is not None and window.is_stale(header.incarnation, header.sequence):
            return RejectReason.STALE
        if window is not None and window.is_repeated(header.incarnation, header.sequence):
            return RejectReason.REPEATED
        max_ballot_counter = (
            self.ballot_counter + MAX_BALLOT_COUNTER_JUMP if self.windows else MAX_INITIAL_BALLOT_COUNTER
        )
        if header.ballot_counter > max_ballot_counter:
            return RejectReason.CLOCK
        return None
