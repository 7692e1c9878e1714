"""The pool and its connections in the test's own event loop, with peers whose bytes the test writes itself.

Nothing is read by the pool until the test yields: what lies in a socket at a given moment is in its hands.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.net.scheduler import LoopScheduler
from paddlequay.net.upstreams.connection import UpstreamConnection
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.protocol.endpoint_watch import Endpoint
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import ClientRequest, FinalAnswer, PendingRequest
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.routing.interface import Idempotency, Member, MemberState, RequestClass, RoutingSettings

WAIT = 5.0
KINDS = (
    RequestClass("video", latency_objective=0.5, deadline=2.0, idempotency=Idempotency.IDEMPOTENT),
    RequestClass(
        "charge",
        latency_objective=0.5,
        deadline=2.0,
        idempotency=Idempotency.NON_IDEMPOTENT,
        uncacheable=True,
    ),
    RequestClass(
        "page",
        latency_objective=0.5,
        deadline=2.0,
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        dedup_scope="all",
        dedup_window=1.0,
    ),
)


class Peer:
    """Listens as a cache; the test accepts, reads and writes in the turn of its choice."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address: tuple[str, int] = self.listener.getsockname()[:2]
        self.connections: list[socket.socket] = []
        self.seen: dict[socket.socket, bytes] = {}

    def accept(self) -> socket.socket | None:
        """The next connection that has come up, if there is one."""
        with contextlib.suppress(BlockingIOError):
            connection = self.listener.accept()[0]
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.append(connection)
            return connection
        return None

    def close(self) -> None:
        for each in (self.listener, *self.connections):
            each.close()


def came(connection: socket.socket) -> bytes:
    """What has come on a connection and was not read yet."""
    data = b""
    with contextlib.suppress(BlockingIOError):
        while more := connection.recv(65536):
            data += more
    return data


class Rig:
    """A router's exchange and pool with one cache, a parent and the origin."""

    def __init__(
        self, folder: Path, kinds: tuple[RequestClass, ...], limits: Limits, **settings: Any
    ) -> None:
        told = RoutingSettings(
            zone="here",
            classes=kinds,
            parent_kind="parent",
            origin_kind="origin",
            bypass_allowed=True,
            **({"can_cancel": True} | settings),
        )
        self.counters, self.limits = Counters(), limits
        shares = ProcessQuotas(limits)
        self.exchange = Exchange(
            Router(told, 1),
            OperatorState(folder / "orders"),
            shares,
            limits,
            LoopScheduler(asyncio.get_running_loop()),
            self.counters,
        )
        self.pool = ConnectionPool(self.exchange, shares, limits, self.counters)
        self.peers = {"box": Peer(), "aimag": Peer(), "store": Peer()}
        self.listed = {
            name: Endpoint(Member(name, zone, kind), self.peers[name].address)
            for name, zone, kind in (
                ("box", "here", "box"),
                ("aimag", "hub", "parent"),
                ("store", "hub", "origin"),
            )
        }
        self.replies: list[FinalAnswer] = []
        self.change(*self.listed.values(), full=True)

    def change(self, *listed: Endpoint, full: bool = False) -> None:
        """News of the list, as the bulletin hands it on."""
        self.pool.update_endpoints(listed, full)
        self.exchange.update_members(tuple(each.member for each in listed), full)

    def entry(self, name: str, peer: Peer | None = None, **also: Any) -> Endpoint:
        """An entry changed in some respects."""
        old = self.listed[name].member
        fields = {"zone": old.zone, "kind": old.kind, "state": MemberState.READY} | also
        return Endpoint(Member(name, **fields), (peer or self.peers[name]).address)

    def ask(self, id: str, kind: str = "video", ttl: float = 2.0, **also: Any) -> PendingRequest | None:
        key = sum(id.encode())
        return self.exchange.submit(
            ClientRequest(id, kind, ttl, f"{key:016x}", key, 0, None, **also), self.replies.append
        )

    async def until(self, check: Callable[[], Any], what: str) -> Any:
        """Let the loop run until a condition holds, and give what it found."""
        end = asyncio.get_running_loop().time() + WAIT
        while asyncio.get_running_loop().time() < end:
            if found := check():
                return found
            await asyncio.sleep(0.001)
        raise AssertionError(f"not within {WAIT} s: {what}")

    async def asked(self, name: str, id: str) -> socket.socket:
        """The connection on which a request has come to a peer, whole."""
        peer = self.peers[name]

        def found() -> socket.socket | None:
            peer.accept()
            for connection in peer.connections:
                with contextlib.suppress(OSError):
                    peer.seen[connection] = peer.seen.get(connection, b"") + came(connection)
                if f"ASK {id} ".encode() in peer.seen.get(connection, b""):
                    return connection
            return None

        connection: socket.socket = await self.until(found, f"{id} has come to {name}")
        return connection

    def only(self, name: str = "box") -> UpstreamConnection:
        """The one connection to a member."""
        (connection,) = self.pool.instances[name].connections
        return connection

    async def served(self, name: str, id: str, kind: str = "video") -> socket.socket:
        """Have a request answered, and give the connection, idle again."""
        before = len(self.replies)
        self.ask(id, kind)
        connection = await self.asked(name, id)
        connection.sendall(f"{id} HIT - 1\r\nx\r\n".encode())
        await self.until(lambda: len(self.replies) > before, f"{id} is answered")
        return connection

    async def close(self) -> None:
        for connection in self.pool.connections():
            connection.stream.close()
        tasks = list(self.pool.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for peer in self.peers.values():
            peer.close()


def play(
    folder: Path,
    scene: Callable[[Rig], Any],
    kinds: tuple[RequestClass, ...] = KINDS,
    limits: Limits | None = None,
    **settings: Any,
) -> None:
    """Run a scene in an event loop of its own."""

    async def run() -> None:
        rig = Rig(folder, kinds, limits or Limits(), **settings)
        try:
            await asyncio.wait_for(scene(rig), 4 * WAIT)
        finally:
            await rig.close()

    asyncio.run(run())
