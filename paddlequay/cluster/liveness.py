"""Membership: which routers are alive, by SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health.

One peer is probed per period (`failure_detector.py`). A peer that does not acknowledge is suspected, and
declared dead if it does not refute the suspicion in time (`suspicion.py`). Changes are gossiped: they are
piggybacked on other datagrams and sent to a few random peers, a limited number of times (`gossip.py`). Any
datagram shows that its sender is alive. An isolated router declares no peer dead; in a fleet of two,
therefore, a router whose peer has died only suspects it. Time during which this process was stalled does not
count.
"""

import math
from random import Random
from typing import ClassVar

from paddlequay.cluster.failure_detector import FailureDetector
from paddlequay.cluster.gossip import GossipQueue
from paddlequay.cluster.incarnations import is_valid_incarnation
from paddlequay.cluster.local_health import LocalHealth
from paddlequay.cluster.members import MembershipTable
from paddlequay.cluster.messages import Ack, MembershipUpdate, PeerMessage, Ping, PingRequest
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.suspicion import SuspicionRules
from paddlequay.cluster.types import (
    NEVER,
    Action,
    Fleet,
    LocalEvent,
    Peer,
    PeerState,
    SendMessage,
    Urgency,
)

GOSSIP_INTERVAL_S = 0.2  # an update waits at most this long to be sent; the same as in memberlist
GOSSIP_PEER_COUNT = 3  # the same as in memberlist
MIN_STALL_S = 0.1  # a tick that is later than this is a stall; a busy event loop delays ticks less


class Liveness:
    """Tracks which peers are alive and whether this router is isolated; implements `Component`.

    For each received datagram, `handle_datagram` must be called before `handle_message`. The header of each
    datagram that is sent must carry the current `incarnation`.
    """

    HANDLED_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (Ping, Ack, PingRequest, MembershipUpdate)

    def __init__(
        self, fleet: Fleet, settings: ClusterSettings, incarnation: int, rng: Random, now: float
    ) -> None:
        period_s = 1.0 / settings.pings_per_s
        suspicion_s = settings.bounds.suspicion_timeout_s * max(1.0, math.log10(fleet.size))
        transmissions = 4 * math.ceil(math.log10(fleet.size + 1))  # the formula of memberlist
        self._me = fleet.me
        self._members = MembershipTable([peer for peer in range(fleet.size) if peer != fleet.me], rng)
        self._gossip = GossipQueue(transmissions)
        self._health = LocalHealth(period_s, now)
        self._rules = SuspicionRules(
            fleet.me, incarnation, self._members, self._gossip, self._health, rng, period_s, suspicion_s
        )
        self._detector = FailureDetector(
            self._members, self._gossip, self._health, self._rules, rng, period_s, now
        )
        self._next_gossip = now

    @property
    def incarnation(self) -> int:
        """Returns this router's own incarnation, which increases with each refutation."""
        return self._rules.incarnation

    def state_of(self, peer: Peer) -> PeerState:
        """Returns a peer's state: ALIVE for this router itself, UNKNOWN for a number outside the fleet."""
        if peer == self._me:
            return PeerState.ALIVE
        record = self._members.get(peer)
        return record.state if record else PeerState.UNKNOWN

    def incarnation_of(self, peer: Peer) -> int:
        """Returns the highest known incarnation of a peer; 0 if none is known."""
        if peer == self._me:
            return self.incarnation
        record = self._members.get(peer)
        return record.incarnation if record else 0

    def alive_peers(self) -> list[Peer]:
        """Returns this router and all alive peers in ascending order, without suspects."""
        return sorted([self._me, *self._members.alive_peers()])

    @property
    def alive_count(self) -> int:
        """Returns the number of alive routers, including this one."""
        return 1 + self._members.alive_count

    def handle_datagram(self, sender: Peer, incarnation: int, now: float) -> list[Action]:
        """Handles the arrival of a datagram, which shows that its sender is alive."""
        self._compensate_stall(now)
        record = self._members.get(sender)
        if record is None or not is_valid_incarnation(incarnation):
            return []
        self._health.last_received_at = now
        if incarnation < record.incarnation:
            return []  # delayed, or the sender's clock was set back, which it corrects at the next `Ping`
        if incarnation == record.incarnation and record.state is PeerState.DEAD:
            # The sender was stalled or isolated. It has to refute its death, so that other peers learn of it
            # too.
            return self._rules.notify(sender, now)
        return self._rules.confirm_alive(sender, incarnation, now)

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        """Handles a ping, its acknowledgement, a request to ping, or a membership update."""
        self._compensate_stall(now)
        if self._members.get(sender) is None:
            return []
        match message:
            case Ping():
                return self._acknowledge(sender, message)
            case PingRequest() if self._members.get(message.peer) is not None and message.peer != sender:
                return self._detector.ping(message.peer, now, sender, message.number)
            case Ack():
                return self._detector.handle_ack(message, now)
            case MembershipUpdate():
                return self._rules.apply_update(message, now)
        return []

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        """Ignores the events of other components."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Runs the due probes, suspicions and gossip, and reports a change of this router's connectivity."""
        if not self._members:
            return []
        self._compensate_stall(now)
        actions = self._detector.tick(now)
        if self._gossip and self._next_gossip <= now:
            actions += self._send_gossip(now)
        change = self._health.detect_change(now)
        if change is not None:
            actions.append(change)
        return actions

    def due(self) -> float:
        """Returns when `tick` next has work; `NEVER` if the fleet has no other router."""
        if not self._members:
            return NEVER
        due = min(self._detector.next_due(), self._rules.next_due())
        if self._has_gossip_to_send():
            due = min(due, self._next_gossip)
        return due

    def _acknowledge(self, sender: Peer, ping: Ping) -> list[Action]:
        """Acknowledges a ping; if the ping names a higher incarnation of this router, refutes that first."""
        if self.incarnation < ping.known_incarnation and is_valid_incarnation(ping.known_incarnation):
            self._rules.refute(ping.known_incarnation)
        ack = Ack(ping.number, self._me, self.incarnation)
        return [SendMessage(sender, ack, Urgency.LEASE), *self._gossip.piggyback(sender)]

    def _has_gossip_to_send(self) -> bool:
        return bool(self._gossip) and self.alive_count > 1

    def _send_gossip(self, now: float) -> list[Action]:
        self._next_gossip = now + GOSSIP_INTERVAL_S
        actions: list[Action] = []
        for peer in self._members.sample_alive(GOSSIP_PEER_COUNT):
            actions += self._gossip.piggyback(peer)
        return actions

    def _compensate_stall(self, now: float) -> None:
        """Postpones all timers by the length of a stall of this process, during which it received nothing."""
        if not self._has_gossip_to_send():
            self._next_gossip = max(self._next_gossip, now)
        stall_s = now - self.due()
        if stall_s <= MIN_STALL_S:
            return
        self._health.worsen()
        self._health.shift_timers(stall_s)
        self._next_gossip += stall_s
        self._detector.shift_timers(stall_s)
        self._rules.shift_timers(stall_s)
