"""One membership from sources that may disagree, fall silent, lose half of a fleet, or flap.

Each source reports words: an id at an address, and its state. Words about one address are about one box,
whatever ids they use, so that a drain told under the list's id holds against a record under DNS's. The
rule, in its order:

1. `drain`: a drain or an end that any source has told holds at once, until that same source says otherwise.
2. `authority`: a box is taken in only on the word of a source that may add.
3. `kept`: a source that has fallen silent keeps its word for `keep` seconds; then its boxes leave one by one.
4. `mass`: where a source's report leaves out more than `mass_share` of its boxes within `mass_window`
seconds, they
   stay until it has left them out for `confirm` seconds, as an empty answer is likelier a fault than a
   fleet that vanished. A drain or an end that is told is no omission.
5. `flapping`: a box that has come and gone `flaps` times within `flap_window` is taken in again only after
a pause,
   twice as long each time.
6. `address`: where sources place one id at two addresses, the first source in order is believed.

A change costs what it touches: nothing here walks through all members but `snapshot`.
"""

import heapq
import math
from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from paddlequay.routing.interface import MemberState

Address = tuple[str, int]

ENDED_MOST = 20_000  # ends that are remembered, the latest
FLAPS_MOST = 20_000


@dataclass(frozen=True, slots=True)
class Box:
    """What a source says of one member. `started` is Unix seconds; None where the source does not know."""

    id: str
    address: Address
    kind: str | None = None
    zone: str | None = None
    cell: int | None = None
    weight: float | None = None
    started: float | None = None
    state: MemberState = MemberState.READY


@dataclass(frozen=True, slots=True)
class Rule:
    """How a source is believed. Sources are ordered: the first one wins where two tell different things."""

    name: str
    adds: bool = True
    keep: float = 300.0  # seconds for which its word holds once it has fallen silent
    silent: float = 10.0  # seconds without a sign of life after which it is silent


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds and times in seconds, shares in 0 to 1."""

    members: int = 20_000  # words of one source
    mass_share: float = 0.3
    mass_window: float = 10.0
    mass_least: int = 3  # fewer boxes than these are no mass
    confirm: float = 30.0
    decay: float = 2.0  # between two boxes that leave as their source's word has run out
    flaps: int = 3
    flap_window: float = 60.0
    flap_pause: float = 5.0
    flap_pause_most: float = 300.0


@dataclass(slots=True, eq=False)
class Word:
    """One source's word about one id."""

    box: Box
    source: str
    at: float
    missing_since: float | None = None  # left out by its source, not yet believed


@dataclass(frozen=True, slots=True)
class Change:
    """What the exchange and the pool are to know: a box as it is now; `GONE` where it left."""

    box: Box
    rule: str
    why: str


@dataclass(slots=True)
class Source:
    """What is known of one source."""

    rule: Rule
    place: int
    heard: float = -math.inf
    reported: bool = False
    words: dict[str, Word] = field(default_factory=dict)
    left_out: deque[tuple[float, str]] = field(default_factory=deque)
    refused: int = 0
    decayed_at: float = -math.inf


@dataclass(slots=True)
class Flaps:
    """When a box came and went lately, and until when it is kept out for that."""

    at: deque[float] = field(default_factory=deque)
    pause: float = 0.0
    until: float = -math.inf


def replace_state(word: Word, state: MemberState) -> Word:
    return Word(replace(word.box, state=state), word.source, word.at)


class TooManyError(ValueError):
    """More members than are kept; the report is not taken."""


