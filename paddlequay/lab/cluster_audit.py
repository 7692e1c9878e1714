"""What an auditor outside the routers finds in stand-ins' records and in what consoles said, by one clock.

Nothing here asks a router whether it kept a rule: requests let through are counted where they arrived,
answers where they were awaited; of leases only what two looks at one router and one at another between prove.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from paddlequay.lab.fleet_rig import Moment


def over(times: Iterable[float], rate: float, burst: float, slack: float) -> float:
    """By how many requests a limit was passed at worst, over all windows; 0 where it was kept.

    `slack` is the longest time in seconds between the leave and the arrival. One sweep: the greatest excess
    of a window that ends now is that of the one before, less what the rate allows since, and one more.
    """
    worst = level = 0.0
    last: float | None = None
    for at in sorted(times):
        level = 1.0 if last is None else max(0.0, level - rate * (at - last)) + 1.0
        worst, last = max(worst, level), at
    return max(0.0, worst - burst - rate * slack)


@dataclass(frozen=True, slots=True)
class Look:
    """One router's word on one lease at one time."""

    at: float
    router: int
    term: int | None


def looks(moments: Iterable[Moment], lease: str) -> list[Look]:
    """What was seen of a lease, in order of time."""
    seen = []
    for moment in moments:
        for router, page in moment.pages.items():
            told: Mapping[str, Any] | None = page.get("leases", {}).get(lease)
            if told is not None:
                seen.append(Look(float(page["at"]), router, told["term"]))
    return sorted(seen, key=lambda look: look.at)


def two_holders(seen: Sequence[Look]) -> int:
    """How often a router was seen to hold a lease between two looks at which another held it by one term."""
    spans: dict[tuple[int, int], list[float]] = {}
    for look in seen:
        if look.term is not None:
            span = spans.setdefault((look.router, look.term), [look.at, look.at])
            span[1] = look.at
    return sum(
        1
        for look in seen
        if look.term is not None
        for (router, _), (first, last) in spans.items()
        if router != look.router and first < look.at < last
    )


def terms_back(seen: Sequence[Look]) -> int:
    """How often a lease was first seen under a term lower than one seen before."""
    known: set[int] = set()
    back = 0
    for look in seen:
        if look.term is not None and look.term not in known:
            back += bool(known) and look.term < max(known)
            known.add(look.term)
    return back


def longest_without(seen: Sequence[Look], begin: float, end: float) -> float:
    """The longest time in seconds in which nobody was seen to hold a lease."""
    held = sorted({look.at for look in seen if look.term is not None and begin <= look.at <= end})
    return max(after - before for before, after in zip([begin, *held], [*held, end], strict=True))


def ran_twice(charges: Mapping[str, int]) -> list[str]:
    """Charges that the store has run more than once."""
    return [name for name, count in charges.items() if count > 1]


@dataclass(frozen=True, slots=True)
class Answered:
    """One answer that a client got: when it asked, when it came, to what, and what it said."""

    asked: float
    at: float
    id: str
    said: str


def answers_wrong(asked: Iterable[str], answers: Iterable[Answered], excused: Iterable[str]) -> list[str]:
    """Requests with no answer or with several; `excused` are those whose router was killed meanwhile."""
    counts = Counter(answer.id for answer in answers)
    let_off = set(excused)
    return [id for id in asked if counts[id] > 1 or (counts[id] == 0 and id not in let_off)]
