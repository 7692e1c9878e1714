"""The caches, parents and the origin of a small zone, which behave as sound ones do."""

import asyncio
import time
from typing import Any

from second.bulletin import entry
from second.caches import Answer, Ask, CacheServer, Copy, new_copy
from second.zone import Zone

ZONES = {"box": "plaza", "parent": "hub", "origin": "hub"}


class Fleet:
    """The caches of the zone."""

    def __init__(self, zone: Zone) -> None:
        self.zone = zone
        self.servers: dict[str, CacheServer] = {}
        self.copies: dict[tuple[str, tuple[str, str]], Copy] = {}
        self.gone_at: dict[str, float] = {}

    async def add(self, name: str) -> None:
        """Starts a cache."""
        server = CacheServer(name, self.zone.record, self.answer)
        await server.start()
        self.servers[name] = server

    async def end(self, name: str) -> None:
        """Ends a cache."""
        await self.servers[name].stop()
        self.gone_at[name] = time.time()

    def entry(self, name: str, lifecycle: str = "in_service", started: float = 0) -> dict[str, Any]:
        """Returns its entry in the list."""
        kind = name.split("-")[0]
        return entry(name, self.servers[name].address, kind, ZONES[kind], lifecycle, started)

    async def answer(self, ask: Ask) -> Answer:
        """Answers as a sound cache does: from its copy, else from the source that the request names."""
        await asyncio.sleep(0.005)
        if ask.fields["queue"] == "toll-charge" or ask.server.startswith("origin"):
            return new_copy(*ask.part).hit("HIT")
        copy = self.copies.get((ask.server, ask.part))
        detail = "HIT"
        if copy is None:
            source = ask.fields.get("via")
            if source is None:
                return "NONE", {"detail": "UP_MISS"}, b""
            if source in self.gone_at or source not in self.servers:
                return "SHED", {"detail": "UP_DOWN"}, b""
            await asyncio.sleep(0.02)
            copy = self.copies.setdefault((source, ask.part), new_copy(*ask.part))
            self.copies[ask.server, ask.part] = copy
            detail = "MISS"
        return copy.hit(detail)
