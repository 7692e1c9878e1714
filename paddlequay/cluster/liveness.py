"""Who of the fleet is alive: SWIM (Das, Gupta, Motivala 2002) with a local health as Lifeguard has it.

Every period one other router is asked, each in turn in a random order; without an answer others are asked to
ask it, then it is suspected, and where it does not speak up in the suspicion's time it is held to be dead.
What has changed rides on other datagrams and goes to a few others at once, a bounded number of times. Any
datagram is a sign of life. A router that nobody answers judges nobody: its suspicions stay its own and end in
no death, which also means that of a fleet of two the one left over only suspects. Time in which this process
stood still counts for nothing.

An incarnation is `first_incarnation(Unix ms)` and grows with each refutation; those of one process share
their `life`, so that a restart is told from a stall.
"""

import math
from dataclasses import dataclass
from random import Random
from typing import ClassVar

from paddlequay.cluster.members import INCARNATION_MOST, Member, Members, News, Questions, life, outdone
from paddlequay.cluster.messages import Ack, MembershipUpdate, PeerMessage, Ping, PingFor
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import (
    NEVER,
    Action,
    Fleet,
    LocalEvent,
    Peer,
    PeerState,
    SelfChanged,
    SendMessage,
    Urgency,
)

HELPERS = 3  # asked to ask in one's place: at 20 % loss one of three answers in four of five cases
TRIES = 3  # pings to one peer in a period, the latter with helpers: 20 % loss alone suspects 2 in 1000
RETRIES = 5  # in a suspicion; two of them by those who were told of it
GOSSIP_S = 0.2  # news waits no longer for a datagram to ride on (memberlist's interval, and its three peers)
GOSSIP_TO = 3
HELLO_PER_S = 50  # pings of a starting router until all were asked: 4 s in a fleet of 200
HELLO_ROUNDS = 2
LOST_EVERY = 4  # periods between pings to one that is dead or unknown, so that parted fleets find together
CUT_PERIODS = 2.5  # without any datagram, or any answer, this router is cut off: two whole rounds
LATE_S = 0.1  # a tick later than that is a stall; a loaded event loop stays under it
HEALTH_MOST = 7  # waits are at most 8 times as long, as Lifeguard has it

_WORDS = {1: PeerState.ALIVE, 2: PeerState.SUSPECT, 3: PeerState.DEAD}


@dataclass(slots=True)
class _Probe:
    peer: Peer
    sent: float
    tries: int
    next: float
    answered: bool = False


