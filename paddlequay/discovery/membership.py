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

MAX_REMOVALS = 20_000  # ends that are remembered, the latest
MAX_FLAP_HISTORIES = 20_000


@dataclass(frozen=True, slots=True)
class ReportedMember:
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
class SourceRule:
    """How a source is believed. Sources are ordered: the first one wins where two tell different things."""

    name: str
    adds: bool = True
    retain_for: float = 300.0  # seconds for which its word holds once it has fallen silent
    silent_after: float = 10.0  # seconds without a sign of life after which it is silent


@dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Bounds and times in seconds, shares in 0 to 1."""

    max_members: int = 20_000  # words of one source
    mass_share: float = 0.3
    mass_window: float = 10.0
    min_mass: int = 3  # fewer boxes than these are no mass
    confirm_after: float = 30.0
    expiry_interval: float = 2.0  # between two boxes that leave as their source's word has run out
    max_flaps: int = 3
    flap_window: float = 60.0
    flap_pause: float = 5.0
    max_flap_pause: float = 300.0


@dataclass(slots=True, eq=False)
class SourceReport:
    """One source's word about one id."""

    member: ReportedMember
    source: str
    reported_at: float
    missing_since: float | None = None  # left out by its source, not yet believed


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """What the exchange and the pool are to know: a box as it is now; `GONE` where it left."""

    member: ReportedMember
    rule: str
    reason: str


@dataclass(slots=True)
class SourceState:
    """What is known of one source."""

    rule: SourceRule
    priority: int
    last_heard_at: float = -math.inf
    has_reported: bool = False
    reports: dict[str, SourceReport] = field(default_factory=dict)
    omissions: deque[tuple[float, str]] = field(default_factory=deque)
    rejected_reports: int = 0
    expired_at: float = -math.inf


@dataclass(slots=True)
class FlapHistory:
    """When a box came and went lately, and until when it is kept out for that."""

    changed_at: deque[float] = field(default_factory=deque)
    pause: float = 0.0
    paused_until: float = -math.inf


def with_state(word: SourceReport, state: MemberState) -> SourceReport:
    return SourceReport(replace(word.member, state=state), word.source, word.reported_at)


class TooManyMembersError(ValueError):
    """More members than are kept; the report is not taken."""


