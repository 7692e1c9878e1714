"""The path of a fill: the nodes that it has passed, signed, so that a loop is detected where it closes.

A path vector as CDN-Loop (RFC 8586) defines it for HTTP, but bound to one request, bounded in length and
authenticated. A node that finds itself in the path rejects the fill. A hop count alone would let a loop of
two nodes run up to the bound, with one fill at each step. The path also carries the time and node at which it
began: of two fills that would wait for each other only the older one may wait (wait-die, Rosenkrantz et al.,
1978).

On the wire a path is one word without spaces, commas or equals signs, `WIRE_FORMAT`.
"""

import hashlib
import hmac
import re
from collections.abc import Iterable
from dataclasses import dataclass

from paddlequay.hierarchy.errors import FillPathError
from paddlequay.hierarchy.topology import NODE_NAME

MAX_HOPS = 12  # twice the deepest topology: a fill may go to a peer at every level
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
    """The nodes that a fill has passed, the first one first.

    `started_us` is the Unix time in microseconds at which the first node began its fill.
    """

    started_us: int
    hops: tuple[str, ...]

    @property
    def last_hop(self) -> str:
        """The node that sent the request on."""
        return self.hops[-1]

    def is_older_than(self, other: "FillPath") -> bool:
        """Returns whether this fill began before another; the first node decides between equal times."""
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
        """Raises `FillPathError` where the key cannot be used."""
        if not KEY_ID.fullmatch(self.id):
            raise FillPathError("expected 1 to 16 letters, digits, - and _", f"key {self.id[:20]!r}")
        if len(self.secret) < MIN_SECRET_BYTES:
            raise FillPathError(f"expected {MIN_SECRET_BYTES} bytes or more", f"key {self.id}")
        if not self.signs_from < self.valid_until:
            raise FillPathError("expires before it begins to sign", f"key {self.id}")


class Keyring:
    """Signing keys with overlapping lifetimes: the latest one signs, every valid one is accepted.

    A key is accepted before it signs, so that nodes whose clocks differ, or which have read their keys later,
    agree during a key change. Without any key paths are not signed, and no signed one is accepted.

    Raises:
        FillPathError: One of the keys cannot be used.
    """

    def __init__(self, keys: Iterable[SigningKey] = ()) -> None:
        self.keys = {key.id: key for key in keys}
        for key in self.keys.values():
            key.check()

    def signing_key(self, now: float) -> SigningKey | None:
        """Returns the key that signs at `now` (Unix seconds): the latest one that has begun to sign.

        Where none has begun yet, it is the one that begins first; None where all have expired.
        """
        valid = [key for key in self.keys.values() if now < key.valid_until]
        begun = [key for key in valid if key.signs_from <= now]
        if begun:
            return max(begun, key=_signing_order)
        return min(valid, key=_signing_order, default=None)

    def encode(self, path: FillPath, context: str, now: float) -> str:
        """Returns the path as a word, signed for one request.

        Args:
            path: The path.
            context: Text that tells the request from all others; the signature covers it.
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
        """Returns the path that a word holds, if its signature is valid for this request.

        Args:
            text: The word.
            context: Text that tells the request from all others.
            now: The time in Unix seconds.

        Raises:
            FillPathError: The word cannot be read, or its signature is not valid.
        """
        if len(text) > MAX_TEXT_CHARS:
            raise FillPathError(f"{len(text)} characters, more than {MAX_TEXT_CHARS}")
        parts = text.split(":")
        if len(parts) != TEXT_PARTS_COUNT:
            raise FillPathError(f"expected {WIRE_FORMAT}", value=text)
        key_id, started, hops, mac = parts
        path = FillPath(_decode_start(started), _decode_hops(hops))
        self._check_signature(key_id, f"{key_id}:{started}:{hops}", mac, context, now)
        return path

    def _check_signature(self, key_id: str, signed: str, mac: str, context: str, now: float) -> None:
        """Raises `FillPathError` unless the signature holds, or unless it is absent where no key is known."""
        if not self.keys:
            if key_id != UNSIGNED or mac != UNSIGNED:
                raise FillPathError("signed, and no key is known here")
            return
        key = self.keys.get(key_id)
        if key is None or now >= key.valid_until:
            raise FillPathError("unknown or expired", f"key {key_id[:20]!r}")
        if not hmac.compare_digest(_signature(key, signed, context), mac):
            raise FillPathError("the signature is not valid")


def _signing_order(key: SigningKey) -> tuple[float, str]:
    return key.signs_from, key.id


def _decode_start(text: str) -> int:
    """Returns the start of a path in Unix microseconds."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_STARTED_DIGITS
    if not is_number or int(text) > MAX_STARTED_US:
        raise FillPathError("expected microseconds", "stamp", text)
    return int(text)


def _decode_hops(text: str) -> tuple[str, ...]:
    """Returns the hops of a path: names of nodes, each one once."""
    names = tuple(text.split("~"))
    if not all(map(NODE_NAME.fullmatch, names)):
        raise FillPathError("expected names", "hops", text)
    if len(set(names)) < len(names):
        raise FillPathError("a node is listed twice", "hops")
    return names


def _signature(key: SigningKey, signed: str, context: str) -> str:
    message = f"{len(signed)}:{signed}{context}".encode()
    return hmac.new(key.secret, message, hashlib.sha256).hexdigest()[:MAC_HEX_DIGIT_COUNT]
