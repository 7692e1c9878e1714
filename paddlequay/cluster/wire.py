"""Datagrams between routers: notes packed with a head, and what is refused of what comes.

A datagram is 8 bytes of tag and one msgpack array: version, sender, incarnation, sequence, clock, notes. Each
note is an array of its `KIND` and fields. The tag is blake2s over the array, keyed by the installation's
name: what another installation sent, or what was changed on the way, does not pass for a word of this one.
The name is no secret: the tag guards against mistakes. Who the sender is tells its address, by the network's
word.

Versions. Tag and version keep their places for good. A release reads the version it writes and the one
before it, and, where it prepares for the next, that one too; whatever else is refused, never guessed at. A
release that reads a new version and still writes the former is everywhere before one writes the new. A new
note or a new field at a note's end needs no new version: unknown kinds are skipped and counted, fields past
the known ones are passed over, missing ones take their defaults.
"""

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import MISSING, dataclass, fields
from enum import Enum, IntEnum
from typing import Any, get_args, get_type_hints

import msgpack  # type: ignore[import-untyped]

from paddlequay.cluster.messages import (
    MAX_FIELD_VALUE,
    MAX_TEXT_BYTES,
    MESSAGE_TYPES,
    IntRange,
    PeerMessage,
    PeerRange,
)
from paddlequay.cluster.types import Fleet, Peer

VERSION = 1  # written; read too are the one before it and, where a release prepares it, the one after
DATAGRAM_MOST = 256  # bytes, the platform's bound
TAG_SIZE = 8
NOTES_MOST = 32  # in a datagram; with two bytes at least for each this holds the work of reading one down
HEAD_ITEMS = 5
HEAD_MOST = TAG_SIZE + 3 + HEAD_ITEMS * 9  # bytes; three are for the array
NOTE_MOST = DATAGRAM_MOST - HEAD_MOST  # whatever the head, such a note finds room

# Sequences by which datagrams may overtake each other. A router's numbers run on over all receivers; at the
# default bound on bytes, and 25 bytes at least for a datagram with a note, this is 1.6 s of sending.
WINDOW = 1024

# Ballots count contests for leases, not renewals. At 100 a second a router that was cut off for over a year
# is still below the jump; a counter with a broken high bit is above it.
CLOCK_JUMP = 1 << 32
# What a router that has heard nobody yet takes for the fleet's clock. Should the first word be wrong, others
# refuse what it says from then on, and their own counters keep their room (2^63 by 4096 routers is 2^51).
CLOCK_MOST = 1 << 48

LIMITS: dict[str, Any] = {
    "use_list": False,
    "raw": False,
    "max_array_len": HEAD_ITEMS + NOTES_MOST,
    "max_map_len": 0,
    "max_str_len": MAX_TEXT_BYTES,
    "max_bin_len": MAX_TEXT_BYTES,
    "max_ext_len": 0,
}


class Refusal(Enum):
    """Why a datagram was not taken in. Nothing of it is then believed."""

    OVERSIZED = "oversized"  # over 256 bytes
    FOREIGN = "foreign"  # of another installation, or not as it was sent
    MALFORMED = "malformed"  # ours by its tag, but not what the notes say
    NEWER = "newer"  # a version above those that this release reads
    OLDER = "older"  # one below them
    SENDER = "sender"  # from no peer's address, or from another's than that of the number it tells
    OWN = "own"  # what was sent to all has come back
    STALE = "stale"  # of an incarnation that has ended, or before the window
    REPEATED = "repeated"
    CLOCK = "clock"  # the sender's clock is ahead of all that was heard by more than the bound


class RefusedError(ValueError):
    """A datagram that is refused; caught within `Wire.read`."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.value)
        self.refusal = refusal


@dataclass(frozen=True, slots=True)
class Head:
    """Who sent a datagram. `sequence` grows by one with each that an incarnation sends, whoever it is for."""

    version: int
    sender: Peer
    incarnation: int
    sequence: int
    clock: int  # the highest counter of a lease's ballot that the sender has seen


@dataclass(frozen=True, slots=True)
class Heard:
    head: Head
    messages: tuple[PeerMessage, ...]
    skipped: int  # notes of unknown kinds


@dataclass(frozen=True, slots=True)
class Field:
    """What a note's field may hold: whole numbers in a range, or a text or bytes up to a length in bytes."""

    type: type
    least: int
    most: int

    def fits(self, value: object) -> bool:
        """No bool passes for a number."""
        if type(value) is not self.type:
            return False
        if isinstance(value, int):
            return self.least <= value <= self.most
        return len(value.encode() if isinstance(value, str) else value) <= self.most  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class Shape:
    """A kind of note, as its dataclass tells it."""

    make: type[PeerMessage]
    names: tuple[str, ...]
    fields: tuple[Field, ...]
    required: int  # fields without a default, which come first


