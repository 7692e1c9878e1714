"""The fleet's word on sources and caches: what several routers have seen of one in the last two seconds.

Each router tells what it has seen itself, never what it was told. A trouble goes to all at once; who is
served by a subject is silent until two have told a trouble of it, and then answers unless others' answers
outweigh it already. So nothing is told while all is well, and the word falls only after `SETTLE_S` in which
who is served could answer.

The word is a trouble that at least two routers have seen and that has more than half of the weight of all
those with fresh evidence on the subject. A router weighs 1 after one attempt and 2 after more with the same
end. None of it counts from who was served by no other member of that kind (it may be cut off itself), from
who is suspected or dead, from an earlier incarnation of the witness or an earlier start of the subject. Own
evidence is one voice as all others; being served oneself after the word fell overrules it here. The word only
moves the point at which a router begins its own trial; it opens and closes nothing.

Age. Clocks are not compared. The age of evidence is the age told plus the time since it came, both with the
clock drift, plus `TRANSIT_S`; what came in a stall of this process is older by the whole stall. It is weighed
whenever the word is asked for, so that nothing older than `bounds.evidence_s` is in it, provided that no
datagram is under way for more than `TRANSIT_S`.
"""

from dataclasses import dataclass, field
from typing import ClassVar

from paddlequay.cluster.messages import Evidence, PeerMessage
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import (
    NEVER,
    Action,
    Fault,
    Fleet,
    LocalEvent,
    NameDigest,
    Peer,
    PeerChanged,
    PeerState,
    SelfChanged,
    SendMessage,
    Urgency,
    VerdictChanged,
)
from paddlequay.placement.homes import digest

TRANSIT_S = 0.5  # in the sender's queue and on the way; evidence is used for that much less
SETTLE_S = 0.1  # for so long the weight has to be there before it is a word: time for answers
ANSWER_S = 0.05  # over so long the answers are spread, so that most find that enough has been said
GAP_S = 0.2  # between tells of one subject, whatever changes: five a second at most
REPEAT_S = 0.7  # between tells where nothing has changed: two in the time that evidence lives
POLL_S = 0.1  # how often an open question is looked at
WATCH_S = 0.25  # between ticks, so that a stall is seen
LATE_S = 0.1  # a tick later than that is a stall
WEIGHT_MOST = 2  # one attempt fails by chance, two in a row seldom; a busy router is not to outvote others
SUBJECTS_MOST = 256  # remembered; the list has fewer members near one router
WITNESSES_MOST = 64  # of a subject
PANEL = 48  # in larger fleets about so many speak on a subject: enough for a majority, and the bytes stay low
COUNT_MOST = 1 << 20
WITNESSES_LEAST = 2  # what one router has seen is its own business

DOWN = (Fault.FAILING, Fault.SILENT)


def alike(fault: int) -> int:
    """What speaks for the same word: one may find a dead member failing, the other silent; 0: it serves."""
    return Fault.FAILING if fault == Fault.SILENT else fault


@dataclass(frozen=True, slots=True)
class Word:
    """The fleet's word, as it counts for this router now."""

    fault: Fault
    witnesses: int
    age: float  # seconds, at most, of the oldest evidence in it


@dataclass(slots=True)
class _Seen:
    """What a router, this one or another, has seen."""

    incarnation: int
    start: int
    fault: int  # 0: served
    count: int
    at: float  # by this router's clock; of others, told age and drift are off already
    others: int


@dataclass(slots=True)
class _Subject:
    kind: str = ""
    start: int = 0  # of its life, as far as this router's list says
    own: _Seen | None = None
    served: float = -NEVER  # when it last served this router
    told: _Seen | None = None  # what was told last, with `at` when
    tell_at: float = NEVER
    said: dict[Peer, _Seen] = field(default_factory=dict)
    opened: float | None = None  # since when there are troubles enough for a word, whatever their weight
    since: float | None = None  # since when their weight is enough
    word: Fault | None = None  # as other parts know it
    until: float = 0.0


