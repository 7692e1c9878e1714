"""The trail of a fill: which nodes it has passed, signed, so that a loop is found where it closes.

A path vector, as CDN-Loop (RFC 8586) has it for HTTP, but bound to one request, bounded and authenticated: a
node that finds itself stops the fill there. A count of hops alone would let a loop of two run round to the
bound, with a fill at each step. The trail also carries a stamp, the time and node at which it began: of two
fills that would wait for each other, the older one waits (wait-die, Rosenkrantz et al., 1978).

On the wire, a word without spaces, commas or equals signs: KEY:STAMP:NODE~NODE:MAC
"""

import hashlib
import hmac
import re
from collections.abc import Iterable
from dataclasses import dataclass

from paddlequay.hierarchy.topology import NAME

MAX_HOPS = 12  # twice the deepest shape: a fill may go to a peer at every level
TEXT_MOST = 1024
MAC_HEX = 32  # 128 bits of HMAC-SHA256 (RFC 2104; truncation: RFC 2104, section 5)
STAMP_MOST = (1 << 63) - 1
UNSIGNED = "-"
KEY_ID = re.compile(r"[A-Za-z0-9_-]{1,16}")
SECRET_LEAST = 16


class FillPathError(ValueError):
    """A trail that cannot be read, or that nobody who has the key has signed."""


@dataclass(frozen=True, slots=True)
class FillPath:
    """Hops from the first on; `stamp` is the Unix microsecond at which the first began its fill."""

    stamp: int
    hops: tuple[str, ...]

    @property
    def last(self) -> str:
        return self.hops[-1]

    def older(self, other: "FillPath") -> bool:
        """Whether this one began before another; the first node decides where the time is the same."""
        return (self.stamp, self.hops[0]) < (other.stamp, other.hops[0])

    def through(self, node: str) -> "FillPath":
        """This trail, one hop on."""
        return FillPath(self.stamp, (*self.hops, node))


@dataclass(frozen=True, slots=True)
class SigningKey:
    """A secret shared by all nodes. It signs from `since` on and is believed until `until` (Unix seconds)."""

    id: str
    secret: bytes
    since: float = 0.0
    until: float = float("inf")


class Keyring:
    """Keys that overlap: the latest that holds signs, each that is not over is believed.

    A key is believed before it signs, so that nodes whose clocks differ, or which have read their keys later,
    agree while one follows another. Without any key trails are not signed and none that is signed is
    believed.
    """

    def __init__(self, keys: Iterable[SigningKey] = ()) -> None:
        self.keys = {key.id: key for key in keys}
        for key in self.keys.values():
            if not KEY_ID.fullmatch(key.id):
                raise FillPathError(f"key {key.id[:20]!r}: expected 1 to 16 letters, digits, - and _")
            if len(key.secret) < SECRET_LEAST:
                raise FillPathError(f"key {key.id}: expected {SECRET_LEAST} bytes or more")
            if not key.since < key.until:
                raise FillPathError(f"key {key.id}: is over before it begins")

    def signer(self, now: float) -> SigningKey | None:
        """The key that signs now; the one that began last, or the first to come where none has begun."""
        alive = [key for key in self.keys.values() if now < key.until]
        begun = [key for key in alive if key.since <= now]
        if begun:
            return max(begun, key=lambda key: (key.since, key.id))
        return min(alive, key=lambda key: (key.since, key.id), default=None)

    def write(self, trail: FillPath, about: str, now: float) -> str:
        """The trail as a word, signed for one request; `about` tells that request from all others."""
        key = self.signer(now)
        if key is None and self.keys:
            raise FillPathError("all keys are over")
        head = f"{UNSIGNED if key is None else key.id}:{trail.stamp}:{'~'.join(trail.hops)}"
        return f"{head}:{UNSIGNED if key is None else sign(key, head, about)}"

    def read(self, text: str, about: str, now: float) -> FillPath:
        """A trail from a word, where its signature holds for this request; TrailError otherwise."""
        if len(text) > TEXT_MOST:
            raise FillPathError(f"{len(text)} characters, more than {TEXT_MOST}")
        parts = text.split(":")
        if len(parts) != 4:
            raise FillPathError(f"expected KEY:STAMP:HOPS:MAC, got {text[:60]!r}")
        id, stamp, hops, mac = parts
        if not (stamp.isascii() and stamp.isdigit() and len(stamp) < 20 and int(stamp) <= STAMP_MOST):
            raise FillPathError(f"stamp: expected microseconds, got {stamp[:30]!r}")
        names = tuple(hops.split("~"))
        if not all(map(NAME.fullmatch, names)):
            raise FillPathError(f"hops: expected names, got {hops[:60]!r}")
        if len(set(names)) < len(names):
            raise FillPathError("hops: a node stands there twice")
        if self.keys:
            key = self.keys.get(id)
            if key is None or now >= key.until:
                raise FillPathError(f"key {id[:20]!r} is not known, or is over")
            if not hmac.compare_digest(sign(key, f"{id}:{stamp}:{hops}", about), mac):
                raise FillPathError("the signature does not hold")
        elif id != UNSIGNED or mac != UNSIGNED:
            raise FillPathError("signed, and no key is known here")
        return FillPath(int(stamp), names)


def sign(key: SigningKey, head: str, about: str) -> str:
    message = f"{len(head)}:{head}{about}".encode()
    return hmac.new(key.secret, message, hashlib.sha256).hexdigest()[:MAC_HEX]
