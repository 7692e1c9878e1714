"""A server of numbered events on loopback: the endpoint list of routers, or the topology feed of tiers."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

HEARTBEAT_INTERVAL_S = 0.9
POLL_INTERVAL_S = 0.3
ANY_ADDRESS = ("127.0.0.1", 0)


class EventStreamServer:
    """Writes numbered lines of JSON to each connection that sends `after N`.

    Each connection gets an event after a delay of its own, so that nodes act on different versions meanwhile.

    Args:
        delay: Returns the delay of the next event on a connection, in seconds.
    """

    def __init__(self, delay: Callable[[], float] = lambda: 0.0) -> None:
        self.events: list[dict[str, Any]] = []
        self.delay = delay
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address: tuple[str, int] = ANY_ADDRESS
        self.changed = asyncio.Event()  # of the next event; set once and then replaced

    async def start(self) -> None:
        """Listens on a free port from now on."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def publish(self, **event: Any) -> None:
        """Appends an event, with the next number."""
        self.events.append({"no": len(self.events) + 1, **event})
        self.changed.set()
        self.changed = asyncio.Event()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            words = (await reader.readline()).split()
            await self._write_events(int(words[1]), writer)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _write_events(self, last: int, writer: asyncio.StreamWriter) -> None:
        """Writes the events after `last` as they come, and heartbeats, until the connection closes."""
        heartbeat_at = time.monotonic()
        while not writer.is_closing():
            while last < len(self.events):
                await asyncio.sleep(self.delay())
                writer.write(json.dumps(self.events[last]).encode() + b"\n")
                last += 1
            if time.monotonic() - heartbeat_at > HEARTBEAT_INTERVAL_S:
                heartbeat_at = time.monotonic()
                writer.write(json.dumps({"no": last}).encode() + b"\n")
            await writer.drain()
            if last >= len(self.events):
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), POLL_INTERVAL_S)
