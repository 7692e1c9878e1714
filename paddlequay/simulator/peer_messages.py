"""Carries the cluster's datagrams as base64 text in messages between simulated instances.

The simulator tells the sender's number with each message; on sockets it follows from the sender's address.
"""

import base64
import binascii
from collections import Counter
from dataclasses import dataclass

from paddlequay.cluster.outbox import Outbox
from paddlequay.cluster.types import Peer
from paddlequay.cluster.wire import MAX_DATAGRAM_BYTES, ReceivedDatagram, RejectReason, Wire

ALL_PEERS = "*"
EMPTY_CONTENT = "-"
MAX_CONTENT_CHARACTERS = 4 * -(-MAX_DATAGRAM_BYTES // 3)  # base64 of the longest datagram


@dataclass(frozen=True, slots=True)
class Post:
    """A message for the simulator to deliver: `peer` is a router number or `*` for all, `content` base64."""

    peer: str
    content: str


def encode_content(data: bytes) -> str:
    """Returns the message content for a datagram."""
    return base64.b64encode(data).decode() or EMPTY_CONTENT


def decode_content(content: str) -> bytes:
    """Returns the datagram in a message content. Raises `ValueError` if it is not padded base64."""
    if content == EMPTY_CONTENT:
        return b""
    try:
        return base64.b64decode(content, validate=True)
    except binascii.Error as error:
        raise ValueError(str(error)) from error


class SimulatorTransport:
    """Carries one instance's datagrams between its outbox and the simulator."""

    def __init__(self, wire: Wire, outbox: Outbox) -> None:
        self.wire = wire
        self.outbox = outbox
        self.rejected: Counter[RejectReason] = Counter()

    def receive(self, sender: Peer, content: str) -> ReceivedDatagram | None:
        """Returns the datagram of a message; counts a rejected one by its reason and returns None."""
        received = self._read(sender, content)
        if isinstance(received, RejectReason):
            self.rejected[received] += 1
            return None
        return received

    def _read(self, sender: Peer, content: str) -> ReceivedDatagram | RejectReason:
        if len(content) > MAX_CONTENT_CHARACTERS:
            return RejectReason.OVERSIZED
        try:
            data = decode_content(content)
        except ValueError:
            return RejectReason.MALFORMED
        return self.wire.read(data, sender)

    def take_posts(self, now: float) -> list[Post]:
        """Returns the messages to send now."""
        return [
            Post(ALL_PEERS if datagram.to is None else str(datagram.to), encode_content(datagram.data))
            for datagram in self.outbox.take(now)
        ]