class Membership:
    """The members that hold now, and why."""

    def __init__(self, rules: Iterable[SourceRule], limits: MembershipLimits | None = None) -> None:
        self.limits = limits or MembershipLimits()
        self.sources = {rule.name: SourceState(rule, place) for place, rule in enumerate(rules)}
        self.reports_by_address: dict[
            Address, dict[tuple[str, str], SourceReport]
        ] = {}  # words by address, then source and id
        self.addresses_by_id: dict[str, set[Address]] = {}  # where an id is placed by any source
        self.members: dict[Address, MembershipChange] = {}  # what was told last; never one that is gone
        self.address_by_id: dict[str, Address] = {}  # which address a told id stands for
        self.removals: OrderedDict[tuple[str, str], SourceReport] = OrderedDict()  # by source and id
        self.removals_by_address: dict[
            Address, dict[tuple[str, str], SourceReport]
        ] = {}  # the same by address
        self.flap_histories: OrderedDict[Address, FlapHistory] = OrderedDict()
        self.timers: list[tuple[float, int, Address]] = []
        self.last_serial = 0
        self.recovered: dict[str, ReportedMember] = {}  # from the last run, by id: their age is known
        self.started_at: float | None = None

    # --- what sources say ---

    def report(
        self, source: str, boxes: Iterable[ReportedMember], full: bool, now: float
    ) -> list[MembershipChange]:
        """News of a source: changes, or (`full`) all it knows. TooManyError leaves everything as it was."""
        self.started_at = now if self.started_at is None else self.started_at
        from_ = self.sources[source]
        boxes = tuple(boxes)
        ids = {box.id for box in boxes}
        new = sum(id not in from_.reports for id in ids)
        if (len(ids) if full else len(from_.reports) + new) > self.limits.max_members:
            from_.rejected_reports += 1
            raise TooManyMembersError(f"{source}: more than {self.limits.max_members} members")
        from_.last_heard_at = now
        touched: dict[Address, None] = {}
        for box in boxes:
            self.apply_report(from_, box, now, touched)
        if full:
            self.handle_omissions([id for id in from_.reports if id not in ids], from_, now, touched)
        from_.has_reported = True
        return self.settle(touched, now)

    def alive(self, source: str, now: float) -> list[MembershipChange]:
        """A sign of life without news: what the source said holds."""
        self.sources[source].last_heard_at = now
        return self.tick(now)

    def apply_report(
        self, source: SourceState, box: ReportedMember, now: float, touched: dict[Address, None]
    ) -> None:
        key = (source.rule.name, box.id)
        known = source.reports.get(box.id)
        # What one source says of an id may bind where others place it.
        touched.update(dict.fromkeys(self.addresses_by_id.get(box.id, ())))
        if box.state is MemberState.REMOVED:
            # The end is remembered at the address that the source had told, or tells with it.
            at = known.member if known is not None else box
            if known is not None:
                self.drop(known, source, touched)
            self.record_removal(
                key, SourceReport(replace(at, state=MemberState.REMOVED), source.rule.name, now)
            )
            touched[at.address] = None
            return
        ended = self.removals.get(key)
        if ended is not None:
            touched[ended.member.address] = None
            self.forget_removal(key)
        if known is not None and known.member == box and known.missing_since is None:
            known.reported_at = now
            return
        if known is not None:
            self.detach(known, touched)
        word = source.reports[box.id] = SourceReport(box, source.rule.name, now)
        self.reports_by_address.setdefault(box.address, {})[key] = word
        self.addresses_by_id.setdefault(box.id, set()).add(box.address)
        touched[box.address] = None

    def record_removal(self, key: tuple[str, str], word: SourceReport) -> None:
        self.forget_removal(key)
        self.removals[key] = word
        self.removals_by_address.setdefault(word.member.address, {})[key] = word
        while len(self.removals) > MAX_REMOVALS:
            self.forget_removal(next(iter(self.removals)))

    def forget_removal(self, key: tuple[str, str]) -> None:
        word = self.removals.pop(key, None)
        if word is not None:
            here = self.removals_by_address[word.member.address]
            del here[key]
            if not here:
                del self.removals_by_address[word.member.address]

    def detach(self, word: SourceReport, touched: dict[Address, None]) -> None:
        """A word no longer stands at its address. Elsewhere the same id may have waited for that."""
        touched.update(dict.fromkeys(self.addresses_by_id.get(word.member.id, ())))
        address, id = word.member.address, word.member.id
        here = self.reports_by_address.get(address, {})
        here.pop((word.source, id), None)
        if not here:
            self.reports_by_address.pop(address, None)
        if not any(other == id for _, other in here):
            places = self.addresses_by_id.get(id)
            if places is not None:
                places.discard(address)
                if not places:
                    del self.addresses_by_id[id]
        touched[address] = None

    def handle_omissions(
        self, ids: list[str], source: SourceState, now: float, touched: dict[Address, None]
    ) -> None:
        """Words that a whole report does not repeat: gone, or held where too many are."""
        limits = self.limits
        window = source.omissions
        while window and now - window[0][0] > limits.mass_window:
            window.popleft()
        fresh = [id for id in ids if source.reports[id].missing_since is None]
        many = len(window) + len(fresh)
        of = max(1, len(source.reports) + sum(id not in source.reports for _, id in window))
        mass = many >= limits.min_mass and many > limits.mass_share * of
        window.extend((now, id) for id in fresh)
        for id in ids:
            word = source.reports[id]
            if word.missing_since is None:
                word.missing_since = now
            if mass or word.missing_since < now:
                # Held: a later report that leaves it out as well confirms it, once enough time has passed.
                if now - word.missing_since >= limits.confirm_after:
                    self.drop(word, source, touched)
                else:
                    self.schedule(word.missing_since + limits.confirm_after, word.member.address)
                    touched[word.member.address] = None
            else:
                self.drop(word, source, touched)

    def drop(self, word: SourceReport, source: SourceState, touched: dict[Address, None]) -> None:
        """A word is over. A drain that its source no longer names was no return to work: it ends the box."""
        del source.reports[word.member.id]
        self.detach(word, touched)
        if word.member.state is MemberState.DRAINING:
            self.record_removal((word.source, word.member.id), with_state(word, MemberState.REMOVED))

    # --- what holds ---

    def is_live(self, source: SourceState, now: float) -> bool:
        return now - source.last_heard_at <= source.rule.silent_after

    def tick(self, now: float) -> list[MembershipChange]:
        """What time alone changes: words that run out, pauses that end, what is confirmed."""
        touched: dict[Address, None] = {}
        while self.timers and self.timers[0][0] <= now:
            touched[heapq.heappop(self.timers)[2]] = None
        for source in self.sources.values():
            rule = source.rule
            over = source.last_heard_at + rule.silent_after + rule.retain_for
            if source.reports and now > over and now - source.expired_at >= self.limits.expiry_interval:
                # One by one: who only this source knew leaves slowly, and none in the same moment elsewhere.
                source.expired_at = now
                self.drop(source.reports[next(iter(source.reports))], source, touched)
        return self.settle(touched, now)

    def schedule(self, when: float, address: Address) -> None:
        self.last_serial += 1
        heapq.heappush(self.timers, (when, self.last_serial, address))

    def settle(self, touched: dict[Address, None], now: float) -> list[MembershipChange]:
        """Decide anew for each address that something was said about. Who leaves is told before who comes."""
        after = {address: self.decide(address, now) for address in touched}
        gone: dict[str, MembershipChange] = {}
        for address, change in after.items():
            before = self.members.get(address)
            if before is not None and (change is None or change.member.id != before.member.id):
                del self.members[address], self.address_by_id[before.member.id]
                rule, why = (
                    self.reason_for_absence(address, now) if change is None else (change.rule, change.reason)
                )
                gone[before.member.id] = MembershipChange(
                    replace(before.member, state=MemberState.REMOVED), rule, why
                )
                self.record_flap(address, now)
        come = []
        for address, change in after.items():
            if change is None or self.address_by_id.get(change.member.id, address) != address:
                continue
            before = self.members.get(address)
            self.address_by_id[change.member.id] = address
            self.members[address] = change
            if before is None:
                self.record_flap(address, now)
            if before is None or before.member != change.member:
                gone.pop(change.member.id, None)  # it has moved, and is told at its new address only
                come.append(change)
        return [*gone.values(), *come]

    def decide(self, address: Address, now: float) -> MembershipChange | None:
        """What holds for an address now; None where nothing stands there."""
        words = self.reports_at(address)
        adding = [word for word in words if self.sources[word.source].rule.adds]
        if not adding:
            return None
        first = adding[0]
        if self.is_shadowed(first, address):
            return None
        out, rule, why = MemberState.READY, "authority", f"{first.source} says so"
        for word in self.reports_about(address, words):
            if word.member.state is MemberState.DRAINING:
                out, rule, why = MemberState.DRAINING, "drain", f"{word.source} drains {word.member.id}"
        if next(self.removals_at(address, words), None) is not None:
            return None
        if address not in self.members:
            flaps = self.flap_histories.get(address)
            if flaps is not None and now < flaps.paused_until:
                self.schedule(flaps.paused_until, address)
                return None
        if rule == "authority" and first.missing_since is not None:
            rule, why = "mass", f"{first.source} leaves it out since {now - first.missing_since:.0f} s"
        elif rule == "authority" and not self.is_live(self.sources[first.source], now):
            rule, why = (
                "kept",
                f"{first.source} is silent since {now - self.sources[first.source].last_heard_at:.0f} s",
            )
        box = replace(first.member, state=out, started=self.start_time(first, address, now))
        told = self.members.get(address)
        if told is not None and told.member == box:
            return replace(told, rule=rule, reason=why)
        return MembershipChange(box, rule, why)

    def reports_at(self, address: Address) -> list[SourceReport]:
        words = self.reports_by_address.get(address, {}).values()
        return sorted(words, key=lambda word: (self.sources[word.source].priority, word.member.id))

    def reports_about(self, address: Address, words: list[SourceReport]) -> Iterator[SourceReport]:
        """Words at an address, and those of other sources about the same ids wherever they place them."""
        yield from words
        for id in {word.member.id for word in words}:
            for source in self.sources.values():
                word = source.reports.get(id)
                if word is not None and word.member.address != address:
                    yield word

    def removals_at(self, address: Address, words: list[SourceReport]) -> Iterator[SourceReport]:
        """Ends that hold here, by address or by id; a source that names another box here has taken its own
        back."""
        naming = {word.source for word in words}
        found = dict(self.removals_by_address.get(address, {}))
        for id in {word.member.id for word in words}:
            for name in self.sources:
                word = self.removals.get((name, id))
                if word is not None:
                    found[name, id] = word
        for (source, _), word in found.items():
            if source not in naming:
                yield word

    def is_shadowed(self, word: SourceReport, address: Address) -> bool:
        """Whether a source before this one places the same id elsewhere."""
        own = self.sources[word.source].priority
        for other in self.addresses_by_id.get(word.member.id, ()):
            if other == address:
                continue
            for (source, id), _ in self.reports_by_address.get(other, {}).items():
                rule = self.sources[source]
                if id == word.member.id and rule.rule.adds and rule.priority < own:
                    return True
        return False

    def start_time(self, word: SourceReport, address: Address, now: float) -> float:
        """When the box started. One of unknown age that comes later is taken for new: it is spared, and warm
        a while later. What the first reports of all name has been running for as long as anybody knows."""
        if word.member.started is not None:
            return word.member.started
        told = self.members.get(address)
        if told is not None and told.member.started is not None:
            return told.member.started
        known = self.recovered.get(word.member.id)
        if known is not None and known.address == address and known.started is not None:
            return known.started
        first = self.started_at is None or now - self.started_at <= self.limits.mass_window
        return 0.0 if first else now

    def record_flap(self, address: Address, now: float) -> None:
        """Count a coming or going; too many of them earn a pause."""
        limits = self.limits
        flaps = self.flap_histories.setdefault(address, FlapHistory())
        self.flap_histories.move_to_end(address)
        while len(self.flap_histories) > MAX_FLAP_HISTORIES:
            self.flap_histories.popitem(last=False)
        flaps.changed_at.append(now)
        while now - flaps.changed_at[0] > limits.flap_window:
            flaps.changed_at.popleft()
        if len(flaps.changed_at) > 2 * limits.max_flaps:
            flaps.pause = min(limits.max_flap_pause, max(limits.flap_pause, 2 * flaps.pause))
            flaps.paused_until = now + flaps.pause
            flaps.changed_at.clear()

    # --- told to people ---

    def reason_for_absence(self, address: Address, now: float) -> tuple[str, str]:
        """Why nothing stands at an address."""
        words = self.reports_at(address)
        for word in self.removals_at(address, words):
            return "drain", f"{word.source} has ended {word.member.id}"
        flaps = self.flap_histories.get(address)
        if words and flaps is not None and now < flaps.paused_until:
            return "flapping", f"kept out for {flaps.paused_until - now:.0f} s more"
        if any(self.is_shadowed(word, address) for word in words):
            return "address", "an earlier source places the same id elsewhere"
        if words:
            return "authority", "only sources that may not add name it"
        return "authority", "no source names it"

    def explain(self, id: str, now: float) -> list[str]:
        """What each source says of an id or of who shares its address, and which rule won; one line each."""
        addresses = set(self.addresses_by_id.get(id, ()))
        if id in self.address_by_id:
            addresses.add(self.address_by_id[id])
        addresses.update(word.member.address for (_, name), word in self.removals.items() if name == id)
        lines = []
        for address in sorted(addresses):
            where = f"{address[0]}:{address[1]}"
            words = self.reports_at(address)
            for word in words:
                source = self.sources[word.source]
                age, alive = now - word.reported_at, "live" if self.is_live(source, now) else "silent"
                missing = (
                    "" if word.missing_since is None else f", left out for {now - word.missing_since:.0f} s"
                )
                lines.append(
                    f"{where} {word.source} ({alive}): {word.member.id} {word.member.state.value}, "
                    f"told {age:.0f} s ago{missing}"
                )
            for word in self.removals_at(address, words):
                lines.append(
                    f"{where} {word.source}: {word.member.id} ended {now - word.reported_at:.0f} s ago"
                )
            held = self.decide(address, now)
            if held is not None:
                lines.append(
                    f"{where} is {held.member.id} {held.member.state.value} by {held.rule}: {held.reason}"
                )
            else:
                lines.append(f"{where} is not a member by {': '.join(self.reason_for_absence(address, now))}")
        return lines or [f"{id}: no source has named it"]

    def snapshot(self) -> dict[str, Any]:
        """Members to keep over a restart."""
        return {
            "members": [
                [b.id, b.address[0], b.address[1], b.kind, b.zone, b.cell, b.weight, b.started, b.state.value]
                for b in (change.member for change in self.members.values())
            ]
        }

    def recover(self, data: Any, source: str, now: float) -> list[MembershipChange]:
        """Begin with the members of an earlier run, as the word of `source`, which is silent already.

        ValueError where the data cannot be read; then nothing is taken.
        """
        try:
            boxes = [
                ReportedMember(str(i), (str(h), int(p)), k, z, c, w, s, MemberState(state))
                for i, h, p, k, z, c, w, s, state in data["members"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(f"members that cannot be read: {type(error).__name__} {error}") from None
        self.recovered = {box.id: box for box in boxes}
        changes = self.report(source, boxes, True, now)
        self.sources[source].last_heard_at = now - self.sources[source].rule.silent_after - 0.001
        self.settle(dict.fromkeys(self.members), now)  # by another rule now: nobody leaves for it
        return changes
