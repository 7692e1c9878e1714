"""The platform's bulletin: numbered events for whoever writes `after N`; a tier's feed has the same form."""

import asyncio
import contextlib
import json
import time
from typing import Any

from second.record import Record


class Bulletin:
    """Tells its events to all followers.

    Args:
        name: Its name in the record.
        record: The record.
        delay_s: How long after its publication an event is told.
        first: The events that the configuration holds under `known`, which are numbered from 1.
    """

    def __init__(
        self, name: str, record: Record, delay_s: float = 0.1, first: list[Any] | None = None
    ) -> None:
        self.name = name
        self.record = record
        self.delay_s = delay_s
        self.events: list[dict[str, Any]] = []
        self.due: list[float] = []
        self.server: asyncio.Server | None = None
        self.address = ""
        self.is_up = False
        for body in first or []:
            self.publish(body, delay_s=0.0)

    def publish(self, body: dict[str, Any], delay_s: float | None = None) -> float:
        """Publishes an event; returns the Unix time at which it is told."""
        due = time.time() + (self.delay_s if delay_s is None else delay_s)
        due = max([due, *self.due[-1:]])
        self.events.append({"no": len(self.events) + 1, **body})
        self.due.append(due)
        self.record.say("published", by=self.name, told=f"{due:.3f}", event=json.dumps(self.events[-1]))
        return due

    def known(self) -> dict[str, Any]:
        """Returns all events as the configuration of a start holds them."""
        return {"no": len(self.events), "items": list(self.events)}

    async def start(self, port: int = 0) -> None:
        """Listens on a port, a free one if it is 0."""
        self.is_up = True
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def go_down(self) -> None:
        """Takes no more connections and ends those that are open."""
        assert self.server is not None
        self.is_up = False
        self.server.close()
        self.record.say("down", name=self.name)

    async def come_back(self) -> None:
        """Listens again at the same address."""
        await self.start(int(self.address.split(":")[1]))
        self.record.say("up", name=self.name)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Tells one follower each event when it is due, and its number each second."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            told = int((await reader.readline()).split()[1])
            self.record.say("follower", of=self.name, after=told)
            connected_at = time.time()
            beat_at = 0.0
            while self.is_up and not reader.at_eof():
                # An answer takes its way, too.
                is_open = time.time() >= connected_at + self.delay_s
                while is_open and told < len(self.events) and time.time() >= self.due[told]:
                    writer.write(json.dumps(self.events[told]).encode() + b"\n")
                    told += 1
                if is_open and time.time() - beat_at >= 1.0:
                    beat_at = time.time()
                    writer.write(b"%d\n" % told)
                await writer.drain()
                await asyncio.sleep(0.01)
        writer.close()


def roster(*entries: dict[str, Any], reset: bool = False) -> dict[str, Any]:
    """Returns the event of a list, or of changes to it."""
    return {"roster": {"generation": 1, "reset": reset, "instances": list(entries)}}


def entry(
    name: str, address: str, kind: str, zone: str, lifecycle: str = "in_service", started: float = 0
) -> dict[str, Any]:
    """Returns the entry of one member."""
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": zone,
        "machineType": kind,
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1,
        "startedAtMs": int(started * 1000),
    }