class Membership:
    """The members that hold now, and why."""

    def __init__(self, rules: Iterable[Rule], limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self.sources = {rule.name: Source(rule, place) for place, rule in enumerate(rules)}
        self.at: dict[Address, dict[tuple[str, str], Word]] = {}  # words by address, then source and id
        self.places: dict[str, set[Address]] = {}  # where an id is placed by any source
        self.members: dict[Address, Change] = {}  # what was told last; never one that is gone
        self.names: dict[str, Address] = {}  # which address a told id stands for
        self.ended: OrderedDict[tuple[str, str], Word] = OrderedDict()  # by source and id
        self.ends: dict[Address, dict[tuple[str, str], Word]] = {}  # the same by address
        self.flaps: OrderedDict[Address, Flaps] = OrderedDict()
        self.due: list[tuple[float, int, Address]] = []
        self.serial = 0
        self.recovered: dict[str, Box] = {}  # from the last run, by id: their age is known
        self.began: float | None = None

    # --- what sources say ---

    def report(self, source: str, boxes: Iterable[Box], full: bool, now: float) -> list[Change]:
        """News of a source: changes, or (`full`) all it knows. TooManyError leaves everything as it was."""
        self.began = now if self.began is None else self.began
        from_ = self.sources[source]
        boxes = tuple(boxes)
        ids = {box.id for box in boxes}
        new = sum(id not in from_.words for id in ids)
        if (len(ids) if full else len(from_.words) + new) > self.limits.members:
            from_.refused += 1
            raise TooManyError(f"{source}: more than {self.limits.members} members")
        from_.heard = now
        touched: dict[Address, None] = {}
        for box in boxes:
            self.say(from_, box, now, touched)
        if full:
            self.leave_out([id for id in from_.words if id not in ids], from_, now, touched)
        from_.reported = True
        return self.settle(touched, now)

    def alive(self, source: str, now: float) -> list[Change]:
        """A sign of life without news: what the source said holds."""
        self.sources[source].heard = now
        return self.tick(now)

    def say(self, source: Source, box: Box, now: float, touched: dict[Address, None]) -> None:
        key = (source.rule.name, box.id)
        known = source.words.get(box.id)
        # What one source says of an id may bind where others place it.
        touched.update(dict.fromkeys(self.places.get(box.id, ())))
        if box.state is MemberState.REMOVED:
            # The end is remembered at the address that the source had told, or tells with it.
            at = known.box if known is not None else box
            if known is not None:
                self.drop(known, source, touched)
            self.end(key, Word(replace(at, state=MemberState.REMOVED), source.rule.name, now))
            touched[at.address] = None
            return
        ended = self.ended.get(key)
        if ended is not None:
            touched[ended.box.address] = None
            self.take_back(key)
        if known is not None and known.box == box and known.missing_since is None:
            known.at = now
            return
        if known is not None:
            self.take_off(known, touched)
        word = source.words[box.id] = Word(box, source.rule.name, now)
        self.at.setdefault(box.address, {})[key] = word
        self.places.setdefault(box.id, set()).add(box.address)
        touched[box.address] = None

    def end(self, key: tuple[str, str], word: Word) -> None:
        self.take_back(key)
        self.ended[key] = word
        self.ends.setdefault(word.box.address, {})[key] = word
        while len(self.ended) > ENDED_MOST:
            self.take_back(next(iter(self.ended)))

    def take_back(self, key: tuple[str, str]) -> None:
        word = self.ended.pop(key, None)
        if word is not None:
            here = self.ends[word.box.address]
            del here[key]
            if not here:
                del self.ends[word.box.address]

    def take_off(self, word: Word, touched: dict[Address, None]) -> None:
        """A word no longer stands at its address. Elsewhere the same id may have waited for that."""
        touched.update(dict.fromkeys(self.places.get(word.box.id, ())))
        address, id = word.box.address, word.box.id
        here = self.at.get(address, {})
        here.pop((word.source, id), None)
        if not here:
            self.at.pop(address, None)
        if not any(other == id for _, other in here):
            places = self.places.get(id)
            if places is not None:
                places.discard(address)
                if not places:
                    del self.places[id]
        touched[address] = None

    def leave_out(self, ids: list[str], source: Source, now: float, touched: dict[Address, None]) -> None:
        """Words that a whole report does not repeat: gone, or held where too many are."""
        limits = self.limits
        window = source.left_out
        while window and now - window[0][0] > limits.mass_window:
            window.popleft()
        fresh = [id for id in ids if source.words[id].missing_since is None]
        many = len(window) + len(fresh)
        of = max(1, len(source.words) + sum(id not in source.words for _, id in window))
        mass = many >= limits.mass_least and many > limits.mass_share * of
        window.extend((now, id) for id in fresh)
        for id in ids:
            word = source.words[id]
            if word.missing_since is None:
                word.missing_since = now
            if mass or word.missing_since < now:
                # Held: a later report that leaves it out as well confirms it, once enough time has passed.
                if now - word.missing_since >= limits.confirm:
                    self.drop(word, source, touched)
                else:
                    self.later(word.missing_since + limits.confirm, word.box.address)
                    touched[word.box.address] = None
            else:
                self.drop(word, source, touched)

    def drop(self, word: Word, source: Source, touched: dict[Address, None]) -> None:
        """A word is over. A drain that its source no longer names was no return to work: it ends the box."""
        del source.words[word.box.id]
        self.take_off(word, touched)
        if word.box.state is MemberState.DRAINING:
            self.end((word.source, word.box.id), replace_state(word, MemberState.REMOVED))

    # --- what holds ---

    def live(self, source: Source, now: float) -> bool:
        return now - source.heard <= source.rule.silent

    def tick(self, now: float) -> list[Change]:
        """What time alone changes: words that run out, pauses that end, what is confirmed."""
        touched: dict[Address, None] = {}
        while self.due and self.due[0][0] <= now:
            touched[heapq.heappop(self.due)[2]] = None
        for source in self.sources.values():
            rule = source.rule
            over = source.heard + rule.silent + rule.keep
            if source.words and now > over and now - source.decayed_at >= self.limits.decay:
                # One by one: who only this source knew leaves slowly, and none in the same moment elsewhere.
                source.decayed_at = now
                self.drop(source.words[next(iter(source.words))], source, touched)
        return self.settle(touched, now)

    def later(self, when: float, address: Address) -> None:
        self.serial += 1
        heapq.heappush(self.due, (when, self.serial, address))

    def settle(self, touched: dict[Address, None], now: float) -> list[Change]:
        """Decide anew for each address that something was said about. Who leaves is told before who comes."""
        after = {address: self.decide(address, now) for address in touched}
        gone: dict[str, Change] = {}
        for address, change in after.items():
            before = self.members.get(address)
            if before is not None and (change is None or change.box.id != before.box.id):
                del self.members[address], self.names[before.box.id]
                rule, why = self.reason(address, now) if change is None else (change.rule, change.why)
                gone[before.box.id] = Change(replace(before.box, state=MemberState.REMOVED), rule, why)
                self.flapped(address, now)
        come = []
        for address, change in after.items():
            if change is None or self.names.get(change.box.id, address) != address:
                continue
            before = self.members.get(address)
            self.names[change.box.id] = address
            self.members[address] = change
            if before is None:
                self.flapped(address, now)
            if before is None or before.box != change.box:
                gone.pop(change.box.id, None)  # it has moved, and is told at its new address only
                come.append(change)
        return [*gone.values(), *come]

    def decide(self, address: Address, now: float) -> Change | None:
        """What holds for an address now; None where nothing stands there."""
        words = self.ordered(address)
        adding = [word for word in words if self.sources[word.source].rule.adds]
        if not adding:
            return None
        first = adding[0]
        if self.shadowed(first, address):
            return None
        out, rule, why = MemberState.READY, "authority", f"{first.source} says so"
        for word in self.about(address, words):
            if word.box.state is MemberState.DRAINING:
                out, rule, why = MemberState.DRAINING, "drain", f"{word.source} drains {word.box.id}"
        if next(self.ends_at(address, words), None) is not None:
            return None
        if address not in self.members:
            flaps = self.flaps.get(address)
            if flaps is not None and now < flaps.until:
                self.later(flaps.until, address)
                return None
        if rule == "authority" and first.missing_since is not None:
            rule, why = "mass", f"{first.source} leaves it out since {now - first.missing_since:.0f} s"
        elif rule == "authority" and not self.live(self.sources[first.source], now):
            rule, why = (
                "kept",
                f"{first.source} is silent since {now - self.sources[first.source].heard:.0f} s",
            )
        box = replace(first.box, state=out, started=self.age(first, address, now))
        told = self.members.get(address)
        if told is not None and told.box == box:
            return replace(told, rule=rule, why=why)
        return Change(box, rule, why)

    def ordered(self, address: Address) -> list[Word]:
        words = self.at.get(address, {}).values()
        return sorted(words, key=lambda word: (self.sources[word.source].place, word.box.id))

    def about(self, address: Address, words: list[Word]) -> Iterator[Word]:
        """Words at an address, and those of other sources about the same ids wherever they place them."""
        yield from words
        for id in {word.box.id for word in words}:
            for source in self.sources.values():
                word = source.words.get(id)
                if word is not None and word.box.address != address:
                    yield word

    def ends_at(self, address: Address, words: list[Word]) -> Iterator[Word]:
        """Ends that hold here, by address or by id; a source that names another box here has taken its own
        back."""
        naming = {word.source for word in words}
        found = dict(self.ends.get(address, {}))
        for id in {word.box.id for word in words}:
            for name in self.sources:
                word = self.ended.get((name, id))
                if word is not None:
                    found[name, id] = word
        for (source, _), word in found.items():
            if source not in naming:
                yield word

    def shadowed(self, word: Word, address: Address) -> bool:
        """Whether a source before this one places the same id elsewhere."""
        own = self.sources[word.source].place
        for other in self.places.get(word.box.id, ()):
            if other == address:
                continue
            for (source, id), _ in self.at.get(other, {}).items():
                rule = self.sources[source]
                if id == word.box.id and rule.rule.adds and rule.place < own:
                    return True
        return False

    def age(self, word: Word, address: Address, now: float) -> float:
        """When the box started. One of unknown age that comes later is taken for new: it is spared, and warm
        a while later. What the first reports of all name has been running for as long as anybody knows."""
        if word.box.started is not None:
            return word.box.started
        told = self.members.get(address)
        if told is not None and told.box.started is not None:
            return told.box.started
        known = self.recovered.get(word.box.id)
        if known is not None and known.address == address and known.started is not None:
            return known.started
        first = self.began is None or now - self.began <= self.limits.mass_window
        return 0.0 if first else now

    def flapped(self, address: Address, now: float) -> None:
        """Count a coming or going; too many of them earn a pause."""
        limits = self.limits
        flaps = self.flaps.setdefault(address, Flaps())
        self.flaps.move_to_end(address)
        while len(self.flaps) > FLAPS_MOST:
            self.flaps.popitem(last=False)
        flaps.at.append(now)
        while now - flaps.at[0] > limits.flap_window:
            flaps.at.popleft()
        if len(flaps.at) > 2 * limits.flaps:
            flaps.pause = min(limits.flap_pause_most, max(limits.flap_pause, 2 * flaps.pause))
            flaps.until = now + flaps.pause
            flaps.at.clear()

    # --- told to people ---

    def reason(self, address: Address, now: float) -> tuple[str, str]:
        """Why nothing stands at an address."""
        words = self.ordered(address)
        for word in self.ends_at(address, words):
            return "drain", f"{word.source} has ended {word.box.id}"
        flaps = self.flaps.get(address)
        if words and flaps is not None and now < flaps.until:
            return "flapping", f"kept out for {flaps.until - now:.0f} s more"
        if any(self.shadowed(word, address) for word in words):
            return "address", "an earlier source places the same id elsewhere"
        if words:
            return "authority", "only sources that may not add name it"
        return "authority", "no source names it"

    def explain(self, id: str, now: float) -> list[str]:
        """What each source says of an id or of who shares its address, and which rule won; one line each."""
        addresses = set(self.places.get(id, ()))
        if id in self.names:
            addresses.add(self.names[id])
        addresses.update(word.box.address for (_, name), word in self.ended.items() if name == id)
        lines = []
        for address in sorted(addresses):
            where = f"{address[0]}:{address[1]}"
            words = self.ordered(address)
            for word in words:
                source = self.sources[word.source]
                age, alive = now - word.at, "live" if self.live(source, now) else "silent"
                missing = (
                    "" if word.missing_since is None else f", left out for {now - word.missing_since:.0f} s"
                )
                lines.append(
                    f"{where} {word.source} ({alive}): {word.box.id} {word.box.state.value}, "
                    f"told {age:.0f} s ago{missing}"
                )
            for word in self.ends_at(address, words):
                lines.append(f"{where} {word.source}: {word.box.id} ended {now - word.at:.0f} s ago")
            held = self.decide(address, now)
            if held is not None:
                lines.append(f"{where} is {held.box.id} {held.box.state.value} by {held.rule}: {held.why}")
            else:
                lines.append(f"{where} is not a member by {': '.join(self.reason(address, now))}")
        return lines or [f"{id}: no source has named it"]

    def snapshot(self) -> dict[str, Any]:
        """Members to keep over a restart."""
        return {
            "members": [
                [b.id, b.address[0], b.address[1], b.kind, b.zone, b.cell, b.weight, b.started, b.state.value]
                for b in (change.box for change in self.members.values())
            ]
        }

    def recover(self, data: Any, source: str, now: float) -> list[Change]:
        """Begin with the members of an earlier run, as the word of `source`, which is silent already.

        ValueError where the data cannot be read; then nothing is taken.
        """
        try:
            boxes = [
                Box(str(i), (str(h), int(p)), k, z, c, w, s, MemberState(state))
                for i, h, p, k, z, c, w, s, state in data["members"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(f"members that cannot be read: {type(error).__name__} {error}") from None
        self.recovered = {box.id: box for box in boxes}
        changes = self.report(source, boxes, True, now)
        self.sources[source].heard = now - self.sources[source].rule.silent - 0.001
        self.settle(dict.fromkeys(self.members), now)  # by another rule now: nobody leaves for it
        return changes
