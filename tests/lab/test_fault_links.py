"""The fault link between routers: addresses kept, faults by direction, counts."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from paddlequay.lab.fault_links import ALL_ROUTERS, FaultLinks


class Ends:
    """Plain sockets in place of routers."""

    def __init__(self, size: int) -> None:
        self.sockets = []
        for _ in range(size):
            end = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            end.bind(("127.0.0.1", 0))
            end.setblocking(False)
            self.sockets.append(end)

    def homes(self) -> list[tuple[str, int]]:
        return [end.getsockname() for end in self.sockets]

    def send(self, links: FaultLinks, near: int, far: int, data: bytes) -> None:
        host, port = links.address(near, far).split(":")
        self.sockets[near].sendto(data, (host, int(port)))

    async def came(self, number: int) -> tuple[bytes, str]:
        loop = asyncio.get_running_loop()
        data, (host, port) = await asyncio.wait_for(loop.sock_recvfrom(self.sockets[number], 512), 2.0)
        return data, f"{host}:{port}"

    async def nothing(self, links: FaultLinks, near: int, far: int, lost: int) -> None:
        """What was sent is known to be lost, and did not arrive before what follows it."""
        self.send(links, near, far, b"lost")
        while links.lost < lost:
            await asyncio.sleep(0.005)


def play(check: Callable[[FaultLinks, Ends], Awaitable[None]]) -> None:
    async def run() -> None:
        links, ends = FaultLinks(3, 1), Ends(3)
        await links.up(ends.homes())
        try:
            await check(links, ends)
        finally:
            links.down()
            for end in ends.sockets:
                end.close()

    asyncio.run(run())


def test_a_datagram_arrives_from_the_address_that_peers_names_for_its_sender() -> None:
    async def check(links: FaultLinks, ends: Ends) -> None:
        ends.send(links, 0, 1, b"hello")
        assert await ends.came(1) == (b"hello", links.address(1, 0))
        ends.send(links, 2, ALL_ROUTERS, b"all")
        assert await ends.came(0) == (b"all", links.address(0, 2))
        assert await ends.came(1) == (b"all", links.address(1, 2))
        assert links.bytes == {0: 5, 1: 0, 2: 6}

    play(check)


def test_a_one_way_cut_a_partition_and_a_heal() -> None:
    async def check(links: FaultLinks, ends: Ends) -> None:
        links.one_way(0, [1])
        await ends.nothing(links, 0, 1, 1)
        ends.send(links, 1, 0, b"back")
        assert (await ends.came(0))[0] == b"back"
        links.part([0, 1])
        await ends.nothing(links, 0, 2, 2)
        await ends.nothing(links, 2, 1, 3)
        ends.send(links, 0, 1, b"within")
        assert (await ends.came(1))[0] == b"within"
        links.heal()
        ends.send(links, 2, 1, b"healed")
        assert (await ends.came(1))[0] == b"healed"

    play(check)


def test_repeats_delays_and_strangers() -> None:
    async def check(links: FaultLinks, ends: Ends) -> None:
        links.set([(0, 1)], repeat=1.0, delay=0.03)
        links.set([(2, 1)], delay=0.0)
        ends.send(links, 0, 1, b"slow")
        ends.send(links, 2, 1, b"fast")
        assert [(await ends.came(1))[0] for _ in range(3)] == [b"fast", b"slow", b"slow"]
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        host, port = links.address(0, 1).split(":")
        stranger.sendto(b"who?", (host, int(port)))
        while not links.strange:
            await asyncio.sleep(0.005)
        stranger.close()

    play(check)
