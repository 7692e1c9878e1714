"""What is believed of members' limits: how much may be out at each, by its word and by late answers."""

import math
from collections.abc import Iterable, Mapping

from paddlequay.routing.link_load import Link
from paddlequay.routing.zone_load import Room
from paddlequay.routing.interface import Settings
from paddlequay.routing.state import Attempt, Open, Server, Tier

LIMIT_LEAST, LIMIT_MOST = 2.0, 1000.0  # out at a member by all routers, in mean requests
# What an edge can bear, its first report tells within a second; parents, asked by edges, report to no router.
LIMIT_START = {Tier.EDGE: 10.0, Tier.PARENT: 30.0, Tier.ORIGIN: 30.0}
FITS_LEAST = 1.5  # of the transfers that fit a way out, where told: aims allow twice the sending time
FILL_SHARE = 0.33  # of the work at edges that is filled, where notes do not tell; parents' limits use it too
LIMIT_CHANCE = 1.5  # roots of its share that a router may be above it: few requests come unevenly
LIMIT_FIND = 0.2  # growth a second of a parent's limit until its first jam: nothing else finds it
LIMIT_GROWTH, LIMIT_CUT, LIMIT_PAUSE_S = 0.05, 0.8, 0.5  # a second; cut at most twice a second, once a jam
ROOM_CPU, ROOM_LINK = 0.4, 0.8  # a member that reports less use of its cores and its link has room for more
REPORT_AGE_S = 2.0  # reports are made every 240 to 990 ms and come late; an older one tells nothing
LIMIT_ROOM = 1.25  # what was out while a member reported room, and this much more, it can hold
LATE_MEMORY_S = 1.0  # by time, not by answers: a router that sends once a second must see a jam as well
LATE_SHARE = 0.15  # of answers past the aim: less is the tail of sizes, not a jam


class Limits:
    """What is out at members, its limits, and how many routers' worth of sending meets at each."""

    def __init__(self, settings: Settings, room: Room, link: Link) -> None:
        self.settings, self.room, self.link = settings, room, link
        self.sharers: dict[Tier, float] = {}

    def spread(self, edges: int, parents: int, origins: int, askers: int | None = None) -> None:
        """Share limits among all routers, by how many edges fill from how many; `askers`: as told instead."""
        fills = FILL_SHARE * max(1, edges) / (self.settings.routers or 1)
        self.sharers[Tier.EDGE] = self.settings.routers_here or 1
        sized = self.settings.sized and self.settings.routers
        self.sharers[Tier.PARENT] = askers or sized or max(1, parents) / fills
        self.sharers[Tier.ORIGIN] = askers or max(1, origins) / fills

    def take(self, attempt: Attempt, cost: float) -> None:
        """An attempt goes out; with its cost below 0, what it held is free."""
        attempt.target.out = max(0.0, attempt.target.out + cost)
        if attempt.fills:
            attempt.source.out = max(0.0, attempt.source.out + cost)
            self.link.out += int(math.copysign(attempt.source.tier is not Tier.EDGE, cost))

    def release(self, attempt: Attempt, cost: float) -> None:
        self.take(attempt, -cost)

    def busy(self, server: Server, item: Open, now: float) -> bool:
        """Whether its limit is reached: large transfers reach it first, and a share under one sheds some."""
        late = server.late > LATE_SHARE and not self.room.told(server.entry.name, now)
        if not late and (now - server.room_at < REPORT_AGE_S or server.out == 0):
            return False  # nothing out, no jam: a share under one request would shed by chance, not by load
        share = server.limit / self.sharers[server.tier]
        limit = share + LIMIT_CHANCE * math.sqrt(share)
        return item.cost * item.luck > limit or (server.out > 0 and server.out + item.cost > limit)

    def report(self, server: Server, load: Mapping[str, float], now: float) -> None:
        """A member's own word on its load: where it has room, no belief of ours may say that it is full."""
        if "cpu" not in load:
            return
        room = load["cpu"] < ROOM_CPU and (server.tier is not Tier.EDGE or load.get("x1", 0.0) < ROOM_LINK)
        server.room_at = now if room else -math.inf
        if room:
            out = server.out * self.sharers[server.tier]
            server.limit = min(LIMIT_MOST, max(server.limit, LIMIT_ROOM * out))

    def pace(self, server: Server, late: bool, now: float) -> None:
        """Lower a member's limit while many of its answers are late, once for each jam; else let it grow."""
        since, server.heard_at = now - server.heard_at, now
        server.late += (late - server.late) * (1.0 - math.exp(-since / LATE_MEMORY_S))
        out = server.out * self.sharers[server.tier]
        if server.late <= LATE_SHARE:
            if out > server.limit / 2:
                finding = server.cut_at == -math.inf and server.tier is not Tier.EDGE and not server.fits
                growth = LIMIT_FIND if finding else LIMIT_GROWTH
                server.limit = min(LIMIT_MOST, server.limit * math.exp(growth * min(since, 1.0)))
        elif late and now - server.cut_at >= LIMIT_PAUSE_S:
            server.cut_at = now
            least = min(LIMIT_MOST, max(LIMIT_LEAST, FITS_LEAST * (server.fits or 0.0)))
            server.limit = max(least, min(server.limit, out + 1.0) * LIMIT_CUT)

    def inherit(self, servers: Iterable[Server], told: Mapping[str, float]) -> None:
        """A limit cut below the first one is not taken over: it regains slowly, a start finds anew."""
        for server in servers:
            server.limit = min(LIMIT_MOST, max(server.limit, told.get(f"limit {server.entry.name}", 0.0)))
