"""Datagrams between routers: messages packed with a header, and the checks on what is received.

A datagram is 8 bytes of tag and one msgpack array: version, sender, incarnation, sequence, ballot counter,
messages.
Each message is an array of its `KIND` and its fields. The tag is blake2s over the array, keyed by the
installation's name, so that datagrams of another installation and altered ones are rejected. The name is no
secret: the tag guards against mistakes. The network vouches for the sender's address, and the address for the
sender's number.

Versions. Tag and version keep their places for good. A release reads the version that it writes and the one
before it and, where it prepares for the next one, that one too. All others are rejected. A release that reads
a new version and still writes the previous one is deployed everywhere before one that writes the new. A new
message or a new field at a message's end needs no new version: unknown kinds are skipped and counted, unknown
fields ignored, missing ones take their defaults.
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

VERSION = 1  # written; the one before it is read too and, where a release prepares it, the one after
MAX_DATAGRAM_BYTES = 256  # the platform's limit
TAG_SIZE = 8
MAX_MESSAGES = 32  # in a datagram; at two bytes at least for each this bounds the work of reading one
HEADER_ITEMS = 5
ARRAY_HEADER_SIZE = 3  # of a long msgpack array
MAX_HEADER_BYTES = TAG_SIZE + ARRAY_HEADER_SIZE + HEADER_ITEMS * 9
MAX_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES  # such a message fits whatever the header

# Ballots count elections, not renewals. At 100 a second a router that was isolated for over a year is still
# below this; a counter with a broken high bit is above it.
MAX_COUNTER_JUMP = 1 << 32
# What a router that has received nothing yet accepts as the fleet's ballot counter. Should it be wrong,
# others reject this router's datagrams, and their own counters still have room to grow (2^63 by 4096 routers
# is 2^51).
MAX_FIRST_COUNTER = 1 << 48

UNPACK_LIMITS: dict[str, Any] = {
    "use_list": False,
    "raw": False,
    "max_array_len": HEADER_ITEMS + MAX_MESSAGES,
    "max_map_len": 0,
    "max_str_len": MAX_TEXT_BYTES,
    "max_bin_len": MAX_TEXT_BYTES,
    "max_ext_len": 0,
}


class RejectReason(Enum):
    """Why a datagram was rejected as a whole. The values are names of counters."""

    OVERSIZED = "oversized"  # over 256 bytes
    FOREIGN = "foreign"  # of another installation, or altered
    MALFORMED = "malformed"  # the tag fits, but the content does not
    NEWER = "newer"  # a version above those that this release reads
    OLDER = "older"  # a version below them
    SENDER = "sender"  # from no peer's address, or from another's than that of the number it states
    OWN = "own"  # sent by this router to all
    STALE = "stale"  # of an incarnation that has ended, or from before the window
    REPEATED = "repeated"
    CLOCK = "clock"  # the sender's ballot counter is too far ahead


class RejectedDatagramError(ProtocolError):
    """A datagram that is rejected; `Wire.read` handles it."""

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a datagram. `sequence` counts the datagrams of an incarnation, to any receiver."""

    version: int
    sender: Peer
    incarnation: int
    sequence: int
    ballot_counter: int  # the highest counter of a lease's ballot that the sender has seen


@dataclass(frozen=True, slots=True)
class ReceivedDatagram:
    """A datagram that was accepted."""

    header: Header
    messages: tuple[PeerMessage, ...]
    skipped_count: int  # messages of unknown kinds


