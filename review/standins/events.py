"""The endpoint list, and the feed of a tier, which has the same form."""

import asyncio
import json
from typing import Any

from standins.record import HOST, Record, free_port


class EventStream:
    """The endpoint list, or a tier's feed: numbered events, a heartbeat each second, `after N` to resume."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.events: list[dict[str, Any]] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = free_port()

    @property
    def known(self) -> dict[str, Any]:
        """The events so far, as the configuration holds them."""
        return {"no": len(self.events), "items": list(self.events)}

    async def start(self) -> None:
        """Listens from now on; connections before that are refused."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def stop(self) -> None:
        """Closes all connections and refuses new ones; the events stay."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.close()

    def publish(self, **event: Any) -> None:
        """Adds an event and sends it to whoever is connected."""
        self.events.append({"no": len(self.events) + 1} | event)
        self.record.line(self.name, f"event {json.dumps(self.events[-1])[:300]}")
        for writer in self.writers:
            writer.write(json.dumps(self.events[-1]).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            words = (await reader.readline()).split()
            if len(words) != 2:
                return
            for event in self.events[int(words[1]) :]:
                writer.write(json.dumps(event).encode() + b"\n")
            self.writers.add(writer)
            while not writer.is_closing():
                writer.write(b"%d\n" % len(self.events))
                await writer.drain()
                await asyncio.sleep(1.0)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def listed(name: str, port: int, kind: str, zone: str, lifecycle: str = "in_service") -> dict[str, Any]:
    """Returns an entry of the endpoint list."""
    return {
        "instanceId": name,
        "hostPort": f"{HOST}:{port}",
        "zone": zone,
        "machineType": kind,
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1,
        "startedAtMs": 0,
    }
