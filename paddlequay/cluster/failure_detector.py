"""Probes peers with pings, directly and through other routers, and suspects those that do not acknowledge.

One peer is probed per period, in rounds over all peers in random order, as in SWIM (Das, Gupta, Motivala
2002). From the second ping of a probe on, other routers ("helpers") are asked to ping the peer too.
"""

from dataclasses import dataclass
from random import Random

from paddlequay.cluster.gossip import GossipQueue
from paddlequay.cluster.incarnations import is_valid_incarnation
from paddlequay.cluster.local_health import MAX_SCORE, LocalHealth
from paddlequay.cluster.members import MembershipTable
from paddlequay.cluster.messages import Ack, Ping, PingRequest
from paddlequay.cluster.pings import PendingPing, PendingPings
from paddlequay.cluster.suspicion import SuspicionRules
from paddlequay.cluster.types import Action, Peer, PeerState, SendMessage, Urgency

# Routers that are asked to ping a peer in this router's place. At 20 % loss at least one of three succeeds in
# four of five cases.
HELPER_COUNT = 3
# With helpers from the second ping on, 20 % loss alone causes a suspicion in 2 of 1000 probes.
MAX_PINGS_PER_PROBE = 3
PINGS_PER_SUSPICION = 5  # a router that learned of the suspicion from an update sends only two
STARTUP_PINGS_PER_S = 50  # rate at which a starting router pings all peers: 4 s for a fleet of 200
STARTUP_ROUNDS = 2  # how often a starting router pings each peer that is still unknown
# Probe periods per ping to a dead or unknown peer, so that peers find each other after a partition heals.
PERIODS_PER_LOST_PEER_PING = 4


@dataclass(slots=True)
class _Probe:
    peer: Peer
    started_at: float
    ping_count: int
    next_ping_at: float
    acknowledged: bool = False


