"""The rules by which a peer becomes alive, suspect or dead, and by which updates spread and are refuted.

A suspicion lasts long enough for the suspect to refute it with a higher incarnation. A router whose pings no
peer acknowledges may be isolated itself, so it declares no peer dead and does not spread its suspicions.
"""

from random import Random

from paddlequay.cluster.gossip import GossipQueue
from paddlequay.cluster.incarnations import is_valid_incarnation, process_start_ms, refuting_incarnation
from paddlequay.cluster.local_health import LocalHealth
from paddlequay.cluster.members import MembershipTable, PeerRecord
from paddlequay.cluster.messages import MembershipUpdate
from paddlequay.cluster.types import NEVER, Action, Peer, PeerState, SendMessage, Urgency

STATE_NUMBERS = {PeerState.ALIVE: 1, PeerState.SUSPECT: 2, PeerState.DEAD: 3}  # in a `MembershipUpdate`
STATES = {number: state for state, number in STATE_NUMBERS.items()}


class SuspicionRules:
    """Owns this router's incarnation and applies the rules to the membership table.

    `period_s` is the time between two probes, `suspicion_s` the time from suspicion to death at a health
    score of 0.
    """

    def __init__(
        self,
        me: Peer,
        incarnation: int,
        members: MembershipTable,
        gossip: GossipQueue,
        health: LocalHealth,
        rng: Random,
        period_s: float,
        suspicion_s: float,
    ) -> None:
        self._me = me
        self.incarnation = incarnation
        self._members = members
        self._gossip = gossip
        self._health = health
        self._rng = rng
        self._period_s = period_s
        self._suspicion_s = suspicion_s

    @property
    def suspicion_s(self) -> float:
        """Returns the seconds from suspicion to death at this router's current health."""
        return self._suspicion_s * self._health.wait_factor

    def make_update(self, peer: Peer, state: PeerState) -> MembershipUpdate:
        """Returns an update, reported by this router, that a peer has a state in its known incarnation."""
        return MembershipUpdate(peer, self._members[peer].incarnation, STATE_NUMBERS[state], self._me)

    def refute(self, reported_incarnation: int) -> None:
        """Raises this router's incarnation above one that a peer reported, and spreads that it is alive."""
        self.incarnation = refuting_incarnation(self.incarnation, reported_incarnation)
        self._health.worsen()
        alive = MembershipUpdate(self._me, self.incarnation, STATE_NUMBERS[PeerState.ALIVE], self._me)
        self._gossip.enqueue(alive)

    def confirm_alive(self, peer: Peer, incarnation: int, now: float) -> list[Action]:
        """Marks a peer as alive in its known incarnation or a higher one."""
        record = self._members[peer]
        restarted = process_start_ms(incarnation) != process_start_ms(record.incarnation)
        refuted = incarnation != record.incarnation and not restarted
        record.incarnation = incarnation
        record.last_seen = now
        if refuted:
            self._gossip.enqueue(MembershipUpdate(peer, incarnation, STATE_NUMBERS[PeerState.ALIVE], peer))
        if record.state is PeerState.ALIVE and not restarted:
            return []
        if not refuted:
            self._gossip.discard(peer)
        return [self._members.change_state(peer, PeerState.ALIVE)]

    def suspect(self, peer: Peer, now: float, suspected_here: bool) -> list[Action]:
        """Starts a suspicion of a peer, whose probe failed here or which an update reports."""
        event = self._members.change_state(peer, PeerState.SUSPECT)
        record = self._members[peer]
        record.suspected_at = now
        record.dead_at = now + self.suspicion_s
        record.suspected_here = suspected_here
        record.next_probe_at = now
        if not suspected_here:
            # A refutation spreads in the same way as the suspicion: ping only if none has arrived by then.
            record.next_probe_at = now + self.suspicion_s * self._rng.uniform(0.5, 0.7)
        return [event]

    def may_declare_dead(self, record: PeerRecord, now: float) -> bool:
        """Returns whether a peer acknowledged this router since the suspicion and within two periods."""
        return self._health.last_acknowledged_at >= max(record.suspected_at, now - 2 * self._period_s)

    def end_suspicion(self, peer: Peer, now: float) -> list[Action]:
        """Declares a suspect dead, or waits while this router may be isolated itself."""
        record = self._members[peer]
        if not self.may_declare_dead(record, now):
            record.dead_at = now + self._period_s / 4
            return []
        self._gossip.enqueue(self.make_update(peer, PeerState.DEAD))
        return [self._members.change_state(peer, PeerState.DEAD)]

    def prolong_suspicions(self, now: float) -> None:
        """Gives all suspects the full time to refute: this router was isolated and lost refutations."""
        for peer in self._members.suspects:
            record = self._members[peer]
            record.dead_at = max(record.dead_at, now + self.suspicion_s)

    def notify(self, peer: Peer, now: float) -> list[Action]:
        """Tells a peer that it is considered suspect or dead, so that it refutes; at most twice a period."""
        record = self._members[peer]
        if now - record.notified_at < self._period_s / 2:
            return []
        record.notified_at = now
        reported = PeerState.DEAD if record.state is PeerState.DEAD else PeerState.SUSPECT
        return [SendMessage(peer, self.make_update(peer, reported), Urgency.CHANGE)]

    def apply_update(self, update: MembershipUpdate, now: float) -> list[Action]:
        """Applies an update about a peer or about this router itself."""
        state = STATES.get(update.state)
        if state is None or not is_valid_incarnation(update.incarnation):
            return []
        if update.peer == self._me:
            self._apply_update_about_self(update.incarnation, state)
            return []
        record = self._members.get(update.peer)
        if record is None or update.incarnation < record.incarnation:
            return []
        if state is PeerState.ALIVE:
            if update.incarnation == record.incarnation:
                return []
            return self.confirm_alive(update.peer, update.incarnation, now)
        return self._apply_suspect_or_dead(update, state, record, now)

    def _apply_update_about_self(self, incarnation: int, state: PeerState) -> None:
        is_higher = incarnation > self.incarnation
        is_suspected = incarnation == self.incarnation and state is not PeerState.ALIVE
        if is_higher or is_suspected:
            self.refute(incarnation)

    def _apply_suspect_or_dead(
        self, update: MembershipUpdate, state: PeerState, record: PeerRecord, now: float
    ) -> list[Action]:
        """Applies an update that a peer is suspect or dead in its known incarnation or a higher one."""
        if update.incarnation == record.incarnation:
            if record.state in (PeerState.DEAD, state):
                return []
            recently_seen = now - record.last_seen <= self._period_s / 2
            if recently_seen:
                return self.notify(update.peer, now)
        record.incarnation = update.incarnation
        self._gossip.enqueue(update)
        if state is PeerState.SUSPECT:
            return self.suspect(update.peer, now, suspected_here=False)
        return [self._members.change_state(update.peer, PeerState.DEAD)]

    def next_due(self) -> float:
        """Returns when the next suspect is to be pinged or declared dead."""
        due = NEVER
        for peer in self._members.suspects:
            record = self._members[peer]
            due = min(due, record.dead_at, record.next_probe_at)
        return due

    def shift_timers(self, seconds: float) -> None:
        """Postpones the timers of suspicions by the length of a stall of this process."""
        for peer in self._members.suspects:
            record = self._members[peer]
            record.suspected_at += seconds
            record.dead_at += seconds
            record.next_probe_at += seconds
