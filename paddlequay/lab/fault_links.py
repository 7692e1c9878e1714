"""A fault link on loopback between routers: every datagram from one to another passes it, and may not arrive.

Each router is given, as its peers' addresses, sockets of the link: one for each router, and one for all.
What comes to the socket that stands for router j, from router i, leaves by the socket that stands for i
towards j, so that senders keep the addresses which `peers` names. Faults are set for each direction apart and
drawn from a seed; what passes is counted by direction, as the auditor's own record.
"""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, cast

Address = tuple[str, int]
ALL_ROUTERS = -1  # the number under which a router's socket for all others stands


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """What happens to a datagram on its way: chances in [0, 1], times in seconds."""

    drop: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # added evenly: late ones overtake nobody, early ones do
    repeat: float = 0.0
    cut: bool = False


NO_FAULTS = LinkConditions()


class RelaySocket(asyncio.DatagramProtocol):
    """The socket that stands for one router (or for all) towards another."""

    def __init__(self, links: "FaultLinks", near: int, far: int) -> None:
        self.links, self.near, self.far = links, near, far
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # No `isinstance`: of Python 3.11's own transports for datagrams not all are of that class.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Any) -> None:
        self.links.came(self.near, self.far, data, tuple(address[:2]))

    def error_received(self, _: Exception) -> None:
        self.links.refused += 1  # a router that is down: its port refuses


class FaultLinks:
    """The sockets between `size` routers, and what the weather on each way is."""

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.random = random.Random(seed)
        self.stands: dict[tuple[int, int], RelaySocket] = {}
        self.homes: dict[int, Address] = {}  # where routers listen
        self.weather: dict[tuple[int, int], LinkConditions] = {}
        self.usual = NO_FAULTS
        self.passed: dict[tuple[int, int], int] = {}
        self.bytes: dict[int, int] = dict.fromkeys(range(size), 0)  # sent by each, for each receiver
        self.lost = self.refused = self.strange = 0

    async def up(self, homes: Iterable[Address]) -> None:
        """Open the sockets; `homes` are the routers' own addresses, by number."""
        self.homes = dict(enumerate(homes))
        loop = asyncio.get_running_loop()
        for near in range(self.size):
            for far in (*range(self.size), ALL_ROUTERS):
                make = partial(RelaySocket, self, near, far)
                self.stands[near, far] = (
                    await loop.create_datagram_endpoint(make, local_addr=("127.0.0.1", 0))
                )[1]

    def address(self, near: int, far: int) -> str:
        """Where router `near` finds `far`, or with `ALL_ROUTERS` all others."""
        transport = self.stands[near, far].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def config(self, number: int) -> dict[str, Any]:
        """What the platform's configuration tells a router of its peers."""
        host, port = self.homes[number]
        return {
            "peer_listen": f"{host}:{port}",
            "peers": [self.address(number, far) for far in range(self.size)],
            "peers_all": self.address(number, ALL_ROUTERS),
        }

    def came(self, near: int, far: int, data: bytes, address: Address) -> None:
        """A datagram from router `near` for `far`; whoever else sends here is no router."""
        if address != self.homes[near]:
            self.strange += 1
            return
        for to in range(self.size) if far == ALL_ROUTERS else (far,):
            if to != near:
                self.bytes[near] += len(data)
                self.send(near, to, data)

    def send(self, near: int, far: int, data: bytes) -> None:
        weather = self.weather.get((near, far), self.usual)
        if weather.cut or self.random.random() < weather.drop:
            self.lost += 1
            return
        for _ in range(1 + (self.random.random() < weather.repeat)):
            wait = weather.delay + self.random.random() * weather.jitter
            if wait > 0.0:
                asyncio.get_running_loop().call_later(wait, self.arrive, near, far, data)
            else:
                self.arrive(near, far, data)

    def arrive(self, near: int, far: int, data: bytes) -> None:
        # By the socket that stands for the sender towards the receiver: the receiver sees that address.
        transport = self.stands[far, near].transport
        if transport is not None and not transport.is_closing():
            self.passed[near, far] = self.passed.get((near, far), 0) + 1
            transport.sendto(data, self.homes[far])

    # --- faults ---

    def set(self, ways: Iterable[tuple[int, int]], **change: Any) -> None:
        """Change the weather on some ways, each a pair of sender and receiver."""
        for way in ways:
            self.weather[way] = replace(self.weather.get(way, self.usual), **change)

    def one_way(self, sender: int, receivers: Iterable[int]) -> None:
        """What a router sends no longer arrives at some others; what they send does."""
        self.set(((sender, far) for far in receivers), cut=True)

    def part(self, *groups: Iterable[int]) -> None:
        """Cut the routers into groups; who is in none is alone."""
        place = {number: n for n, group in enumerate(groups) for number in group}
        for near in range(self.size):
            for far in range(self.size):
                apart = near not in place or far not in place or place[near] != place[far]
                self.set([(near, far)], cut=apart and near != far)

    def heal(self) -> None:
        """Every way is as usual again."""
        self.weather.clear()

    def down(self) -> None:
        for stand in self.stands.values():
            if stand.transport is not None:
                stand.transport.close()