class Verdicts:
    """Implements `Part`; `saw` takes in this router's own attempts."""

    HANDLED_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (Evidence,)

    def __init__(self, fleet: Fleet, settings: ClusterSettings, now: float) -> None:
        self._fleet = fleet
        self._evidence = settings.bounds.evidence_s
        self._drift = 1.0 + settings.bounds.drift_ratio
        self._subjects: dict[NameDigest, _Subject] = {}  # the one touched last at the end
        self._active: set[NameDigest] = set()  # something is told, or still to tell
        self._incarnations: dict[Peer, int] = {}
        self._doubted: set[Peer] = set()
        self._cut = False
        self._ticked = now
        self._stale = (-NEVER, 0.0)  # until when what is read may have lain here, and for how long

    # --- what is asked ---

    def word(self, subject: NameDigest, now: float) -> Word | None:
        """None where there is no word, or this router has been served since it fell."""
        entry = self._subjects.get(subject)
        if entry is None or entry.since is None or now - entry.since < SETTLE_S:
            return None
        word = self._weigh(entry, now)
        own = entry.own
        if word is None or own is None or own.fault or now - own.at > self._evidence:
            return word
        return None if own.at > entry.since else word

    def earlier_skip(self, subject: NameDigest, now: float) -> bool:
        """Whether this router's trial and skip are to begin earlier than by its own count of failures."""
        word = self.word(subject, now)
        return word is not None and word.fault in DOWN

    # --- what this router sees itself ---

    def began(self, subject: NameDigest, start: int, now: float) -> list[Action]:
        """The list says that a subject has started anew: what was seen before says nothing of it."""
        entry = self._entry(subject)
        entry.start = max(entry.start, start)
        return self._settle(subject, entry, now)

    def saw(
        self, subject: NameDigest, start: int, kind: str, ok: bool, fault: Fault | None, now: float
    ) -> list[Action]:
        """An attempt has ended: `start` is the subject's by the list, `fault` may stand beside `ok`."""
        self._look(now)
        entry = self._entry(subject)
        own = entry.own
        if 0 < start < entry.start:
            return []  # it was begun with an earlier life
        entry.start = max(entry.start, start)
        found = int(fault) if fault is not None else 0 if ok else int(Fault.FAILING)
        entry.kind = kind
        if ok:
            entry.served = now
        goes_on = (
            own is not None
            and alike(own.fault) == alike(found)
            and own.start in (0, entry.start)
            and now - own.at <= self._evidence
        )
        count = min(own.count + 1, COUNT_MOST) if own is not None and goes_on else 1
        entry.own = _Seen(0, entry.start, found, count, now, 0)
        return self._tell(subject, entry, now) + self._settle(subject, entry, now)

    # --- Part ---

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        self._look(now)
        if (
            not isinstance(message, Evidence)
            or not 0 <= sender < self._fleet.size
            or sender == self._fleet.me
        ):
            return []
        known = self._incarnations.get(sender, 0)
        if incarnation < known or message.fault not in (0, *Fault) or message.count < 1:
            return []
        self._incarnations[sender] = incarnation
        lay = self._stale[1] if now <= self._stale[0] else 0.0
        at = now - (message.age_ms / 1000 + lay) * self._drift
        if now - at > self._evidence:
            return []
        entry = self._entry(message.subject)
        former = entry.said.get(sender)
        if former is not None and former.incarnation == incarnation and former.at > at:
            return []  # overtaken
        if former is None and len(entry.said) >= WITNESSES_MOST:
            del entry.said[min(entry.said, key=lambda peer: entry.said[peer].at)]
        entry.said[sender] = _Seen(
            incarnation, message.start, message.fault, message.count, at, message.others
        )
        if message.fault:
            self._active.add(message.subject)
        settled = self._settle(message.subject, entry, now)
        return self._tell(message.subject, entry, now) + settled

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        match event:
            case PeerChanged():
                known = self._incarnations.get(event.peer, 0)
                self._incarnations[event.peer] = max(known, event.incarnation)
                if event.state in (PeerState.SUSPECT, PeerState.DEAD):
                    self._doubted.add(event.peer)
                else:
                    self._doubted.discard(event.peer)
            case SelfChanged():
                self._cut = not (event.receives and event.reaches)
            case _:
                return []
        return self._all(now)

    def tick(self, now: float) -> list[Action]:
        self._look(now)
        self._ticked = now
        return self._all(now)

    def due(self) -> float:
        due = self._ticked + (POLL_S if self._active else WATCH_S)
        for name in self._active:
            entry = self._subjects[name]
            due = min(due, entry.tell_at)
            if entry.since is not None and entry.since + SETTLE_S > self._ticked:
                due = min(due, entry.since + SETTLE_S)
        return due

    # --- evidence ---

    def _all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for name in sorted(self._active):
            entry = self._subjects[name]
            actions += self._tell(name, entry, now) + self._settle(name, entry, now)
        return actions

    def _look(self, now: float) -> None:
        """What is read after a stall may have come at any time in it."""
        lay = now - self._ticked
        if lay > WATCH_S + LATE_S:
            self._stale = (now + WATCH_S, lay)
            self._ticked = now

    def _entry(self, subject: NameDigest) -> _Subject:
        entry = self._subjects.pop(subject, None)
        if entry is None:
            entry = _Subject()
            while len(self._subjects) >= SUBJECTS_MOST:
                oldest = next(iter(self._subjects))
                del self._subjects[oldest]
                self._active.discard(oldest)
        self._subjects[subject] = entry
        return entry

    def _others(self, entry: _Subject, now: float) -> int:
        """Members of the same kind that have served this router lately, and have not failed it since."""
        return sum(
            other is not entry
            and other.kind == entry.kind
            and now - other.served <= self._evidence
            and other.own is not None
            and other.own.fault not in DOWN
            for other in self._subjects.values()
        )

    def _voices(self, entry: _Subject, now: float) -> list[_Seen]:
        """All evidence that counts now; `at` of others with their way taken off."""
        told = {peer: seen for peer, seen in entry.said.items() if peer not in self._doubted}
        voices = [
            seen
            for peer, seen in told.items()
            if seen.incarnation >= self._incarnations.get(peer, 0) and self._age(seen, now) <= self._evidence
        ]
        if entry.own is not None and not self._cut and now - entry.own.at <= self._evidence:
            entry.own.others = self._others(entry, now)
            voices.append(entry.own)
        start = max([entry.start, *(seen.start for seen in voices)])
        return [
            seen
            for seen in voices
            if seen.start in (0, start) and (seen.others > 0 or seen.fault not in DOWN)
        ]

    def _age(self, seen: _Seen, now: float) -> float:
        return (now - seen.at) * self._drift + TRANSIT_S

    def _weigh(self, entry: _Subject, now: float) -> Word | None:
        """The rule: two witnesses and more than half of the weight."""
        voices = self._voices(entry, now)
        whole = sum(min(seen.count, WEIGHT_MOST) for seen in voices)
        for kind in {alike(seen.fault) for seen in voices if seen.fault}:
            witnesses = [seen for seen in voices if alike(seen.fault) == kind]
            weight = sum(min(seen.count, WEIGHT_MOST) for seen in witnesses)
            if len(witnesses) >= WITNESSES_LEAST and 2 * weight > whole:
                said = [seen.fault for seen in witnesses]
                age = max(now - seen.at if seen is entry.own else self._age(seen, now) for seen in witnesses)
                return Word(Fault(max(sorted(set(said)), key=said.count)), len(witnesses), age)
        return None

    def _settle(self, name: NameDigest, entry: _Subject, now: float) -> list[Action]:
        """Keep what the word rests on, and say where it changed for this router."""
        voices = self._voices(entry, now)
        if sum(seen.fault != 0 for seen in voices) < WITNESSES_LEAST:
            entry.opened = None
        elif entry.opened is None:
            entry.opened = now
        if self._weigh(entry, now) is None:
            entry.since = None
        elif entry.since is None:
            entry.since = now
        if entry.tell_at == NEVER and not any(seen.fault for seen in voices):
            self._active.discard(name)
        else:
            self._active.add(name)
        word = self.word(name, now)
        fault = word.fault if word is not None else None
        until = now + self._evidence - word.age if word is not None else 0.0
        if fault is entry.word and (now < entry.until - POLL_S or until <= entry.until):
            return []
        entry.word = fault
        entry.until = until
        return [VerdictChanged(name, fault, entry.until)]

    def _outweighed(self, entry: _Subject, now: float) -> bool:
        """Whether others have told that they are served, to twice the troubles' weight and more."""
        weight = [0, 0]
        for seen in self._voices(entry, now):
            if seen is not entry.own:
                weight[seen.fault != 0] += min(seen.count, WEIGHT_MOST)
        return weight[0] >= 2 * weight[1] + 2 * WEIGHT_MOST

    def _speaks(self, name: NameDigest) -> bool:
        size = self._fleet.size
        return size <= PANEL or digest(f"{name} {self._fleet.me}") % size < PANEL

    def _tell(self, name: NameDigest, entry: _Subject, now: float) -> list[Action]:
        """Tell own evidence, where it is news to others or an answer, and not too often."""
        own, told = entry.own, entry.told
        entry.tell_at = NEVER
        if own is None or self._cut or now - own.at > self._evidence - TRANSIT_S or not self._speaks(name):
            return []
        others = self._others(entry, now)
        if own.fault in DOWN and not others:
            return []  # it would convince nobody
        if told is not None and now - told.at > self._evidence - TRANSIT_S:
            told = None
        if not own.fault and (told is None or not told.fault):
            if entry.opened is None or self._outweighed(entry, now):
                return []
            answer_at = entry.opened + ANSWER_S * (digest(f"{self._fleet.me} {name}") % 1000) / 1000
            if now < answer_at:
                entry.tell_at = answer_at
                self._active.add(name)
                return []
        if told is not None:
            changed = (
                told.start != own.start
                or alike(told.fault) != alike(own.fault)
                or (own.fault and told.count < min(own.count, WEIGHT_MOST))
            )
            if not changed and own.at <= told.at:
                return []
            entry.tell_at = told.at + (GAP_S if changed else REPEAT_S)
            if now < entry.tell_at:
                self._active.add(name)
                return []
            entry.tell_at = NEVER
        else:
            changed = True
        entry.told = _Seen(0, own.start, own.fault, min(own.count, WEIGHT_MOST), now, others)
        age_ms = int((now - own.at) * 1000) + 1
        evidence = Evidence(name, own.start, own.fault, own.count, age_ms, others)
        return [SendMessage(None, evidence, Urgency.CHANGE if changed else Urgency.ROUTINE)]
