"""The member directory: the endpoint list as received, and the views of it that requests use."""

from collections.abc import Iterator, Mapping

from paddlequay.placement.homes import Homes
from paddlequay.placement.table_homes import TableHomes
from paddlequay.policy.concurrency_limits import INITIAL_LIMIT_REQUESTS, limit_for_size
from paddlequay.policy.load_shedding import ZoneLoad
from paddlequay.policy.slow_start import SlowStartLimiter
from paddlequay.routing.interface import Member, MembersChanged, MemberState, RoutingSettings, SlowStart
from paddlequay.routing.state import CacheTier, Upstream


class MemberDirectory:
    """The members by name, and the homes of objects among those that are ready.

    Its size is bounded by the endpoint list.
    """

    def __init__(self, settings: RoutingSettings, zone_load: ZoneLoad) -> None:
        self.settings = settings
        self.zone_load = zone_load
        self.tier_by_kind = {
            settings.origin_kind: CacheTier.ORIGIN,
            settings.parent_kind: CacheTier.PARENT,
            None: CacheTier.EDGE,
        }
        self.upstreams: dict[str, Upstream] = {}
        self.homes: dict[CacheTier, Homes[Upstream]] = {
            CacheTier.EDGE: TableHomes(),
            CacheTier.PARENT: Homes(),
        }
        self.slow_start = {
            CacheTier.EDGE: SlowStartLimiter(settings.edge_slow_start),
            CacheTier.PARENT: SlowStartLimiter(settings.parent_slow_start),
            CacheTier.ORIGIN: SlowStartLimiter(SlowStart()),
        }
        self.origins: list[Upstream] = []
        self.ready_edge_count = 0  # in all zones

    def update(self, event: MembersChanged, now: float) -> list[Upstream]:
        """Applies the endpoint list or a change of it; returns the members that left or were replaced.

        A removed or draining member is not used for any attempt after the call.
        """
        left = self._forget_unlisted(event) if event.full else []
        for member in event.members:
            known = self.upstreams.get(member.name)
            if member.state is MemberState.REMOVED:
                left += self.forget(member.name)
            elif known is None or self._is_new_incarnation(known, member):
                left += self.forget(member.name)
                self.upstreams[member.name] = self._new_upstream(member, now)
            else:
                known.member = member
        self._rebuild(now)
        return left

    def _forget_unlisted(self, event: MembersChanged) -> list[Upstream]:
        """Forgets and returns the members that a full list does not name."""
        listed = {member.name for member in event.members}
        left = []
        for name in [name for name in self.upstreams if name not in listed]:
            left += self.forget(name)
        return left

    @staticmethod
    def _is_new_incarnation(known: Upstream, member: Member) -> bool:
        """Whether a member has restarted or is back from a drain, so that its earlier state is obsolete."""
        is_back = member.state in (None, MemberState.READY) and not known.ready
        return is_back or (member.started or 0) > (known.member.started or 0)

    def _new_upstream(self, member: Member, now: float) -> Upstream:
        """Returns the state of a new member, with a concurrency limit by its size if the settings give it."""
        tier = self.tier_by_kind.get(member.kind, CacheTier.EDGE)
        has_size = self.settings.weights_give_capacity and tier is not CacheTier.ORIGIN
        capacity = max(0.0, member.weight or 0.0) if has_size else 0.0
        limit = limit_for_size(capacity) if capacity else INITIAL_LIMIT_REQUESTS[tier]
        return Upstream(member, tier, now, transfer_capacity=capacity or None, concurrency_limit=limit)

    def forget(self, name: str) -> list[Upstream]:
        """Drops all state of a member that was removed or has restarted; returns it if it was known."""
        self.zone_load.forget(name)
        return [self.upstreams.pop(name)] if name in self.upstreams else []

    def presume_restart(self, upstream: Upstream, now: float) -> None:
        """Puts a member into slow start before the endpoint list reports its restart."""
        upstream.presumed_restart_at = now
        self._rebuild(now)

    def _rebuild(self, now: float) -> None:
        """Rebuilds the homes, the slow start of each tier and the origins from the ready members."""
        ready = [upstream for upstream in self.upstreams.values() if upstream.ready]
        all_edges = [upstream for upstream in ready if upstream.tier is CacheTier.EDGE]
        zones = (None, self.settings.zone)
        self._set_homes(CacheTier.EDGE, [edge for edge in all_edges if edge.member.zone in zones], now)
        self._set_homes(
            CacheTier.PARENT, [upstream for upstream in ready if upstream.tier is CacheTier.PARENT], now
        )
        self.origins = [upstream for upstream in ready if upstream.tier is CacheTier.ORIGIN]
        self.ready_edge_count = len(all_edges)

    def _set_homes(self, tier: CacheTier, upstreams: list[Upstream], now: float) -> None:
        """Makes these members of a tier the homes of objects, weighted by size if the settings give it."""
        weighted = self.settings.weights_give_relative_capacity
        self.homes[tier].reset(
            (each.member.name, each, (each.member.weight or 1.0) if weighted else 1.0) for each in upstreams
        )
        self.slow_start[tier].set_members((each.started for each in upstreams), now)

    def ranked(self, tier: CacheTier, key: int, now: float) -> Iterator[Upstream]:
        """Returns the homes of a key in order of preference.

        A home is weighted by its size, by its share of capacity in slow start, and for contended edges by its
        reported load. While a new member warms up, each of its objects thus moves to it once, and does so at
        all routers. If the member rejected requests instead, the same objects would be filled in two places.

        Args:
            tier: Edges or parents.
            key: The placement key of the object.
            now: Seconds of the router's clock.
        """

        def capacity(upstream: Upstream) -> float:
            return self.capacity_share(upstream, now)

        def balanced_capacity(upstream: Upstream) -> float:
            weight = self.zone_load.weights.relative_weight(upstream.member.name)
            return self.capacity_share(upstream, now) * weight

        is_balanced = tier is CacheTier.EDGE and self.zone_load.is_contended
        return self.homes[tier].order(key, balanced_capacity if is_balanced else capacity)

    def capacity_share(self, upstream: Upstream, now: float) -> float:
        """Returns the least share of its capacity that a member may have, in (0, 1]; 1 once it is warm."""
        return self.slow_start[upstream.tier].capacity_share(upstream.started, now)

    def inherit_state(self, state: Mapping[str, float]) -> None:
        """Takes over the load of warm members that a predecessor exported."""
        for tier, name in ((CacheTier.EDGE, "edge_rate"), (CacheTier.PARENT, "fill_rate")):
            limiter = self.slow_start[tier]
            limiter.load_per_member = state.get(name, limiter.load_per_member)
