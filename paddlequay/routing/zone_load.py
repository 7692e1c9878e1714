"""How much room a plaza's caches and the link that they share have left, by their own reports.

A router alone at a cache knows its load from what it has out there itself. One of a dozen does not: its share
of the cache's limit is under one request, and a rule on its own requests turns away by chance, or hands the
object to the next cache, which fills it a second time through the link that is short already
(docs/fleet.md, "The second fill"). Every answer carries the cache's own word on its load, which is the sum
over all routers and the same for all of them: who decides by that alone adds up to one decision.

Two things run out. A cache's way out is divided among its transfers: what counts is how many more there are
than fit at full pace. The link in is told as that multiple. Both are shed over a span, each request by its
own luck, so that routers which heard the same word a moment apart do not all stop, and all begin, together.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

CROWD = 3.0  # routers at one cache from which on its word counts, and not what one of them has out
FRESH_S = 2.0  # reports are made every 240 to 990 ms and come late; an older one tells nothing
BUSY = 0.6  # use of a way out, a mean over the last report: below it what is held waits for fills
FITS = 6.0  # transfers taken to fit a way out at full pace: nothing tells
EDGE_SPAN = (2.0, 4.0)  # times as long as at full pace: aims allow twice the sending time and a constant
GAIN = 0.5  # a second, of a lean, for a way out that is used wholly where the others are idle
LEAN = 0.8  # either way at most: no two kinds of machine are more unlike than by five
# A fill runs at least twice as fast as a transfer to a client: up to twice full the client loses nothing.
# Aims allow twice the sending time and a constant beside: at three times that long a fill is late by itself.
LINK_SPAN = (2.0, 6.0)
PAST_SPAN = (0.5, 1.0)  # for what is kept by no cache: only room that fills leave


@dataclass(slots=True)
class Word:
    """What one cache has said of itself: requests it holds, the use of its way out, and when."""

    active: float = 0.0
    use: float = 0.0
    hits: float = 0.0  # its share of hits lately
    at: float = -math.inf
    lean: float = 0.0  # of objects to it: the logarithm of its weight beside the others


def past(value: float, span: tuple[float, float]) -> float:
    """How far a value has come through a span: 0 up to its low end, 1 from its high end on."""
    low, high = span
    return min(1.0, max(0.0, (value - low) / (high - low)))


class Room:
    """Words of the caches of one plaza; bounded by `forget`, which whoever drops a member calls.

    `routers`: how many meet at each cache. Under `CROWD` nothing here says no: what a router has out tells.
    """

    def __init__(self, routers: float = CROWD) -> None:
        self.routers = routers
        self.words: dict[str, Word] = {}
        self.top = 0.0  # the greatest lean, which shares are measured by
        self.link = 0.0
        self.link_at = -math.inf

    @property
    def crowd(self) -> bool:
        """So many routers meet at each cache that what one of them has out tells nothing of its load."""
        return self.routers >= CROWD

    def heard(self, name: str, load: Mapping[str, float], now: float) -> None:
        """A report came with an answer: `active` requests held, `cpu` use, `x1` the link's load."""
        if "active" in load and "cpu" in load:
            word = self.words.setdefault(name, Word())
            use = min(1.0, max(0.0, load["cpu"]))  # reports are noisy
            if self.crowd:
                self.balance(word, use, now)
            word.active, word.use, word.at = load["active"], use, now
            word.hits = load.get("x0", 1.0)
        if "x1" in load:
            self.link, self.link_at = load["x1"], now

    def balance(self, word: Word, use: float, now: float) -> None:
        """Lean objects away from a way out that is used more than the others, by the time that has passed.

        Nothing is told of sizes, and equal shares of the objects jam a small machine beside idle large ones.
        All routers integrate the same words, so that they come to about the same weights; where theirs differ
        by a part, so does the home of that part of the objects only (weighted rendezvous).
        """
        uses = [each.use for each in self.words.values() if now - each.at <= FRESH_S]
        if len(uses) > 1:
            lean = word.lean - GAIN * min(1.0, now - word.at) * (use - sum(uses) / len(uses))
            word.lean = max(-LEAN, min(LEAN, lean))
            self.top = max(each.lean for each in self.words.values())

    def forget(self, name: str) -> None:
        """A member has gone or started anew; unknown names are no error."""
        if self.words.pop(name, None) is not None:
            self.top = max((each.lean for each in self.words.values()), default=0.0)

    def used(self) -> float:
        """How many ways out are used, by all words; 0 where they do not count."""
        return sum(word.use for word in self.words.values()) if self.crowd else 0.0

    def told(self, name: str, now: float) -> bool:
        """Whether a cache has given its word lately, and it is what counts."""
        word = self.words.get(name)
        return self.crowd and word is not None and now - word.at <= FRESH_S

    def share(self, name: str) -> float:
        """The share of objects in (0, 1] that a cache is home of, beside the one with the widest way out."""
        word = self.words.get(name)
        return 1.0 if word is None else math.exp(word.lean - self.top)

    def slowness(self, name: str, now: float) -> float:
        """Times as long as at full pace that a transfer takes there; 1 where nothing fresh is known."""
        if not self.told(name, now) or self.words[name].use < BUSY:
            return 1.0
        return max(1.0, self.words[name].active / FITS)

    def well(self, name: str, now: float) -> bool:
        """Whether a cache's own word and the link's tell that neither makes its answers late."""
        link = now - self.link_at <= FRESH_S and self.link <= LINK_SPAN[0]
        return link and self.told(name, now) and self.slowness(name, now) <= EDGE_SPAN[0]

    def bears(self, name: str, luck: float, now: float) -> bool:
        """Whether a cache by its own word bears a request, with that one's `luck` in [0, 1)."""
        return self.told(name, now) and past(self.slowness(name, now), EDGE_SPAN) <= luck

    def fills(self, luck: float, now: float, dear: float = 1.0, kept: bool = True) -> bool:
        """Whether a request may draw its bytes through the plaza's link; yes while nothing tells.

        `dear` in (0, 1]: its bytes for its worth, beside the class that has most: at a full link that one is
        shed first. `kept`: a cache keeps the copy. What passes the caches by comes again with the next
        reader, and while it used the link up no cache that had started empty was ever filled.
        """
        fresh = self.crowd and now - self.link_at <= FRESH_S
        return not fresh or past(self.link * dear, LINK_SPAN if kept else PAST_SPAN) <= luck

    def holds(self, name: str, luck: float, now: float) -> bool:
        """Whether a cache is worth a look, by the chance that its own share of hits gives; yes untold."""
        return not self.told(name, now) or luck < self.words[name].hits