class Liveness:
    """Which peers are alive, and whether this router is cut off; implements `Part`.

    `seen` is to be called for each datagram, before its messages go to `handle_message`; the head of
    each datagram that is sent carries `incarnation` as it stands then.
    """

    HANDLED_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (Ping, Ack, PingFor, MembershipUpdate)

    def __init__(
        self, fleet: Fleet, settings: ClusterSettings, incarnation: int, rng: Random, now: float
    ) -> None:
        self.incarnation = incarnation
        self._me = fleet.me
        self._rng = rng
        self._period = 1.0 / settings.pings
        self._suspect_s = settings.bounds.suspect_s * max(1.0, math.log10(fleet.size))
        others = [peer for peer in range(fleet.size) if peer != fleet.me]
        self._members = Members(others, rng)
        self._news = News(4 * math.ceil(math.log10(fleet.size + 1)))  # memberlist's bound
        self._questions = Questions(self._period * (1 + HEALTH_MOST), rng.getrandbits(48))
        self._hello = [peer for _ in range(HELLO_ROUNDS) for peer in rng.sample(others, len(others))]
        self._probe: _Probe | None = None
        self._health = 0
        self._periods = 0
        self._next_hello = now
        self._next_ping = now + rng.random() * self._period
        self._next_gossip = now
        self._heard_at = self._reached_at = now
        self._self = (True, True)

    # --- what is asked ---

    def state_of(self, peer: Peer) -> PeerState:
        """What is believed of a peer; this router is alive to itself, numbers outside the fleet unknown."""
        if peer == self._me:
            return PeerState.ALIVE
        member = self._members.get(peer)
        return member.state if member else PeerState.UNKNOWN

    def incarnation_of(self, peer: Peer) -> int:
        """The highest incarnation known of a peer, 0 none."""
        if peer == self._me:
            return self.incarnation
        member = self._members.get(peer)
        return member.incarnation if member else 0

    def alive(self) -> list[Peer]:
        """This router and those that are alive; suspects are not among them."""
        return sorted([self._me, *self._members.alive()])

    @property
    def count_alive(self) -> int:
        return 1 + self._members.count_alive

    # --- Part ---

    def seen(self, sender: Peer, incarnation: int, now: float) -> list[Action]:
        """A datagram came, whatever is in it."""
        self._woken(now)
        actions: list[Action] = []
        member = self._members.get(sender)
        if member is None or not 0 < incarnation <= INCARNATION_MOST:
            return actions
        self._heard_at = now
        if incarnation < member.incarnation:
            return actions  # delayed, or it has a clock set back; `Ping` tells it
        if incarnation == member.incarnation and member.state is PeerState.DEAD:
            # It was stopped or cut off: it is to refute, so that all others take it back as well.
            return actions + self._warn(sender, now)
        return actions + self._lives(sender, incarnation, now)

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        self._woken(now)
        actions: list[Action] = []
        if self._members.get(sender) is None:
            return actions
        match message:
            case Ping():
                if self.incarnation < message.about <= INCARNATION_MOST:
                    self._outdo(message.about)
                answer = Ack(message.number, self._me, self.incarnation)
                actions.append(SendMessage(sender, answer, Urgency.LEASE))
                actions += self._news.riders(sender)
            case PingFor():
                if self._members.get(message.peer) is not None and message.peer != sender:
                    actions += self._ping(message.peer, now, sender, message.number)
            case Ack():
                actions += self._acked(message, now)
            case MembershipUpdate():
                actions += self._told(message, now)
        return actions

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        return []

    def tick(self, now: float) -> list[Action]:
        if not self._members:
            return []
        self._woken(now)
        actions: list[Action] = []
        while self._hello and self._next_hello <= now:
            peer = self._hello.pop()
            self._next_hello += 1.0 / HELLO_PER_S
            if self._members[peer].state is PeerState.UNKNOWN:
                actions += self._ping(peer, now)
        if self._probe is not None and self._probe.next <= now:
            actions += self._probe_on(self._probe, now)
        if self._next_ping <= now and self._probe is None:
            actions += self._turn(now)
        for peer in sorted(self._members.suspects):
            actions += self._suspected(peer, self._members[peer], now)
        if self._news and self._next_gossip <= now:
            self._next_gossip = now + GOSSIP_S
            for peer in self._members.some(GOSSIP_TO):
                actions += self._news.riders(peer)
        patient = CUT_PERIODS * self._period * (1 + self._health)
        state = (now - self._heard_at <= patient, now - self._reached_at <= patient)
        if state != self._self:
            self._self = state
            actions.append(SelfChanged(*state))
        return actions

    def due(self) -> float:
        if not self._members:
            return NEVER
        due = self._next_ping if self._probe is None else self._probe.next
        if self._hello:
            due = min(due, self._next_hello)
        if self._news and self.count_alive > 1:
            due = min(due, self._next_gossip)
        for peer in self._members.suspects:
            due = min(due, self._members[peer].until, self._members[peer].retry)
        return due

    # --- asking ---

    def _ping(self, peer: Peer, now: float, asker: Peer | None = None, number: int = 0) -> list[Action]:
        ping = Ping(self._questions.ask(peer, now, asker, number), self._members[peer].incarnation)
        return [SendMessage(peer, ping, Urgency.CHANGE), *self._news.riders(peer)]

    def _ping_about(self, peer: Peer, now: float) -> list[Action]:
        """Ask directly and through others; their own answers tell whether this router is cut off."""
        actions = self._ping(peer, now)
        number = self._questions.last
        for helper in self._members.some(HELPERS, but=peer):
            actions.append(SendMessage(helper, PingFor(number, peer), Urgency.CHANGE))
            actions += self._ping(helper, now)
        return actions

    def _turn(self, now: float) -> list[Action]:
        """Begin a period."""
        actions: list[Action] = []
        self._next_ping = now + self._period
        self._periods += 1
        if self._members.lost and not self._hello and self._periods % LOST_EVERY == 0:
            lost = self._rng.choice(sorted(self._members.lost))
            actions += self._ping(lost, now)
            if self._members[lost].state is PeerState.DEAD:
                actions += self._warn(lost, now)
        peer = self._members.turn()
        if peer is not None:
            wait = self._period * (1 + self._health) / (TRIES + 0.5)
            self._probe = _Probe(peer, now, 1, now + wait)
            actions += self._ping(peer, now)
        return actions

    def _probe_on(self, probe: _Probe, now: float) -> list[Action]:
        """The peer asked has had its time: ask again, or suspect it."""
        member = self._members[probe.peer]
        if probe.answered or member.state is not PeerState.ALIVE:
            self._probe = None
            self._health = max(0, self._health - probe.answered)
            return []
        if probe.tries < TRIES:
            probe.tries += 1
            probe.next = now + self._period * (1 + self._health) / (TRIES + 0.5)
            return self._ping_about(probe.peer, now)
        self._probe = None
        if member.seen >= probe.sent:
            return []  # it lives, though this router does not reach it
        if self._reached_at >= probe.sent:
            # Where nobody at all has answered, telling of it would only make the whole fleet refute.
            self._news.spread(MembershipUpdate(probe.peer, member.incarnation, 2, self._me))
        return self._suspect(probe.peer, member, now, own=True)

    def _acked(self, message: Ack, now: float) -> list[Action]:
        if not 0 < message.incarnation <= INCARNATION_MOST:
            return []
        asked = self._questions.answered(message.number, message.peer)
        if asked is None:
            return []
        if asked.asker is not None:
            ack = Ack(asked.number, message.peer, message.incarnation)
            return [SendMessage(asked.asker, ack, Urgency.LEASE), *self._news.riders(asked.asker)]
        if now - self._reached_at > 2 * self._period:
            # This router was cut off for a while: what the suspects may have said then is lost too.
            for peer in self._members.suspects:
                waiting = self._members[peer]
                waiting.until = max(waiting.until, now + self._suspicion())
        self._reached_at = now
        if self._probe is not None and self._probe.peer == message.peer:
            self._probe.answered = True
        member = self._members[message.peer]
        if message.incarnation < member.incarnation:
            return []
        if message.incarnation == member.incarnation and member.state is PeerState.DEAD:
            return self._warn(message.peer, now)
        return self._lives(message.peer, message.incarnation, now)

    # --- what is believed ---

    def _suspicion(self) -> float:
        return self._suspect_s * (1 + self._health)

    def _lives(self, peer: Peer, incarnation: int, now: float) -> list[Action]:
        member = self._members[peer]
        anew = life(incarnation) != life(member.incarnation)
        refuted = incarnation != member.incarnation and not anew
        member.incarnation = incarnation
        member.seen = now
        if refuted:
            self._news.spread(MembershipUpdate(peer, incarnation, 1, peer))
        if member.state is PeerState.ALIVE and not anew:
            return []
        if not refuted:
            self._news.drop(peer)
        return [self._members.stand(peer, PeerState.ALIVE)]

    def _suspect(self, peer: Peer, member: Member, now: float, own: bool) -> list[Action]:
        actions: list[Action] = [self._members.stand(peer, PeerState.SUSPECT)]
        wait = self._suspicion()
        member.began = now
        member.until = now + wait
        # Who was told only asks where the refutation, which goes the same way, has not come in half the time.
        member.retry = now if own else now + wait * self._rng.uniform(0.5, 0.7)
        member.own = own
        return actions

    def _suspected(self, peer: Peer, member: Member, now: float) -> list[Action]:
        actions: list[Action] = []
        if member.until <= now:
            if self._reached_at < max(member.began, now - 2 * self._period):
                member.until = now + self._period / 4
                return actions
            self._news.spread(MembershipUpdate(peer, member.incarnation, 3, self._me))
            return [self._members.stand(peer, PeerState.DEAD)]
        if member.retry <= now:
            member.retry = now + self._suspicion() / RETRIES
            actions += self._ping_about(peer, now) if member.own else self._ping(peer, now)
            if self._reached_at >= member.began:
                actions.append(
                    SendMessage(peer, MembershipUpdate(peer, member.incarnation, 2, self._me), Urgency.CHANGE)
                )
        return actions

    def _warn(self, peer: Peer, now: float) -> list[Action]:
        """Tell a peer what is said of it, so that it refutes."""
        member = self._members[peer]
        if now - member.warned < self._period / 2:
            return []
        member.warned = now
        said = 3 if member.state is PeerState.DEAD else 2
        return [SendMessage(peer, MembershipUpdate(peer, member.incarnation, said, self._me), Urgency.CHANGE)]

    def _told(self, message: MembershipUpdate, now: float) -> list[Action]:
        state = _WORDS.get(message.state)
        if state is None or not 0 < message.incarnation <= INCARNATION_MOST:
            return []
        if message.peer == self._me:
            behind = message.incarnation > self.incarnation
            if behind or (message.incarnation == self.incarnation and state is not PeerState.ALIVE):
                self._outdo(message.incarnation)
            return []
        member = self._members.get(message.peer)
        if member is None or message.incarnation < member.incarnation:
            return []
        newer = message.incarnation > member.incarnation
        if state is PeerState.ALIVE:
            if not newer:
                return []
            return self._lives(message.peer, message.incarnation, now)
        if not newer:
            if member.state in (PeerState.DEAD, state):
                return []
            if now - member.seen <= self._period / 2:
                return self._warn(message.peer, now)  # this router knows better: it has heard it just now
        member.incarnation = message.incarnation
        self._news.spread(message)
        if state is PeerState.SUSPECT:
            return self._suspect(message.peer, member, now, own=False)
        return [self._members.stand(message.peer, PeerState.DEAD)]

    def _outdo(self, incarnation: int) -> None:
        """Refute what is said of this router, or a number that it has had in an earlier life."""
        self.incarnation = outdone(self.incarnation, incarnation)
        self._health = min(HEALTH_MOST, self._health + 1)
        self._news.spread(MembershipUpdate(self._me, self.incarnation, 1, self._me))

    # --- this process's own health ---

    def _woken(self, now: float) -> None:
        """After a stall no wait has run: nobody could have been heard in it."""
        if not self._news or self.count_alive == 1:
            self._next_gossip = max(self._next_gossip, now)  # nothing is told yet that could be late
        late = now - self.due()
        if late <= LATE_S:
            return
        self._health = min(HEALTH_MOST, self._health + 1)
        self._heard_at += late
        self._reached_at += late
        self._next_ping += late
        self._next_gossip += late
        self._next_hello += late
        if self._probe is not None:
            self._probe.sent += late
            self._probe.next += late
        for peer in self._members.suspects:
            self._members[peer].began += late
            self._members[peer].until += late
            self._members[peer].retry += late
