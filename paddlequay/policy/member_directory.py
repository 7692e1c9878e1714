"""The member directory: the list as received, the views that requests use, and how warm members are."""

from collections.abc import Mapping

from paddlequay.placement.following import Following
from paddlequay.placement.homes import Homes
from paddlequay.policy.concurrency_limits import INITIAL_LIMIT, MAX_LIMIT, MIN_LIMIT, MIN_LIMIT_PER_TRANSFER
from paddlequay.policy.load_shedding import ZoneLoad
from paddlequay.policy.slow_start import SlowStartLimiter
from paddlequay.routing.interface import Member, MembersChanged, MemberState, RoutingSettings, SlowStart
from paddlequay.routing.state import CacheTier, Upstream

EDGE, PARENT, ORIGIN = CacheTier.EDGE, CacheTier.PARENT, CacheTier.ORIGIN


class MemberDirectory:
    """The members by name, and the homes of objects among those that may be used. Bounded by the list."""

    def __init__(self, settings: RoutingSettings, zone_load: ZoneLoad) -> None:
        self.settings, self.zone_load = settings, zone_load
        self.tier_by_kind = {settings.origin_kind: ORIGIN, settings.parent_kind: PARENT, None: EDGE}
        self.upstreams: dict[str, Upstream] = {}
        self.homes: dict[CacheTier, Homes[Upstream]] = {EDGE: Following(), PARENT: Homes()}
        starts = {EDGE: settings.edge_slow_start, PARENT: settings.parent_slow_start, ORIGIN: SlowStart()}
        self.slow_start = {tier: SlowStartLimiter(start) for tier, start in starts.items()}
        self.origins: list[Upstream] = []
        self.ready_edge_count = 0  # edges that are ready, of all zones

    def update(self, event: MembersChanged, now: float) -> list[Upstream]:
        """Follow the list, and say who has left; what has left or drains is out of use at once."""
        left = []
        if event.full:
            listed = {member.name for member in event.members}
            for name in [name for name in self.upstreams if name not in listed]:
                left += self.forget(name)
        for member in event.members:
            known = self.upstreams.get(member.name)
            back = known is not None and member.state in (None, MemberState.READY) and not known.ready
            if member.state is MemberState.REMOVED:
                left += self.forget(member.name)
            elif known is None or back or (member.started or 0) > (known.member.started or 0):
                # Back from a drain it is as new: it has been restarted or is about to be used as if it were,
                # and old failures would keep it ejected, old limits and copies unused or hoped for.
                left += self.forget(member.name)
                self.upstreams[member.name] = self.new_upstream(member, now)
            else:
                known.member = member
        self.rebuild(now)
        return left

    def new_upstream(self, member: Member, now: float) -> Upstream:
        """A member of which nothing is known yet; its limit goes by its size, where that is given."""
        tier = self.tier_by_kind.get(member.kind, EDGE)
        sized = self.settings.weights_give_capacity and tier is not ORIGIN
        capacity = max(0.0, member.weight or 0.0) * sized
        by_size = min(MAX_LIMIT, max(MIN_LIMIT, MIN_LIMIT_PER_TRANSFER * capacity))
        limit = by_size if capacity else INITIAL_LIMIT[tier]
        return Upstream(member, tier, now, transfer_capacity=capacity or None, concurrency_limit=limit)

    def forget(self, name: str) -> list[Upstream]:
        """Forget a member that is removed or has restarted: neither its health nor its copies live on."""
        self.zone_load.forget(name)
        return [self.upstreams.pop(name)] if name in self.upstreams else []

    def mark_restarted(self, upstream: Upstream, now: float) -> None:
        """A member is taken to have restarted before the list says so."""
        upstream.presumed_restart_at = now
        self.rebuild(now)

    def rebuild(self, now: float) -> None:
        """Make the views that requests use anew."""
        ready = [upstream for upstream in self.upstreams.values() if upstream.ready]
        all_edges = [upstream for upstream in ready if upstream.tier is EDGE]
        edges = [upstream for upstream in all_edges if upstream.member.zone in (None, self.settings.zone)]
        parents = [upstream for upstream in ready if upstream.tier is PARENT]
        weighted = self.settings.weights in ("nominal", "rough")
        for tier, upstreams in ((EDGE, edges), (PARENT, parents)):
            members = ((each.member, each) for each in upstreams)
            self.homes[tier].reset(
                (member.name, each, (member.weight or 1.0) if weighted else 1.0) for member, each in members
            )
            self.slow_start[tier].set_members((each.started for each in upstreams), now)
        self.origins = [upstream for upstream in ready if upstream.tier is ORIGIN]
        self.ready_edge_count = len(all_edges)

    def capacity_share(self, upstream: Upstream, now: float) -> float:
        """The share of its capacity that a member can give at least; 1 when warm."""
        return self.slow_start[upstream.tier].capacity_share(upstream.started, now)

    def inherit_state(self, state: Mapping[str, float]) -> None:
        """Take over the load that a predecessor saw warm members bear."""
        for limiter, name in zip(self.slow_start.values(), ("edge_rate", "fill_rate"), strict=False):
            limiter.load_per_member = state.get(name, limiter.load_per_member)