def field_of(annotation: Any, size: int) -> Field | None:
    """What a field with this annotation may hold in a fleet of `size` routers; None without a form."""
    if annotation in (str, bytes):
        return Field(annotation, 0, MAX_TEXT_BYTES)
    if annotation is int:
        return Field(int, 0, MAX_FIELD_VALUE)
    match get_args(annotation):
        case (type() as base, IntRange(least=least, most=most)) if base is int:
            return Field(int, least, most)
        case (type() as base, PeerRange()) if base is int:
            return Field(int, 0, size - 1)
    return None


def shape_of(kind: type[PeerMessage], size: int) -> Shape:
    """From a note's annotations; raises `TypeError` for a field that the wire has no form for."""
    hints = get_type_hints(kind, include_extras=True)
    names = tuple(field.name for field in fields(kind))  # type: ignore[arg-type]
    found = []
    for name in names:
        field = field_of(hints[name], size)
        if field is None:
            raise TypeError(f"{kind.__name__}.{name}: {hints[name]} has no form on the wire")
        found.append(field)
    required = sum(field.default is MISSING for field in fields(kind))  # type: ignore[arg-type]
    return Shape(kind, names, tuple(found), required)


class Codec:
    """Notes and heads to bytes and back; the same for all routers of an installation, and without state.

    `writes` is the version written, `reads` the highest one read.
    """

    def __init__(
        self,
        name: str,
        size: int,
        kinds: Mapping[int, type[PeerMessage]] = MESSAGE_TYPES,
        writes: int = VERSION,
        reads: int = VERSION,
    ) -> None:
        if not writes <= reads <= writes + 1:
            raise ValueError(f"writes version {writes}, but reads up to {reads}")
        self.writes, self.reads = writes, reads
        self.shapes = {number: shape_of(kind, size) for number, kind in kinds.items()}
        self.packer = msgpack.Packer()
        # The key has 32 bytes at most, a name as many as it likes.
        self.keyed = hashlib.blake2s(key=hashlib.blake2s(name.encode()).digest(), digest_size=TAG_SIZE)

    def tag(self, body: bytes) -> bytes:
        digest = self.keyed.copy()
        digest.update(body)
        return digest.digest()

    def pack_message(self, message: PeerMessage) -> bytes:
        """Raises `ValueError` for what every receiver would refuse, and for what no datagram holds."""
        shape = self.shapes.get(message.KIND)
        if shape is None or type(message) is not shape.make:
            raise ValueError(f"{type(message).__name__} is no note of this version")
        told = (getattr(message, name) for name in shape.names)
        values = [int(value) if isinstance(value, IntEnum) else value for value in told]
        for name, value, field in zip(shape.names, values, shape.fields, strict=True):
            if not field.fits(value):
                raise ValueError(f"{type(message).__name__}.{name}: {value!r}")
        packed: bytes = self.packer.pack((message.KIND, *values))
        if len(packed) > NOTE_MOST:
            raise ValueError(f"{type(message).__name__}: {len(packed)} bytes")
        return packed

    def pack_head(self, head: Head) -> bytes:
        pack = self.packer.pack
        items = (head.version, head.sender, head.incarnation, head.sequence, head.clock)
        return b"".join(pack(item) for item in items)

    def pack(self, head: Head, messages: Sequence[bytes]) -> bytes:
        """A datagram from packed notes; raises `ValueError` where they do not fit in one."""
        start: bytes = self.packer.pack_array_header(HEAD_ITEMS + len(messages))
        body = start + self.pack_head(head) + b"".join(messages)
        if len(body) > DATAGRAM_MOST - TAG_SIZE or len(messages) > NOTES_MOST:
            raise ValueError(f"{len(messages)} notes in {len(body) + TAG_SIZE} bytes")
        return self.tag(body) + body

    def read(self, data: bytes) -> Heard:
        """Raises `RefusedError`. What is cheap to see comes first; a tag that does not fit ends it."""
        if len(data) > DATAGRAM_MOST:
            raise RefusedError(Refusal.OVERSIZED)
        body = data[TAG_SIZE:]
        if data[:TAG_SIZE] != self.tag(body):
            raise RefusedError(Refusal.FOREIGN)
        try:
            items = msgpack.unpackb(body, **LIMITS)
        except (ValueError, msgpack.UnpackException):
            raise RefusedError(self.beyond(body)) from None
        if type(items) is not tuple or not items or type(items[0]) is not int:
            raise RefusedError(Refusal.MALFORMED)
        self.check_version(items[0])
        if len(items) < HEAD_ITEMS or not all(
            type(item) is int and 0 <= item <= MAX_FIELD_VALUE for item in items[:HEAD_ITEMS]
        ):
            raise RefusedError(Refusal.MALFORMED)
        told = [self.read_message(item) for item in items[HEAD_ITEMS:]]
        messages = tuple(message for message in told if message is not None)
        return Heard(Head(*items[:HEAD_ITEMS]), messages, len(told) - len(messages))

    def check_version(self, version: int) -> None:
        if version > self.reads:
            raise RefusedError(Refusal.NEWER)
        if version < self.writes - 1 or version < 1:
            raise RefusedError(Refusal.OLDER if version >= 0 else Refusal.MALFORMED)

    def beyond(self, body: bytes) -> Refusal:
        """A newer version need not keep to this one's limits; its number is still where it was."""
        unpacker = msgpack.Unpacker(max_buffer_size=DATAGRAM_MOST, **LIMITS)
        unpacker.feed(body)
        try:
            unpacker.read_array_header()
            version = unpacker.unpack()
        except (ValueError, msgpack.UnpackException):
            return Refusal.MALFORMED
        return Refusal.NEWER if type(version) is int and version > self.reads else Refusal.MALFORMED

    def read_message(self, item: object) -> PeerMessage | None:
        """None for a kind that this release does not know."""
        if type(item) is not tuple or not item or type(item[0]) is not int or item[0] < 0:
            raise RefusedError(Refusal.MALFORMED)
        shape = self.shapes.get(item[0])
        if shape is None:
            return None
        values = item[1 : 1 + len(shape.fields)]
        if len(values) < shape.required:
            raise RefusedError(Refusal.MALFORMED)
        for value, field in zip(values, shape.fields, strict=False):
            if not field.fits(value):
                raise RefusedError(Refusal.MALFORMED)
        return shape.make(*values)


