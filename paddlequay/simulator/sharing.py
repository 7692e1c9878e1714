"""The cluster of one instance on the simulator's wire: datagrams as `post` and `note_from`, time as alarms.

The adapter has it only where PADDLEQUAY_CLUSTER names settings and the instance's own allow peers. It carries
the fleet's word alone: what comes of leases is tried on real processes.
"""

from dataclasses import replace

from paddlequay.cluster import evidence
from paddlequay.cluster.node import ClusterEvent, Node
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import NEVER, Action, Fleet, NameDigest, VerdictChanged
from paddlequay.placement.homes import digest
from paddlequay.policy import Router
from paddlequay.routing.interface import Action as Asked
from paddlequay.routing.interface import AttemptEnded, Fetch, OutlierReported
from paddlequay.simulator.peer_messages import Post, SimWire

LEAST = 0.002  # seconds to the next alarm at least, as batches come no closer
FETCHES_MOST = 20_000  # attempts that are out


class SimShare:
    """One instance's. Each call gives what to post, and when the next alarm is wanted: `alarm`, seconds."""

    def __init__(
        self, settings: ClusterSettings, me: int, size: int, router: Router, salt: int, now: float
    ) -> None:
        alone = replace(settings, acceptors=(), limits=(), channels=None, rules=None)
        self.router = router
        # Its life by the simulator's clock: the same number that starts again does so later.
        self.node = Node(alone, Fleet(me, size), 1.0 + now, salt, now)
        self.wire = SimWire(self.node.wire, self.node.outbox)
        self.fetches: dict[tuple[str, int], Fetch] = {}
        self.counts: dict[str, int] = {}
        self.names: dict[NameDigest, str] = {}
        self.set = NEVER  # when the earliest alarm that was asked for is due

    def note_from(self, sender: int, content: str, now: float) -> list[OutlierReported]:
        """A message of another instance."""
        heard = self.wire.note_from(sender, content)
        return (
            []
            if heard is None
            else self.told(self.node.handle_message(sender, heard.head, heard.messages, now), now)
        )

    def tick(self, now: float) -> list[OutlierReported]:
        """An alarm of the cluster's is due."""
        self.set = NEVER
        return self.told(self.node.tick(now), now)

    def acted(self, actions: list[Asked]) -> None:
        """What the decisions asked for: attempts are numbered as they are made."""
        for action in actions:
            if isinstance(action, Fetch):
                number = self.counts.get(action.request, 0)
                self.counts[action.request] = number + 1
                if len(self.fetches) < FETCHES_MOST:
                    self.fetches[action.request, number] = action

    def ended(self, event: AttemptEnded, now: float) -> list[OutlierReported]:
        """An attempt's end is evidence."""
        fetch = self.fetches.pop((event.request, event.attempt), None)
        if event.final:
            self.counts.pop(event.request, None)
        verdicts, servers = self.node.verdicts, self.router.state.members.upstreams
        if fetch is None or verdicts is None:
            return []
        origins = self.router.state.members.origins
        origin = origins[0].member.name if origins else None
        actions: list[Action] = []
        for name, ok, fault in evidence.found(fetch, event.outcome, event.detail, event.unresponsive, origin):
            if name in servers:
                entry = servers[name].member
                number = digest(name)
                self.names[number] = name
                start = int((entry.started or 0.0) * 1000)
                actions += verdicts.saw(number, start, entry.kind or "", ok, fault, now)
        return self.told(self.node.settle(actions, now), now)

    def over(self, request: str) -> None:
        """A request has had its final answer: its attempts' numbers are free."""
        self.counts.pop(request, None)

    def told(self, events: list[ClusterEvent], now: float) -> list[OutlierReported]:
        verdicts, words = self.node.verdicts, []
        for each in events:
            if isinstance(each, VerdictChanged) and verdicts is not None:
                if each.subject not in self.names:
                    self.names = {digest(name): name for name in self.router.state.members.upstreams}
                name = self.names.get(each.subject)
                if name is not None and verdicts.earlier_skip(each.subject, now):
                    words.append(OutlierReported(name))
        return words

    def posts(self, now: float) -> list[Post]:
        return self.wire.posts(now)

    def alarm(self, now: float) -> float | None:
        """Seconds to the next alarm, where one that is set is not early enough."""
        due = max(now + LEAST, min(self.node.due(), self.node.outbox.due()))
        if due >= self.set - LEAST or due == NEVER:
            return None
        self.set = due
        return due - now
