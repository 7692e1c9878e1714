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

    async def received(self, number: int) -> tuple[bytes, str]:
        loop = asyncio.get_running_loop()
        data, (host, port) = await asyncio.wait_for(loop.sock_recvfrom(self.sockets[number], 512), 2.0)
        return data, f"{host}:{port}"

    async def send_and_lose(self, links: FaultLinks, near: int, far: int, lost: int) -> None:
        """Send a datagram, and wait until the link has counted it as lost."""
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


def test_a_datagram_arrives_from_the_address_that_its_receiver_knows_the_sender_by() -> None:
    async def check(links: FaultLinks, ends: Ends) -> None:
        ends.send(links, 0, 1, b"hello")
        assert await ends.received(1) == (b"hello", links.address(1, 0))
        ends.send(links, 2, ALL_ROUTERS, b"all")
        assert await ends.received(0) == (b"all", links.address(0, 2))
        assert await ends.received(1) == (b"all", links.address(1, 2))
        assert links.bytes == {0: 5, 1: 0, 2: 6}

    play(check)


def test_a_one_way_cut_and_a_partition_lose_datagrams_until_they_heal() -> None:
    async def check(links: FaultLinks, ends: Ends) -> None:
        links.one_way(0, [1])
        await ends.send_and_lose(links, 0, 1, 1)
        ends.send(links, 1, 0, b"back")
        assert (await ends.received(0))[0] == b"back"
        links.part([0, 1])
        await ends.send_and_lose(links, 0, 2, 2)
        await ends.send_and_lose(links, 2, 1, 3)
        ends.send(links, 0, 1, b"within")
        assert (await ends.received(1))[0] == b"within"
        links.heal()
        ends.send(links, 2, 1, b"healed")
        assert (await ends.received(1))[0] == b"healed"

    play(check)


def test_datagrams_are_repeated_and_delayed_and_unknown_senders_are_counted() -> None:
    async def check(links: FaultLinks, ends: Ends) -> None:
        links.set([(0, 1)], repeat=1.0, delay=0.03)
        links.set([(2, 1)], delay=0.0)
        ends.send(links, 0, 1, b"slow")
        ends.send(links, 2, 1, b"fast")
        assert [(await ends.received(1))[0] for _ in range(3)] == [b"fast", b"slow", b"slow"]
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        host, port = links.address(0, 1).split(":")
        stranger.sendto(b"who?", (host, int(port)))
        while not links.strange:
            await asyncio.sleep(0.005)
        stranger.close()

    play(check)
