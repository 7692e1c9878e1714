"""The same datagrams on the simulator's wire: base64 text in its messages between instances.

There the number of a sender comes with the message, as on sockets it follows from the sender's address.
"""

import base64
import binascii
from collections import Counter
from dataclasses import dataclass

from paddlequay.cluster.outbox import Outbox
from paddlequay.cluster.types import Peer
from paddlequay.cluster.wire import DATAGRAM_MOST, Heard, Refusal, Wire

ALL = "*"
EMPTY = "-"
CONTENT_MOST = 4 * -(-DATAGRAM_MOST // 3)  # characters


@dataclass(frozen=True, slots=True)
class Post:
    """What an instance asks the simulator to carry: `peer` a number or `*`, `content` base64."""

    peer: str
    content: str


def to_content(data: bytes) -> str:
    return base64.b64encode(data).decode() or EMPTY


def from_content(content: str) -> bytes:
    """Raises `ValueError` for what is not base64 with its padding."""
    if content == EMPTY:
        return b""
    try:
        return base64.b64decode(content, validate=True)
    except binascii.Error as error:
        raise ValueError(str(error)) from error


class SimWire:
    """Between the outbox and the wire's ends of one instance, and the simulator's messages."""

    def __init__(self, wire: Wire, outbox: Outbox) -> None:
        self.wire, self.outbox = wire, outbox
        self.refused: Counter[Refusal] = Counter()

    def note_from(self, sender: Peer, content: str) -> Heard | None:
        """What a message says; None, and counted by its reason, where it is refused."""
        told: Heard | Refusal
        try:
            told = Refusal.OVERSIZED if len(content) > CONTENT_MOST else self.read(sender, content)
        except ValueError:
            told = Refusal.MALFORMED
        if isinstance(told, Heard):
            return told
        self.refused[told] += 1
        return None

    def read(self, sender: Peer, content: str) -> Heard | Refusal:
        return self.wire.read(from_content(content), sender)

    def posts(self, now: float) -> list[Post]:
        """What is to be sent now."""
        return [
            Post(ALL if packet.to is None else str(packet.to), to_content(packet.data))
            for packet in self.outbox.take(now)
        ]
