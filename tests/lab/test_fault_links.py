"""Tests the relays between routers: sender addresses, faults by direction and counts."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from paddlequay.lab.fault_links import ALL_ROUTERS, FaultLinks


class RouterSockets:
    """Plain UDP sockets in place of routers."""

    def __init__(self, size: int) -> None:
        self.sockets = []
        for _ in range(size):
            router = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            router.bind(("127.0.0.1", 0))
            router.setblocking(False)
            self.sockets.append(router)

    def addresses(self) -> list[tuple[str, int]]:
        return [router.getsockname() for router in self.sockets]

    def send(self, links: FaultLinks, near: int, far: int, data: bytes) -> None:
        host, port = links.address(near, far).split(":")
        self.sockets[near].sendto(data, (host, int(port)))

    async def received(self, number: int) -> tuple[bytes, str]:
        loop = asyncio.get_running_loop()
        data, (host, port) = await asyncio.wait_for(loop.sock_recvfrom(self.sockets[number], 512), 2.0)
        return data, f"{host}:{port}"

    async def send_and_lose(self, links: FaultLinks, near: int, far: int, lost: int) -> None:
        """Sends a datagram, and waits until the links have counted `lost` lost ones."""
        self.send(links, near, far, b"lost")
        while links.lost < lost:
            await asyncio.sleep(0.005)


def run_with_links(check: Callable[[FaultLinks, RouterSockets], Awaitable[None]]) -> None:
    async def run() -> None:
        links, routers = FaultLinks(3, 1), RouterSockets(3)
        await links.up(routers.addresses())
        try:
            await check(links, routers)
        finally:
            links.down()
            for router in routers.sockets:
                router.close()

    asyncio.run(run())


def test_datagram_arrives_from_the_address_by_which_its_receiver_knows_the_sender() -> None:
    async def check(links: FaultLinks, routers: RouterSockets) -> None:
        routers.send(links, 0, 1, b"hello")
        assert await routers.received(1) == (b"hello", links.address(1, 0))
        routers.send(links, 2, ALL_ROUTERS, b"all")
        assert await routers.received(0) == (b"all", links.address(0, 2))
        assert await routers.received(1) == (b"all", links.address(1, 2))
        assert links.bytes == {0: 5, 1: 0, 2: 6}

    run_with_links(check)


def test_a_one_way_cut_and_a_partition_lose_datagrams_until_they_heal() -> None:
    async def check(links: FaultLinks, routers: RouterSockets) -> None:
        links.one_way(0, [1])
        await routers.send_and_lose(links, 0, 1, 1)
        routers.send(links, 1, 0, b"back")
        assert (await routers.received(0))[0] == b"back"
        links.part([0, 1])
        await routers.send_and_lose(links, 0, 2, 2)
        await routers.send_and_lose(links, 2, 1, 3)
        routers.send(links, 0, 1, b"within")
        assert (await routers.received(1))[0] == b"within"
        links.heal()
        routers.send(links, 2, 1, b"healed")
        assert (await routers.received(1))[0] == b"healed"

    run_with_links(check)


def test_datagrams_are_repeated_and_delayed_and_unknown_senders_are_counted() -> None:
    async def check(links: FaultLinks, routers: RouterSockets) -> None:
        links.set([(0, 1)], repeat=1.0, delay=0.03)
        links.set([(2, 1)], delay=0.0)
        routers.send(links, 0, 1, b"slow")
        routers.send(links, 2, 1, b"fast")
        assert [(await routers.received(1))[0] for _ in range(3)] == [b"fast", b"slow", b"slow"]
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        host, port = links.address(0, 1).split(":")
        stranger.sendto(b"who?", (host, int(port)))
        while not links.unknown_senders:
            await asyncio.sleep(0.005)
        stranger.close()

    run_with_links(check)
