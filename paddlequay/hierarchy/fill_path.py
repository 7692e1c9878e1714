"""The signed path of a fill: the nodes that it has passed, so that a node detects a fill that returns to it.

The path is a path vector like CDN-Loop (RFC 8586) in HTTP, but it is bound to one request, limited in length
and authenticated. A node that finds itself in the path rejects the fill. A hop count alone would let a loop
of two nodes run up to the limit, with one fill at each step. The path also carries the time and the node at
which the fill began: of two fills that would wait for each other only the older one may wait (wait-die,
Rosenkrantz et al., 1978).

On the wire a path is one word in the format `WIRE_FORMAT`, without spaces, commas or equals signs.
"""

import hashlib
import hmac
import re
from collections.abc import Iterable
from dataclasses import dataclass

from paddlequay.hierarchy.errors import FillPathError
from paddlequay.hierarchy.topology import NODE_NAME

MAX_HOPS = 12  # twice the depth limit of topologies, as a fill may also go to a peer at every level
MAX_TEXT_CHARS = 1024
MAC_HEX_DIGIT_COUNT = 32  # 128 bits of HMAC-SHA256 (truncated as in RFC 2104, section 5)
MAX_STARTED_US = (1 << 63) - 1
MAX_STARTED_DIGITS = 19
MIN_SECRET_BYTES = 16
UNSIGNED = "-"
WIRE_FORMAT = "KEY:STARTED_US:NODE~NODE:MAC"
KEY_ID = re.compile(r"[A-Za-z0-9_-]{1,16}")
TEXT_PARTS_COUNT = 4


@dataclass(frozen=True, slots=True)
class FillPath:
    """The nodes that a fill has passed, in order.

    `started_us` is the Unix time in microseconds at which the first node began its fill.
    """

    started_us: int
    hops: tuple[str, ...]

    @property
    def last_hop(self) -> str:
        """The node that forwarded the request."""
        return self.hops[-1]

    def is_older_than(self, other: "FillPath") -> bool:
        """Returns whether this fill began before another; on equal times the first node's name decides."""
        return (self.started_us, self.hops[0]) < (other.started_us, other.hops[0])

    def extended_by(self, node: str) -> "FillPath":
        """Returns this path with one more hop."""
        return FillPath(self.started_us, (*self.hops, node))


@dataclass(frozen=True, slots=True)
class SigningKey:
    """A secret that all nodes share; it signs from `signs_from` on and is valid before `valid_until`.

    Both times are Unix seconds.
    """

    id: str
    secret: bytes
    signs_from: float = 0.0
    valid_until: float = float("inf")

    def check(self) -> None:
        """Raises `FillPathError` if the key cannot be used."""
        if not KEY_ID.fullmatch(self.id):
            raise FillPathError("expected 1 to 16 letters, digits, - and _", f"key {self.id[:20]!r}")
        if len(self.secret) < MIN_SECRET_BYTES:
            raise FillPathError(f"expected a secret of {MIN_SECRET_BYTES} bytes or more", f"key {self.id}")
        if not self.signs_from < self.valid_until:
            raise FillPathError("expires before it begins to sign", f"key {self.id}")


class Keyring:
    """Signing keys with overlapping lifetimes: the latest one signs, and every valid one verifies.

    A key verifies before it begins to sign, so that nodes accept each other's paths during a key change even
    if their clocks differ or some have loaded the new key later. A keyring without keys encodes unsigned
    paths and accepts no signed one.

    Raises:
        FillPathError: One of the keys cannot be used.
    """

    def __init__(self, keys: Iterable[SigningKey] = ()) -> None:
        self.keys = {key.id: key for key in keys}
        for key in self.keys.values():
            key.check()

    def signing_key(self, now: float) -> SigningKey | None:
        """Returns the key that signs at `now` (Unix seconds): the latest one that has begun to sign.

        If none has begun yet, returns the one that begins first; if all have expired, None.
        """
        valid = [key for key in self.keys.values() if now < key.valid_until]
        begun = [key for key in valid if key.signs_from <= now]
        if begun:
            return max(begun, key=_signing_order)
        return min(valid, key=_signing_order, default=None)

    def encode(self, path: FillPath, context: str, now: float) -> str:
        """Returns the path in its wire format, signed for one request.

        Args:
            path: The path.
            context: Text that is unique to the request; the signature covers it.
            now: The time in Unix seconds.

        Raises:
            FillPathError: All keys have expired.
        """
        key = self.signing_key(now)
        if key is None and self.keys:
            raise FillPathError("all keys have expired")
        hops = "~".join(path.hops)
        if key is None:
            return f"{UNSIGNED}:{path.started_us}:{hops}:{UNSIGNED}"
        signed = f"{key.id}:{path.started_us}:{hops}"
        return f"{signed}:{_signature(key, signed, context)}"

    def decode(self, text: str, context: str, now: float) -> FillPath:
        """Returns the path that a text in wire format holds, if its signature is valid for this request.

        Args:
            text: The path in its wire format.
            context: Text that is unique to the request.
            now: The time in Unix seconds.

        Raises:
            FillPathError: The text is malformed, or its signature is not valid.
        """
        if len(text) > MAX_TEXT_CHARS:
            raise FillPathError(f"path has {len(text)} characters, more than {MAX_TEXT_CHARS}")
        parts = text.split(":")
        if len(parts) != TEXT_PARTS_COUNT:
            raise FillPathError(f"expected {WIRE_FORMAT}", value=text)
        key_id, started, hops, mac = parts
        path = FillPath(_decode_start(started), _decode_hops(hops))
        self._check_signature(key_id, f"{key_id}:{started}:{hops}", mac, context, now)
        return path

    def _check_signature(self, key_id: str, signed: str, mac: str, context: str, now: float) -> None:
        """Raises `FillPathError` unless the signature is valid, or absent if the keyring has no keys."""
        if not self.keys:
            if key_id != UNSIGNED or mac != UNSIGNED:
                raise FillPathError("path is signed, but this node has no signing keys")
            return
        key = self.keys.get(key_id)
        if key is None or now >= key.valid_until:
            raise FillPathError("unknown or expired", f"key {key_id[:20]!r}")
        if not hmac.compare_digest(_signature(key, signed, context), mac):
            raise FillPathError("path signature is not valid for this request")


def _signing_order(key: SigningKey) -> tuple[float, str]:
    return key.signs_from, key.id


def _decode_start(text: str) -> int:
    """Returns the start time of a path in Unix microseconds."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_STARTED_DIGITS
    if not is_number or int(text) > MAX_STARTED_US:
        raise FillPathError("expected Unix time in microseconds", "stamp", text)
    return int(text)


def _decode_hops(text: str) -> tuple[str, ...]:
    """Returns the hops of a path: the names of nodes, without duplicates."""
    names = tuple(text.split("~"))
    if not all(map(NODE_NAME.fullmatch, names)):
        raise FillPathError("expected names of nodes separated by ~", "hops", text)
    if len(set(names)) < len(names):
        raise FillPathError("a node is listed twice", "hops")
    return names


def _signature(key: SigningKey, signed: str, context: str) -> str:
    message = f"{len(signed)}:{signed}{context}".encode()
    return hmac.new(key.secret, message, hashlib.sha256).hexdigest()[:MAC_HEX_DIGIT_COUNT]
