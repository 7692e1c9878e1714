"""Who is there: the list as told, the views of it that requests use, and how warm members are."""

from collections.abc import Mapping

from paddlequay.routing.slow_start import Cold
from paddlequay.routing.zone_load import Room
from paddlequay.routing.interface import MembersChanged, Ramp, Settings, State
from paddlequay.placement.following import Following
from paddlequay.placement.homes import Homes
from paddlequay.policy.limits import FITS_LEAST, LIMIT_LEAST, LIMIT_MOST, LIMIT_START
from paddlequay.routing.state import Server, Tier


class Members:
    """The members by name, and the homes of objects among those that may be used. Bounded by the list."""

    def __init__(self, settings: Settings, room: Room) -> None:
        self.settings, self.room = settings, room
        self.tiers = {settings.origin_kind: Tier.ORIGIN, settings.parent_kind: Tier.PARENT, None: Tier.EDGE}
        self.servers: dict[str, Server] = {}
        self.homes: dict[Tier, Homes[Server]] = {Tier.EDGE: Following(), Tier.PARENT: Homes()}
        ramps = {Tier.EDGE: settings.cold_edge, Tier.PARENT: settings.cold_parent, Tier.ORIGIN: Ramp()}
        self.cold = {tier: Cold(ramp) for tier, ramp in ramps.items()}
        self.origins: list[Server] = []
        self.everywhere = 0  # edges that are ready, of all zones

    def follow(self, event: MembersChanged, now: float) -> list[Server]:
        """Follow the list, and tell who has left; what has left or drains is out of use at once."""
        left = []
        if event.full:
            listed = {entry.name for entry in event.members}
            for name in [name for name in self.servers if name not in listed]:
                left += self.drop(name)
        for entry in event.members:
            known = self.servers.get(entry.name)
            back = known is not None and entry.state in (None, State.READY) and not known.ready
            if entry.state is State.GONE:
                left += self.drop(entry.name)
            elif known is None or back or (entry.started or 0) > (known.entry.started or 0):
                # Back from a drain it is as new: it has been restarted or is about to be used as if it were,
                # and old failures would keep it skipped, old limits and copies unused or hoped for.
                left += self.drop(entry.name)
                tier = self.tiers.get(entry.kind, Tier.EDGE)
                fits = max(0.0, entry.weight or 0.0) * (self.settings.sized and tier is not Tier.ORIGIN)
                limit = min(LIMIT_MOST, max(LIMIT_LEAST, FITS_LEAST * fits)) if fits else LIMIT_START[tier]
                self.servers[entry.name] = Server(entry, tier, now, fits=fits or None, limit=limit)
            else:
                known.entry = entry
        self.rebuild(now)
        return left

    def drop(self, name: str) -> list[Server]:
        """Forget a member that is gone or has started anew: neither its health nor its copies live on."""
        self.room.forget(name)
        return [self.servers.pop(name)] if name in self.servers else []

    def back_empty(self, server: Server, now: float) -> None:
        """A member is believed to have started anew before the list says so."""
        server.back_at = now
        self.rebuild(now)

    def rebuild(self, now: float) -> None:
        """The views that requests use."""
        ready = [server for server in self.servers.values() if server.ready]
        everywhere = [server for server in ready if server.tier is Tier.EDGE]
        edges = [server for server in everywhere if server.entry.zone in (None, self.settings.zone)]
        parents = [server for server in ready if server.tier is Tier.PARENT]
        weighted = self.settings.weights in ("nominal", "rough")
        for tier, servers in ((Tier.EDGE, edges), (Tier.PARENT, parents)):
            self.homes[tier].reset(
                (each.entry.name, each, (each.entry.weight or 1.0) if weighted else 1.0) for each in servers
            )
            self.cold[tier].reset((server.started for server in servers), now)
        self.origins = [server for server in ready if server.tier is Tier.ORIGIN]
        self.everywhere = len(everywhere)

    def share(self, server: Server, now: float) -> float:
        """The share of its capacity that a member can give at least; 1 when warm."""
        return self.cold[server.tier].share(server.started, now)

    def inherit(self, told: Mapping[str, float]) -> None:
        for cold, name in zip(self.cold.values(), ("edge_rate", "fill_rate"), strict=False):
            cold.rate = told.get(name, cold.rate)