class Codec:
    """Packs and reads messages and headers; the same for all routers of an installation, and without state.

    `writes` is the version written, `reads` the highest one read.
    """

    def __init__(
        self,
        installation: str,
        fleet_size: int,
        message_types: Mapping[int, type[PeerMessage]] = MESSAGE_TYPES,
        writes: int = VERSION,
        reads: int = VERSION,
    ) -> None:
        if not writes <= reads <= writes + 1:
            raise ValueError(f"writes version {writes}, but reads up to {reads}")
        self.writes = writes
        self.reads = reads
        self.formats = {number: message_format(kind, fleet_size) for number, kind in message_types.items()}
        self._packer = msgpack.Packer()
        # The key has 32 bytes at most, the name any length.
        key = hashlib.blake2s(installation.encode()).digest()
        self._keyed_hash = hashlib.blake2s(key=key, digest_size=TAG_SIZE)

    def tag(self, body: bytes) -> bytes:
        """Returns the tag of a datagram's array."""
        keyed = self._keyed_hash.copy()
        keyed.update(body)
        return keyed.digest()

    # --- packing ---

    def pack_message(self, message: PeerMessage) -> bytes:
        """Packs a message. Raises `ValueError` for one that receivers would reject or that is too long."""
        format_ = self.formats.get(message.KIND)
        if format_ is None or type(message) is not format_.message_type:
            raise ValueError(f"{type(message).__name__} is no message of this version")
        stated = (getattr(message, name) for name in format_.names)
        values = [int(value) if isinstance(value, IntEnum) else value for value in stated]
        for name, value, field in zip(format_.names, values, format_.fields, strict=True):
            if not field.accepts(value):
                raise ValueError(f"{type(message).__name__}.{name}: {value!r}")
        packed: bytes = self._packer.pack((message.KIND, *values))
        if len(packed) > MAX_MESSAGE_BYTES:
            raise ValueError(f"{type(message).__name__}: {len(packed)} bytes")
        return packed

    def pack_header(self, header: Header) -> bytes:
        """Packs the items of a header, without the array's own header."""
        items = (header.version, header.sender, header.incarnation, header.sequence, header.ballot_counter)
        return b"".join(self._packer.pack(item) for item in items)

    def pack(self, header: Header, packed_messages: Sequence[bytes]) -> bytes:
        """Packs a datagram. Raises `ValueError` where the messages do not fit in one."""
        array_header: bytes = self._packer.pack_array_header(HEADER_ITEMS + len(packed_messages))
        body = array_header + self.pack_header(header) + b"".join(packed_messages)
        too_long = len(body) > MAX_DATAGRAM_BYTES - TAG_SIZE
        if too_long or len(packed_messages) > MAX_MESSAGES:
            raise ValueError(f"{len(packed_messages)} messages in {len(body) + TAG_SIZE} bytes")
        return self.tag(body) + body

    # --- reading ---

    def read(self, data: bytes) -> ReceivedDatagram:
        """Reads a datagram, the cheap checks first. Raises `RejectedDatagramError`."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise RejectedDatagramError(RejectReason.OVERSIZED)
        body = data[TAG_SIZE:]
        if data[:TAG_SIZE] != self.tag(body):
            raise RejectedDatagramError(RejectReason.FOREIGN)
        items = self._unpack(body)
        self._check_version(items[0])
        if len(items) < HEADER_ITEMS or not all(map(_is_header_item, items[:HEADER_ITEMS])):
            raise RejectedDatagramError(RejectReason.MALFORMED)
        read = [self._read_message(item) for item in items[HEADER_ITEMS:]]
        known = tuple(message for message in read if message is not None)
        return ReceivedDatagram(Header(*items[:HEADER_ITEMS]), known, len(read) - len(known))

    def _unpack(self, body: bytes) -> tuple[Any, ...]:
        try:
            items = msgpack.unpackb(body, **UNPACK_LIMITS)
        except (ValueError, msgpack.UnpackException):
            raise RejectedDatagramError(self._reason_unpackable(body)) from None
        if type(items) is not tuple or not items or type(items[0]) is not int:
            raise RejectedDatagramError(RejectReason.MALFORMED)
        return items

    def _check_version(self, version: int) -> None:
        if version > self.reads:
            raise RejectedDatagramError(RejectReason.NEWER)
        if version < 0:
            raise RejectedDatagramError(RejectReason.MALFORMED)
        if version < max(self.writes - 1, 1):
            raise RejectedDatagramError(RejectReason.OLDER)

    def _reason_unpackable(self, body: bytes) -> RejectReason:
        """Returns why an array cannot be unpacked: a newer version need not keep to this one's limits."""
        unpacker = msgpack.Unpacker(max_buffer_size=MAX_DATAGRAM_BYTES, **UNPACK_LIMITS)
        unpacker.feed(body)
        try:
            unpacker.read_array_header()
            version = unpacker.unpack()
        except (ValueError, msgpack.UnpackException):
            return RejectReason.MALFORMED
        is_newer = type(version) is int and version > self.reads
        return RejectReason.NEWER if is_newer else RejectReason.MALFORMED

    def _read_message(self, item: object) -> PeerMessage | None:
        """Reads a message; None for a kind that this release does not know."""
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
    """One router's end: numbers the datagrams that it sends, and tracks those received of each peer.

    The owners of `incarnation` and `ballot_counter` may raise them; a received ballot counter raises it too.
    """

    def __init__(self, codec: Codec, fleet: Fleet, incarnation: int) -> None:
        self.codec = codec
        self.fleet = fleet
        self.incarnation = incarnation
        self.sequence = 0
        self.ballot_counter = 0
        self.windows: dict[Peer, ReplayWindow] = {}  # of peers that were received; at most the fleet's size

    def next_header(self) -> Header:
        """Returns the header of the next datagram."""
        return Header(
            self.codec.writes, self.fleet.me, self.incarnation, self.sequence + 1, self.ballot_counter
        )

    def available_bytes(self) -> int:
        """Returns the bytes for messages in the next datagram, as if the array were long."""
        header = self.codec.pack_header(self.next_header())
        return MAX_DATAGRAM_BYTES - TAG_SIZE - ARRAY_HEADER_SIZE - len(header)

    def write(self, packed_messages: Sequence[bytes]) -> bytes:
        """Returns the next datagram. Raises `ValueError` where the messages exceed `available_bytes`."""
        data = self.codec.pack(self.next_header(), packed_messages)
        self.sequence += 1
        return data

    def read(self, data: bytes, source: Peer | None) -> ReceivedDatagram | RejectReason:
        """Reads a datagram. Raises nothing.

        Args:
            data: the datagram.
            source: the peer whose address it came from; None for any other address.
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
        """Returns why a readable datagram is rejected; None for one to accept."""
        if source is None or header.sender != source or source >= self.fleet.size:
            return RejectReason.SENDER
        if source == self.fleet.me:
            return RejectReason.OWN
        window = self.windows.get(source)
        if window is not None and window.is_stale(header.incarnation, header.sequence):
            return RejectReason.STALE
        if window is not None and window.is_repeated(header.incarnation, header.sequence):
            return RejectReason.REPEATED
        max_ballot_counter = self.ballot_counter + MAX_COUNTER_JUMP if self.windows else MAX_FIRST_COUNTER
        if header.ballot_counter > max_ballot_counter:
            return RejectReason.CLOCK
        return None
