"""The cluster of one simulated instance: the simulator carries its datagrams and sets its timers.

The adapter uses it only if PADDLEQUAY_CLUSTER names a settings file and the instance's settings allow peers.
It runs verdicts only; leases and limits are tested on real processes.
"""

from dataclasses import replace

from paddlequay.cluster.evidence import evidence_of_attempt, record_evidence
from paddlequay.cluster.node import ClusterEvent, ClusterNode
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import NEVER, Fleet, NameDigest, VerdictChanged
from paddlequay.placement.homes import digest
from paddlequay.policy import Router
from paddlequay.routing.interface import Action, AttemptEnded, Fetch, Member, OutlierReported
from paddlequay.simulator.peer_messages import Post, SimulatorTransport

MIN_ALARM_S = 0.002  # the shortest time between two batches, and so between two alarms
MAX_ATTEMPTS_IN_FLIGHT = 20_000


class SimulatorCluster:
    """The cluster of one instance. Calls return outlier reports for the policy. Times are in seconds."""

    def __init__(
        self, settings: ClusterSettings, own_number: int, size: int, router: Router, salt: int, now: float
    ) -> None:
        verdicts_only = replace(settings, acceptors=(), limits=(), channels=None, placement_rules=None)
        self.router = router
        # The simulator's time replaces Unix time as the incarnation: it has grown when an instance restarts.
        self.node = ClusterNode(verdicts_only, Fleet(own_number, size), 1.0 + now, salt, now)
        self.transport = SimulatorTransport(self.node.wire, self.node.outbox)
        self._in_flight: dict[tuple[str, int], Fetch] = {}  # by request and attempt number
        self._attempt_counts: dict[str, int] = {}  # by request
        self._names: dict[NameDigest, str] = {}
        self._alarm_at = NEVER  # the time of the earliest alarm that is set

    def receive(self, sender: int, content: str, now: float) -> list[OutlierReported]:
        """Handles a message from another instance; returns outlier reports."""
        received = self.transport.receive(sender, content)
        if received is None:
            return []
        events = self.node.handle_datagram(sender, received.header, received.messages, now)
        return self._report_outliers(events, now)

    def tick(self, now: float) -> list[OutlierReported]:
        """Handles an alarm that was set for the cluster; returns outlier reports."""
        self._alarm_at = NEVER
        return self._report_outliers(self.node.tick(now), now)

    def take_posts(self, now: float) -> list[Post]:
        """Returns the messages to send now."""
        return self.transport.take_posts(now)

    def set_alarm(self, now: float) -> float | None:
        """Returns the delay in seconds of an alarm to set; None if an alarm that is set is early enough."""
        due = max(now + MIN_ALARM_S, min(self.node.due(), self.node.outbox.due()))
        if due >= self._alarm_at - MIN_ALARM_S or due == NEVER:
            return None
        self._alarm_at = due
        return due - now

    def record_actions(self, actions: list[Action]) -> None:
        """Records the attempts among the policy's actions, numbered in order for each request."""
        for action in actions:
            if isinstance(action, Fetch):
                number = self._attempt_counts.get(action.request, 0)
                self._attempt_counts[action.request] = number + 1
                if len(self._in_flight) < MAX_ATTEMPTS_IN_FLIGHT:
                    self._in_flight[action.request, number] = action

    def handle_attempt_end(self, event: AttemptEnded, now: float) -> list[OutlierReported]:
        """Records the evidence from the end of an attempt for the verdicts; returns outlier reports."""
        fetch = self._in_flight.pop((event.request, event.attempt), None)
        if event.final:
            self.forget_request(event.request)
        if fetch is None or self.node.verdicts is None:
            return []
        origins = self.router.state.members.origins
        origin = origins[0].member.name if origins else None
        found = evidence_of_attempt(fetch, event.outcome, event.detail, event.unresponsive, origin)
        actions = record_evidence(self.node.verdicts, found, self._find_member, self._digest_of, now)
        return self._report_outliers(self.node.execute(actions, now), now)

    def forget_request(self, request: str) -> None:
        """Deletes the attempt count of a request that has ended."""
        self._attempt_counts.pop(request, None)

    def _find_member(self, name: str) -> Member | None:
        upstream = self.router.state.members.upstreams.get(name)
        return upstream.member if upstream is not None else None

    def _digest_of(self, name: str) -> NameDigest:
        subject = digest(name)
        self._names[subject] = name
        return subject

    def _name_of(self, subject: NameDigest) -> str | None:
        if subject not in self._names:
            self._names = {digest(name): name for name in self.router.state.members.upstreams}
        return self._names.get(subject)

    def _report_outliers(self, events: list[ClusterEvent], now: float) -> list[OutlierReported]:
        """Returns outlier reports on the members whose verdict has changed and calls for an early probe."""
        verdicts = self.node.verdicts
        if verdicts is None:
            return []
        reports = []
        for event in events:
            if isinstance(event, VerdictChanged):
                name = self._name_of(event.subject)
                if name is not None and verdicts.should_probe_early(event.subject, now):
                    reports.append(OutlierReported(name))
        return reports
