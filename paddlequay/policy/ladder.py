"""The ladder of sources: which edge a request goes to, and from whom that fills what it lacks."""

from collections.abc import Iterator
from itertools import chain, islice

from paddlequay.routing.link_load import dear
from paddlequay.routing.interface import Cause
from paddlequay.placement.homes import digest, place
from paddlequay.policy.beliefs import Beliefs
from paddlequay.policy.hotness import SPREAD_READS
from paddlequay.routing.state import Open, Server, Tier

Rung = tuple[Server, Server]  # target and source; the same one twice is a look at what it holds


class Ladder:
    """Reads what the parts believe; its own are `link_full` and `held_only` of a request."""

    def __init__(self, know: Beliefs) -> None:
        self.know = know

    def step(self, item: Open, now: float) -> Rung | Cause:
        """Whom to ask next, or why there is nobody."""
        if item.cacheable:
            return self.next_rung(item, now)
        return self.pass_untouched(item, now) or "no_source"

    def pass_untouched(self, item: Open, now: float) -> Rung | None:
        """Uncacheable: straight to the origin, or by an edge with the origin, then a parent, as source."""
        origins = self.know.members.origins
        if self.know.settings.direct:
            for origin in origins:
                if origin.entry.name not in item.failed and item.same_group(origin):
                    return origin, origin
        if item.unfillable:
            return None
        edge = self.pick_edge(item, now)[0]
        rest = [*origins, *self.ranked(Tier.PARENT, digest(item.request.id), now)]
        # One that is skipped comes last: charges fell to a parent that had failed all fills for seconds.
        for source in sorted(rest, key=lambda source: source.skipped):
            if edge is not None and source.entry.name not in item.failed:
                return edge, source
        return (edge, edge) if edge is not None and not origins else None

    def next_rung(self, item: Open, now: float) -> Rung | Cause:
        """The ladder: sibling, hashed parent, next parent, origin; then an old copy; then past the edges.

        What is merely busy sheds its load: handed on, it would reach the parents and the origin as client
        traffic and as second fills, and jam them as well, but for what the link is known to have room for."""
        edge, edge_busy = self.pick_edge(item, now)
        cause: Cause = "edge_busy" if edge_busy else "no_edge" if edge is None else "no_source"
        shut = edge_busy and not self.know.link.spare(item.luck)
        if edge is None and (shut or not self.know.settings.direct):
            return cause
        source = None if item.unfillable else self.pick_source(item, edge, now)
        cause = "link_full" if item.link_full else cause
        if edge is None:
            far = next(iter(self.know.members.origins), source)
            return cause if source is None or far is None or not item.same_group(source) else (source, far)
        if source is not None:
            return edge, source
        looked = any(attempt.target is attempt.source for attempt in item.attempts)
        if item.link_full and self.know.members.share(edge, now) < 1.0:
            # A look takes of what a cold member bears as much as a fill, and one that is empty holds nothing.
            looked = looked or not self.know.room.holds(edge.entry.name, item.luck, now)
        return cause if looked else (edge, edge)

    def dear(self, item: Open) -> float:
        """The bytes of a request's class for its worth, beside the class kept that has most, in (0, 1]."""
        if not (item.cacheable and (self.know.room.crowd or self.know.link.fits)):
            return 1.0  # nothing is shed by it, and there may be no class that is kept
        return dear(item.kind, self.know.settings.classes, self.know.latency.work)

    def draws(self, item: Open, now: float, kept: bool = True) -> bool:
        """Whether it may fill through the zone's link, by reports on that and by what is out there."""
        luck, dear = item.luck, self.dear(item)
        return self.know.room.fills(luck, now, dear, kept) and self.know.link.fills(luck, dear, kept)

    def ranked(self, tier: Tier, key: int, now: float) -> Iterator[Server]:
        """The homes of a key in order, by size where weights mean that, and by what a cold member can give.

        The scaled share moves objects to a newcomer once each as it warms, the same ones at every router;
        turning away what is too much for it would fill the same objects in two places.
        """
        share, leans = self.know.members.share, tier is Tier.EDGE and self.know.room.crowd
        return self.know.members.homes[tier].order(
            key, lambda e: share(e, now) * self.know.room.share(e.entry.name) if leans else share(e, now)
        )

    def pick_edge(self, item: Open, now: float) -> tuple[Server | None, bool]:
        """The hash of object and part, over two above a rate, the next where it fails; and was one busy?"""
        ranked = self.ranked(Tier.EDGE, self.know.members.homes[Tier.EDGE].key(item.request), now)
        fit = (e for e in ranked if item.same_group(e) and e.entry.name not in item.failed)
        first = sorted(islice(fit, 2), key=lambda e: e.out) if item.seen.reads > SPREAD_READS else []
        busy = None
        for edge in chain(first, fit):
            if self.open_to(edge, item, now):
                if not self.know.limits.busy(edge, item, now):
                    return edge, busy is not None
                busy = busy or edge
                if not self.draws(item, now):
                    break  # the next one would have to fill it through a link that is full
        if busy is not None and self.know.room.bears(busy.entry.name, item.luck, now):
            return busy, False
        return None, busy is not None

    def pick_source(self, item: Open, edge: Server | None, now: float) -> Server | None:
        """A sibling seen holding the part, the parents in hash order, the origin."""
        servers = self.know.members.servers
        held = self.know.hotness.held(item.seen, servers, now)
        fills = edge is None or edge.entry.name not in held
        if edge is not None and fills and self.know.settings.siblings in ("any", "location"):
            for sibling in [servers[name] for name in held if name not in item.failed]:
                if sibling.ready and not sibling.skipped and self.know.members.share(sibling, now) >= 1.0:
                    return sibling
        # Where no note tells, nothing proves what is held: at a full link its home is asked for that first.
        if (fills or not self.know.settings.notes) and not self.draws(item, now, kept=edge is not None):
            item.link_full = True  # what the home holds may still do
            return None
        shed = False
        item.held_only = fills and self.know.origin_waits.sheds(self.know.latency.aim(item), item.luck, now)
        parents = self.ranked(Tier.PARENT, place(item.request.key), now)
        for source in chain(parents, () if item.held_only else self.know.members.origins):
            if source.entry.name in item.failed or not self.open_to(source, item, now):
                continue
            if not fills or not self.know.limits.busy(source, item, now):
                return source if source.tier is Tier.PARENT or not shed else None
            shed = True
        return None

    def open_to(self, server: Server, item: Open, now: float) -> bool:
        """Whether a server may be used now: not skipped (or due its trial), not too cold for more."""
        cold, work = self.know.members.cold[server.tier], self.know.latency.work[item.kind.name]
        usable = self.know.health.usable(server, now)
        return usable and cold.admits(server.bucket, server.started, work, item.luck, now)
