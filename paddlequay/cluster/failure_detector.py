"""Probes peers with pings, directly and through other routers, and suspects those that do not acknowledge.

Each period one peer is probed, each in turn in a random order, as in SWIM (Das, Gupta, Motivala 2002). From
the second ping of a probe on, other routers are asked to ping the peer too.
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

HELPER_COUNT = (
    3  # routers that ping in this one's place: at 20 % loss one of them succeeds in four of five cases
)
MAX_PINGS_PER_PROBE = 3  # the later ones with helpers: 20 % loss alone suspects 2 in 1000
PINGS_PER_SUSPICION = 5  # two of them by routers that learned of the suspicion from others
STARTUP_PINGS_PER_S = 50  # of a starting router until all were pinged: 4 s in a fleet of 200
STARTUP_ROUNDS = 2
LOST_PEER_PERIODS = 4  # periods between pings to a dead or unknown peer, so that a healed partition is found


@dataclass(slots=True)
class _Probe:
    peer: Peer
    started_at: float
    ping_count: int
    next_ping_at: float
    acknowledged: bool = False


class FailureDetector:
    """Owns the current probe, the pending pings and their timers. `period_s` is between two probes."""

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

    # --- timers ---

    def tick(self, now: float) -> list[Action]:
        """Sends the pings that are due and suspects a peer whose probe has failed."""
        actions = self._ping_unknown_peers(now)
        if self._probe is not None and self._probe.next_ping_at <= now:
            actions += self._continue_probe(self._probe, now)
        if self._probe is None and self._next_period <= now:
            actions += self._begin_period(now)
        for peer in sorted(self._members.suspects):
            actions += self._check_suspect(peer, now)
        return actions

    def next_due(self) -> float:
        """Returns when a ping is next to be sent; suspects have timers of their own."""
        due = self._next_period if self._probe is None else self._probe.next_ping_at
        if self._startup_peers:
            due = min(due, self._next_startup_ping)
        return due

    def shift_timers(self, seconds: float) -> None:
        """Moves all timers by the length of a stall."""
        self._next_period += seconds
        self._next_startup_ping += seconds
        if self._probe is not None:
            self._probe.started_at += seconds
            self._probe.next_ping_at += seconds

    # --- pings ---

    def ping(
        self, peer: Peer, now: float, requester: Peer | None = None, requester_number: int = 0
    ) -> list[Action]:
        """Sends a ping, on behalf of `requester` where that is not None."""
        number = self._pings.register(peer, now, requester, requester_number)
        ping = Ping(number, self._members[peer].incarnation)
        return [SendMessage(peer, ping, Urgency.CHANGE), *self._gossip.piggyback(peer)]

    def ping_with_helpers(self, peer: Peer, now: float) -> list[Action]:
        """Pings a peer directly and through helpers, and the helpers too.

        The helpers' own acknowledgements show whether this router is isolated itself.
        """
        actions = self.ping(peer, now)
        number = self._pings.last_number
        for helper in self._members.sample_alive(HELPER_COUNT, excluding=peer):
            actions.append(SendMessage(helper, PingRequest(number, peer), Urgency.CHANGE))
            actions += self.ping(helper, now)
        return actions

    def handle_ack(self, ack: Ack, now: float) -> list[Action]:
        """Handles an acknowledgement; ignores one that no ping waits for."""
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

    # --- steps of a tick ---

    def _ping_unknown_peers(self, now: float) -> list[Action]:
        """Pings all peers after the start, at a bounded rate, to learn which are alive."""
        actions: list[Action] = []
        while self._startup_peers and self._next_startup_ping <= now:
            peer = self._startup_peers.pop()
            self._next_startup_ping += 1.0 / STARTUP_PINGS_PER_S
            if self._members[peer].state is PeerState.UNKNOWN:
                actions += self.ping(peer, now)
        return actions

    def _begin_period(self, now: float) -> list[Action]:
        """Probes the next peer, and pings a lost one every few periods."""
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
        """Returns the seconds between two pings of a probe; all of them take a little less than a period."""
        return self._period_s * self._health.wait_factor / (MAX_PINGS_PER_PROBE + 0.5)

    def _may_ping_lost_peer(self) -> bool:
        started = not self._startup_peers
        return bool(self._members.lost) and started and self._period_count % LOST_PEER_PERIODS == 0

    def _ping_lost_peer(self, now: float) -> list[Action]:
        peer = self._rng.choice(sorted(self._members.lost))
        actions = self.ping(peer, now)
        if self._members[peer].state is PeerState.DEAD:
            actions += self._rules.notify(peer, now)
        return actions

    def _continue_probe(self, probe: _Probe, now: float) -> list[Action]:
        """Ends a probe that was acknowledged, sends its next ping, or suspects the peer."""
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
            return []  # the peer is alive, though this router does not reach it
        reached_others = self._health.last_acknowledged_at >= probe.started_at
        if reached_others:
            # An isolated router does not spread suspicions: the whole fleet would refute them.
            self._gossip.enqueue(self._rules.belief_about(probe.peer, PeerState.SUSPECT))
        return self._rules.suspect(probe.peer, now, suspected_here=True)

    def _check_suspect(self, peer: Peer, now: float) -> list[Action]:
        """Declares a suspect dead whose time is over, or pings it again."""
        record = self._members[peer]
        if record.dead_at <= now:
            return self._rules.end_suspicion(peer, now)
        if record.next_probe_at > now:
            return []
        record.next_probe_at = now + self._rules.suspicion_s / PINGS_PER_SUSPICION
        actions = self.ping_with_helpers(peer, now) if record.suspected_here else self.ping(peer, now)
        if self._health.last_acknowledged_at >= record.suspected_at:
            suspicion = self._rules.belief_about(peer, PeerState.SUSPECT)
            actions.append(SendMessage(peer, suspicion, Urgency.CHANGE))
        return actions