@dataclass(slots=True)
class Window:
    """Which sequences of a peer's incarnation have come: the highest, and a bit for each below it."""

    incarnation: int
    highest: int
    bits: int

    def refuses(self, head: Head) -> Refusal | None:
        if head.incarnation != self.incarnation:
            return Refusal.STALE if head.incarnation < self.incarnation else None
        back = self.highest - head.sequence
        if back >= WINDOW:
            return Refusal.STALE
        return Refusal.REPEATED if back >= 0 and self.bits >> back & 1 else None

    def take(self, head: Head) -> None:
        """`head` is one that was not refused."""
        if head.incarnation != self.incarnation:
            self.incarnation, self.highest, self.bits = head.incarnation, head.sequence, 1
            return
        ahead = head.sequence - self.highest
        if ahead > 0:
            self.bits = (self.bits << ahead | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self.highest = head.sequence
        else:
            self.bits |= 1 << -ahead


class Wire:
    """One router's end: numbers what it sends, and keeps of each peer what has come.

    `incarnation` and `clock` may be raised by their owners; what is heard raises the clock too.
    """

    def __init__(self, codec: Codec, fleet: Fleet, incarnation: int) -> None:
        self.codec, self.fleet, self.incarnation = codec, fleet, incarnation
        self.sequence = 0
        self.clock = 0
        self.windows: dict[Peer, Window] = {}  # a peer once heard of; no number past the fleet's gets in

    def head(self) -> Head:
        """Of the next datagram."""
        return Head(self.codec.writes, self.fleet.me, self.incarnation, self.sequence + 1, self.clock)

    def room(self) -> int:
        """Bytes for notes in the next datagram; three for the array, as if it were long."""
        return DATAGRAM_MOST - TAG_SIZE - 3 - len(self.codec.pack_head(self.head()))

    def write(self, messages: Sequence[bytes]) -> bytes:
        """The next datagram. Raises `ValueError` where the notes are more than `room`."""
        data = self.codec.pack(self.head(), messages)
        self.sequence += 1
        return data

    def read(self, data: bytes, source: Peer | None) -> Heard | Refusal:
        """A datagram from the address of peer `source`, None for any other address. Raises nothing."""
        try:
            heard = self.codec.read(data)
        except RefusedError as error:
            return error.refusal
        head = heard.head
        if source is None or head.sender != source or source >= self.fleet.size:
            return Refusal.SENDER
        if source == self.fleet.me:
            return Refusal.OWN
        window = self.windows.get(source)
        if window is not None and (refusal := window.refuses(head)):
            return refusal
        if head.clock > (self.clock + CLOCK_JUMP if self.windows else CLOCK_MOST):
            return Refusal.CLOCK
        if window is None:
            self.windows[source] = Window(head.incarnation, head.sequence, 1)
        else:
            window.take(head)
        self.clock = max(self.clock, head.clock)
        return heard
