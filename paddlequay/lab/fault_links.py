"""Relays on loopback that forward datagrams between routers, and can lose, delay and repeat them.

Each router gets the addresses of relay sockets in place of its peers' addresses: one socket for each peer,
and one for all of them. A datagram that router i sends to its socket for router j leaves through j's socket
for router i, so that j sees the sender address that its own `peers` setting names. Faults are set for each
direction separately and drawn from a seed. The forwarded datagrams are counted by direction, for the audit.
"""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, cast

Address = tuple[str, int]
Direction = tuple[int, int]  # the numbers of the sender and the receiver
ALL_ROUTERS = -1  # the number of the socket through which a router sends to all others


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """What happens to a datagram on its way: probabilities from 0 to 1, times in seconds.

    `jitter` is the upper bound of an evenly distributed further delay; `repeat` is the probability that a
    datagram arrives twice; with `cut` none arrives.
    """

    drop: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    repeat: float = 0.0
    cut: bool = False


NO_FAULTS = LinkConditions()


class RelaySocket(asyncio.DatagramProtocol):
    """The socket by which router `near` reaches router `far`, or all others if that is `ALL_ROUTERS`."""

    def __init__(self, links: "FaultLinks", near: int, far: int) -> None:
        self.links = links
        self.near = near
        self.far = far
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, by which datagrams are sent."""
        # A cast, since some datagram transports of Python 3.11 do not derive from `DatagramTransport`.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Passes a datagram on to the link."""
        self.links.on_datagram(self.near, self.far, data, tuple(address[:2]))

    def error_received(self, _: Exception) -> None:
        """Counts a datagram that the port of a stopped router refused."""
        self.links.refused += 1


class FaultLinks:
    """The relay sockets between routers, and the conditions in each direction.

    Args:
        size: How many routers there are.
        seed: The seed of all random draws.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.random = random.Random(seed)
        self.relays: dict[tuple[int, int], RelaySocket] = {}
        self.router_addresses: dict[int, Address] = {}  # by router number
        self.conditions: dict[Direction, LinkConditions] = {}
        self.passed: dict[Direction, int] = {}
        # Bytes sent by each router; a datagram to several receivers counts once for each.
        self.bytes: dict[int, int] = dict.fromkeys(range(size), 0)
        self.lost = 0
        self.refused = 0
        self.unknown_senders = 0  # datagrams that did not come from the router of the socket

    async def up(self, router_addresses: Iterable[Address]) -> None:
        """Opens the sockets; `router_addresses` are the routers' own addresses, by number."""
        self.router_addresses = dict(enumerate(router_addresses))
        loop = asyncio.get_running_loop()
        for near in range(self.size):
            for far in (*range(self.size), ALL_ROUTERS):
                make = partial(RelaySocket, self, near, far)
                _, relay = await loop.create_datagram_endpoint(make, local_addr=("127.0.0.1", 0))
                self.relays[near, far] = relay

    def down(self) -> None:
        """Closes the sockets."""
        for relay in self.relays.values():
            if relay.transport is not None:
                relay.transport.close()

    def address(self, near: int, far: int) -> str:
        """Returns the address by which router `near` reaches `far`, or with `ALL_ROUTERS` all others."""
        transport = self.relays[near, far].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def config(self, number: int) -> dict[str, Any]:
        """Returns the settings of a router's peers in the platform's configuration."""
        host, port = self.router_addresses[number]
        return {
            "peer_listen": f"{host}:{port}",
            "peers": [self.address(number, far) for far in range(self.size)],
            "peers_all": self.address(number, ALL_ROUTERS),
        }

    def on_datagram(self, near: int, far: int, data: bytes, address: Address) -> None:
        """Forwards a datagram from router `near` for `far`; counts one from any other sender."""
        if address != self.router_addresses[near]:
            self.unknown_senders += 1
            return
        for receiver in range(self.size) if far == ALL_ROUTERS else (far,):
            if receiver != near:
                self.bytes[near] += len(data)
                self.send(near, receiver, data)

    def send(self, sender: int, receiver: int, data: bytes) -> None:
        """Forwards, loses, delays or repeats a datagram according to the conditions of its direction."""
        conditions = self.conditions.get((sender, receiver), NO_FAULTS)
        if conditions.cut or self.random.random() < conditions.drop:
            self.lost += 1
            return
        for _ in range(1 + (self.random.random() < conditions.repeat)):
            wait = conditions.delay + self.random.random() * conditions.jitter
            if wait > 0.0:
                asyncio.get_running_loop().call_later(wait, self.arrive, sender, receiver, data)
            else:
                self.arrive(sender, receiver, data)

    def arrive(self, sender: int, receiver: int, data: bytes) -> None:
        """Delivers a datagram to its receiver, from the receiver's socket for the sender."""
        transport = self.relays[receiver, sender].transport
        if transport is not None and not transport.is_closing():
            self.passed[sender, receiver] = self.passed.get((sender, receiver), 0) + 1
            transport.sendto(data, self.router_addresses[receiver])

    def set(self, directions: Iterable[Direction], **changed: Any) -> None:
        """Changes the conditions in some directions; `changed` are fields of `LinkConditions`."""
        for direction in directions:
            self.conditions[direction] = replace(self.conditions.get(direction, NO_FAULTS), **changed)

    def one_way(self, sender: int, receivers: Iterable[int]) -> None:
        """Cuts the links from a router to some others; the opposite direction still works."""
        self.set(((sender, receiver) for receiver in receivers), cut=True)

    def part(self, *groups: Iterable[int]) -> None:
        """Partitions the routers into groups; one that is in no group is alone."""
        group_of = {number: index for index, group in enumerate(groups) for number in group}
        for near in range(self.size):
            for far in range(self.size):
                is_alone = near not in group_of or far not in group_of
                is_apart = is_alone or group_of[near] != group_of[far]
                self.set([(near, far)], cut=is_apart and near != far)

    def heal(self) -> None:
        """Removes all faults."""
        self.conditions.clear()
