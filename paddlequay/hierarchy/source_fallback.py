"""The ladder of a node in the middle, climbed by the decision module itself.

The node names whom a fill may ask, and in which order; whether that one may be used now is for
`policy.Router`: failures, trials, limits, the pace of cold members, time-outs and purges are what they are
for a router. So a node is a front of the same exchange, and no second set of rules for health grows beside
the first.
"""

import math
from collections.abc import Iterable

from paddlequay.hierarchy.fill_leases import FillSource
from paddlequay.hierarchy.fill_path import FillPath
from paddlequay.hierarchy.node import Node
from paddlequay.hierarchy.topology import Topology
from paddlequay.policy import Router
from paddlequay.policy.availability import is_available
from paddlequay.routing.interface import (
    AttemptEnded,
    Fail,
    Fetch,
    Member,
    MembersChanged,
    Outcome,
    RejectCause,
    RoutingSettings,
)
from paddlequay.routing.state import AttemptState, RequestState, Upstream

NODE_KIND, STORE_KIND = "node", "store"
LIMIT_FIRST = 200.0  # out at one member by all of a group: a node serves hundreds at once from memory
LOST = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)


def members_of(shape: Topology, own: str, group: str) -> Iterable[str]:
    """Whom a node may ask: its group, the parents of that group and their groups, and the stores."""
    groups = {group}
    parents: set[str] = set()
    for node in shape.group(group):
        parents.update(node.parents)
    groups.update(shape.nodes[name].group for name in parents)
    for name, node in shape.nodes.items():
        if name != own and (node.store or node.group in groups):
            yield name


def member(shape: Topology, name: str) -> Member:
    """A node of the shape as the decisions see it."""
    node = shape.nodes[name]
    kind = STORE_KIND if node.store else NODE_KIND
    return Member(name, None, kind, None, node.state, node.weight, node.started)


class FallbackRouter(Router):
    """`policy.Router` with the rungs of a node in place of the plain ladder."""

    def __init__(self, settings: RoutingSettings, seed: int, node: Node) -> None:
        super().__init__(settings, seed)
        self.node = node
        self.now_on: dict[str, tuple[FillSource, FillPath]] = {}  # the rung that each request is on
        self.hints: dict[str, str] = {}

    def on_members(self, event: MembersChanged) -> None:
        servers = self.state.members.upstreams
        before = set(servers)
        super().on_members(event)
        new = [server for name, server in servers.items() if name not in before]
        self.state.limits.inherit_state(new, {f"limit {server.member.name}": LIMIT_FIRST for server in new})

    def update_contention(self) -> None:
        """All of the group ask the same members."""
        self.state.limits.set_contention(1, 1, 1, requesters=max(1, len(self.node.moves.members)))

    def advance(self, item: RequestState) -> None:
        """The next rung that may be used now. What is busy sheds: handed on, it would be a second fill."""
        name = item.received.id
        number = item.received.fill
        if number is None or (item.attempts and not self.state.retries.may_retry(item, self.now)):
            return self.give_up(item, RejectCause.RETRIES_EXHAUSTED)
        hint = self.hints.pop(name, "")
        while (step := self.node.step(number, hint)) is not None:
            hint = ""
            rung, _ = self.now_on[name] = step
            server = self.state.members.upstreams.get(rung.target)
            if server is None or not server.ready or not is_available(self.state, server, item, self.now):
                continue
            if self.state.limits.is_busy(server, item, self.now):
                if rung.held:
                    continue
                return self.give_up(item, RejectCause.EDGE_BUSY)
            return self.ask(item, server, rung)
        self.actions.append(Fail(name))
        self.close(name)

    def ask(self, item: RequestState, server: Upstream, rung: FillSource) -> None:
        """One attempt; a node is allowed to fill by naming the store as the source, a look names none."""
        self.attempts.register(item, AttemptState(server, server, self.now, False))
        origins = self.state.members.origins
        through = origins[0].member.name if origins and not rung.store else rung.target
        self.actions.append(
            Fetch(
                request=item.received.id,
                target=rung.target,
                source=rung.target if rung.held else through,
                retention=1,
                timeout=self.state.timeouts.attempt_timeout(item, self.now),
                max_age=self.age(item),
                coalesce=True,
                only_if_cached=rung.held,
            )
        )

    def age(self, item: RequestState) -> float | None:
        """The oldest copy that will do, in seconds; what was purged since the fill began counts."""
        lease = self.node.leases.by_number.get(item.received.fill or 0)
        floor = -math.inf
        if lease is not None:
            floor = max(lease.floor, self.node.purges.of_object(lease.place[0]))
        return max(0.001, self.now - floor) if floor > 0 else None

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        item = self.requests.get(event.request)
        if item is not None and item.received.fill is not None:
            if event.outcome in LOST:
                self.node.unreached(item.received.fill, event.target)
            if event.loop_hint:
                self.hints[event.request] = event.loop_hint
        super().on_attempt_ended(event)

    def close(self, request: str) -> None:
        self.now_on.pop(request, None)
        self.hints.pop(request, None)
        super().close(request)