class FailureDetector:
    """Owns the current probe, the pending pings and their timers. A probe starts every `period_s` seconds."""

    def __init__(
        self,
        members: MembershipTable,
        gossip: GossipQueue,
        health: LocalHealth,
        rules: SuspicionRules,
        rng: Random,
        period_s: float,
        now: float,
    ) -> None:
        self._members = members
        self._gossip = gossip
        self._health = health
        self._rules = rules
        self._rng = rng
        self._period_s = period_s
        self._pings = PendingPings(period_s * (1 + MAX_SCORE), rng.getrandbits(48))
        peers = sorted(members.lost)
        self._startup_peers = [peer for _ in range(STARTUP_ROUNDS) for peer in rng.sample(peers, len(peers))]
        self._next_startup_ping = now
        self._next_period = now + rng.random() * period_s
        self._period_count = 0
        self._probe: _Probe | None = None

    def tick(self, now: float) -> list[Action]:
        """Sends the pings that are due, and suspects the probed peer if its probe has failed."""
        actions = self._ping_unknown_peers(now)
        if self._probe is not None and self._probe.next_ping_at <= now:
            actions += self._continue_probe(self._probe, now)
        if self._probe is None and self._next_period <= now:
            actions += self._begin_period(now)
        for peer in sorted(self._members.suspects):
            actions += self._check_suspect(peer, now)
        return actions

    def next_due(self) -> float:
        """Returns when the next ping is due, except for those to suspects (`SuspicionRules.next_due`)."""
        due = self._next_period if self._probe is None else self._probe.next_ping_at
        if self._startup_peers:
            due = min(due, self._next_startup_ping)
        return due

    def shift_timers(self, seconds: float) -> None:
        """Postpones all timers by the length of a stall of this process."""
        self._next_period += seconds
        self._next_startup_ping += seconds
        if self._probe is not None:
            self._probe.started_at += seconds
            self._probe.next_ping_at += seconds

    def ping(
        self, peer: Peer, now: float, requester: Peer | None = None, requester_number: int = 0
    ) -> list[Action]:
        """Sends a ping; if `requester` is not None, on behalf of that router."""
        number = self._pings.register(peer, now, requester, requester_number)
        ping = Ping(number, self._members[peer].incarnation)
        return [SendMessage(peer, ping, Urgency.CHANGE), *self._gossip.piggyback(peer)]

    def ping_with_helpers(self, peer: Peer, now: float) -> list[Action]:
        """Pings a peer directly and through helpers, and pings the helpers too.

        Acknowledgements of the helpers show that this router is not isolated itself.
        """
        actions = self.ping(peer, now)
        number = self._pings.last_number
        for helper in self._members.sample_alive(HELPER_COUNT, excluding=peer):
            actions.append(SendMessage(helper, PingRequest(number, peer), Urgency.CHANGE))
            actions += self.ping(helper, now)
        return actions

    def handle_ack(self, ack: Ack, now: float) -> list[Action]:
        """Handles an acknowledgement; ignores it if no ping is waiting for it."""
        if not is_valid_incarnation(ack.incarnation):
            return []
        ping = self._pings.resolve(ack.number, ack.peer)
        if ping is None:
            return []
        if ping.requester is not None:
            return self._forward_ack(ping, ping.requester, ack)
        if self._health.was_unreachable(now):
            self._rules.prolong_suspicions(now)
        self._health.last_acknowledged_at = now
        if self._probe is not None and self._probe.peer == ack.peer:
            self._probe.acknowledged = True
        return self._confirm(ack, now)

    def _forward_ack(self, ping: PendingPing, requester: Peer, ack: Ack) -> list[Action]:
        forwarded = Ack(ping.requester_number, ack.peer, ack.incarnation)
        return [
            SendMessage(requester, forwarded, Urgency.LEASE),
            *self._gossip.piggyback(requester),
        ]

    def _confirm(self, ack: Ack, now: float) -> list[Action]:
        record = self._members[ack.peer]
        if ack.incarnation < record.incarnation:
            return []
        if ack.incarnation == record.incarnation and record.state is PeerState.DEAD:
            return self._rules.notify(ack.peer, now)
        return self._rules.confirm_alive(ack.peer, ack.incarnation, now)

    def _ping_unknown_peers(self, now: float) -> list[Action]:
        """Pings the unknown peers after the start, at a limited rate, to learn which are alive."""
        actions: list[Action] = []
        while self._startup_peers and self._next_startup_ping <= now:
            peer = self._startup_peers.pop()
            self._next_startup_ping += 1.0 / STARTUP_PINGS_PER_S
            if self._members[peer].state is PeerState.UNKNOWN:
                actions += self.ping(peer, now)
        return actions

    def _begin_period(self, now: float) -> list[Action]:
        """Starts the probe of the next peer and, in some periods, pings a lost peer."""
        actions: list[Action] = []
        self._next_period = now + self._period_s
        self._period_count += 1
        if self._may_ping_lost_peer():
            actions += self._ping_lost_peer(now)
        peer = self._members.next_to_probe()
        if peer is not None:
            self._probe = _Probe(peer, now, 1, now + self._ping_timeout_s())
            actions += self.ping(peer, now)
        return actions

    def _ping_timeout_s(self) -> float:
        """Returns the seconds between two pings of a probe; a probe takes a little less than a period."""
        return self._period_s * self._health.wait_factor / (MAX_PINGS_PER_PROBE + 0.5)

    def _may_ping_lost_peer(self) -> bool:
        started = not self._startup_peers
        return bool(self._members.lost) and started and self._period_count % PERIODS_PER_LOST_PEER_PING == 0

    def _ping_lost_peer(self, now: float) -> list[Action]:
        peer = self._rng.choice(sorted(self._members.lost))
        actions = self.ping(peer, now)
        if self._members[peer].state is PeerState.DEAD:
            actions += self._rules.notify(peer, now)
        return actions

    def _continue_probe(self, probe: _Probe, now: float) -> list[Action]:
        """Ends an acknowledged probe, sends its next ping, or suspects the peer after the last ping."""
        record = self._members[probe.peer]
        if probe.acknowledged or record.state is not PeerState.ALIVE:
            self._probe = None
            self._health.record_probe(probe.acknowledged)
            return []
        if probe.ping_count < MAX_PINGS_PER_PROBE:
            probe.ping_count += 1
            probe.next_ping_at = now + self._ping_timeout_s()
            return self.ping_with_helpers(probe.peer, now)
        self._probe = None
        seen_during_probe = record.last_seen >= probe.started_at
        if seen_during_probe:
            return []  # the peer is alive, although it did not acknowledge the pings
        reached_others = self._health.last_acknowledged_at >= probe.started_at
        if reached_others:
            # An isolated router does not spread its suspicions, since all other routers would have to refute.
            self._gossip.enqueue(self._rules.make_update(probe.peer, PeerState.SUSPECT))
        return self._rules.suspect(probe.peer, now, suspected_here=True)

    def _check_suspect(self, peer: Peer, now: float) -> list[Action]:
        """Declares a suspect dead if its time to refute has passed, or pings it if that is due."""
        record = self._members[peer]
        if record.dead_at <= now:
            return self._rules.end_suspicion(peer, now)
        if record.next_probe_at > now:
            return []
        record.next_probe_at = now + self._rules.suspicion_s / PINGS_PER_SUSPICION
        actions = self.ping_with_helpers(peer, now) if record.suspected_here else self.ping(peer, now)
        if self._health.last_acknowledged_at >= record.suspected_at:
            suspicion = self._rules.make_update(peer, PeerState.SUSPECT)
            actions.append(SendMessage(peer, suspicion, Urgency.CHANGE))
        return actions
