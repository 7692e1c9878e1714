"""What one router has of a limit: tokens of a rate, or places for requests that are out at once.

Both are asked at the moment of use and bring themselves up to it first, so that a process that was stopped
finds its grant gone. Whatever moves, at every instant the caps of all routers' buckets are the limit's burst
at most and their rates the limit's rate at most, tokens never pass the cap, and a raised cap brings none:
over any window of w seconds the fleet admits burst + rate * w at most.
"""

import heapq
import math
from dataclasses import dataclass

from paddlequay.cluster.quotas import NOTHING, REQUEST, Share, Whole
from paddlequay.cluster.types import NEVER

WINDOWS = 6  # averaged at most: 1.2 s, so that a shift too small to stand out is followed within 2 s
TOLD_BY = 3  # windows that together may stand out
UNLIKE = 2.5  # standard deviations of a count; by chance so far out about once in 80 windows
LEAST_SEEN = 0.25  # of a window: a rate is told from no shorter time


@dataclass(frozen=True, slots=True)
class Times:
    """How long things last by this process's clock, seconds."""

    began: float  # when this process started: its predecessor's tokens are spent, its requests may be out
    pace: float = 1.0  # of true time that a second of this clock is at least
    keep: float = 0.0  # how long a router that is cut off keeps a share, with `Mode.OPEN`
    shut: float = 0.0  # how long after `began` requests of its predecessor may still be out
    window: float = 0.2  # over which demand is counted


class Asked:
    """Demand, refused or not: its mean, taken anew where a window is unlike those before it.

    A share that follows the noise of small counts would be lost to others for a grant's life each time, so
    that windows are averaged for as long as chance explains how they differ.
    """

    __slots__ = ("count", "last", "length", "mean", "opened", "windows")

    def __init__(self, now: float, window: float) -> None:
        self.length = window
        self.opened = now
        self.count = 0
        self.last: tuple[int, ...] = ()  # counts of the last windows, the newest first
        self.mean = 0.0  # a window
        self.windows = 0  # that the mean rests on, `WINDOWS` at most

    def unlike(self, count: int, mean: float) -> bool:
        return abs(count - mean) > UNLIKE * math.sqrt(mean) + 1

    def turn(self, now: float) -> None:
        """Close the windows that ran out; those that passed without a call were empty."""
        passed = math.floor((now - self.opened) / self.length)
        if passed < 1:
            return
        for count in (self.count, 0)[:passed]:
            self.last = (count, *self.last[: TOLD_BY - 1])
            self.windows = min(WINDOWS, self.windows + 1)
            mean = self.mean + (count - self.mean) / self.windows
            for many in range(1, len(self.last) + 1):
                if self.unlike(sum(self.last[:many]), self.mean * many):
                    self.windows = many
                    mean = sum(self.last[:many]) / many
                    break
            self.mean = mean
        if passed > WINDOWS:
            self.mean, self.last = 0.0, ()
        self.count = 0
        self.opened += passed * self.length

    def add(self, now: float) -> None:
        self.turn(now)
        self.count += 1

    def rate(self, now: float) -> int:
        """Thousandths a second; a rise shows before its window has ended."""
        self.turn(now)
        mean = self.mean
        so_far = (now - self.opened) / self.length
        if self.count > mean * so_far and self.unlike(self.count, mean * so_far):
            mean = max(mean, self.count / max(so_far, LEAST_SEEN))
        return int(mean / self.length * REQUEST)

    def peak(self, now: float) -> int:
        """The larger of the counts of the last window and of the one that runs."""
        self.turn(now)
        return max(self.count, *self.last[:1], 0)


class Bucket:
    """Tokens of a rate, in thousandths; `floor` for good and `extra` until `until`.

    A bucket that is made later holds what it would hold had it stood unused since the process began, which
    was empty: a predecessor may have spent all. So one that is idle and full may be dropped and made again.
    """

    def __init__(self, whole: Whole, times: Times, now: float) -> None:
        self.whole = whole
        self.times = times
        self.extra = NOTHING
        self.until = NEVER
        self.keeps = False  # `extra` is kept without its holder's word
        self.at = now
        self.asked = Asked(now, times.window)
        self.tokens = self.born(now)

    def born(self, now: float) -> float:
        return min(
            self.whole.floor.burst, self.whole.floor.milli * (now - self.times.began) * self.times.pace
        )

    @property
    def cap(self) -> int:
        return self.whole.floor.burst + self.extra.burst

    @property
    def rate(self) -> int:
        return self.whole.floor.milli + self.extra.milli

    def fill(self, now: float) -> None:
        if now > self.at:
            self.tokens = min(self.cap, self.tokens + self.rate * (now - self.at) * self.times.pace)
            self.at = now

    def change(self, extra: Share, until: float) -> None:
        """Another share from `at` on: what is above its cap is lost, what it may hold more is yet to come."""
        self.extra, self.until = extra, until
        self.tokens = min(self.tokens, self.cap)

    def advance(self, now: float, cut_off: bool) -> None:
        """Come to `now`, through the ends of the grant and of what was kept of it."""
        while self.until <= now:
            self.fill(self.until)
            keeps = cut_off and not self.keeps and self.times.keep > 0
            extra, until = self.extra.least(self.whole.kept), self.until + self.times.keep
            self.keeps = keeps
            self.change(extra if keeps else NOTHING, until if keeps else NEVER)
        self.fill(now)

    def grant(self, share: Share, until: float) -> None:
        """A share that the holder has told; call `advance` first."""
        self.keeps = False
        self.change(share, until)

    def fits(self, now: float, lasts: float) -> bool:
        return self.tokens >= REQUEST

    def take(self, ticket: int, now: float, lasts: float) -> None:
        self.tokens -= REQUEST

    def give(self, ticket: int) -> None:
        """Tokens are spent for good."""

    def retry_in(self, now: float) -> float | None:
        """Seconds until there is a token, at the present rate; None: not before the share changes."""
        if self.cap < REQUEST or not self.rate:
            return None
        return (REQUEST - self.tokens) / (self.rate * self.times.pace)

    def demand(self, now: float) -> int:
        return self.asked.rate(now)

    def idle(self) -> bool:
        """Whether making it again later comes to no more than keeping it."""
        return self.until == NEVER and self.tokens >= self.cap


class Places:
    """Places for requests that are out at once: of the floor, granted, or kept while cut off.

    Who starts on a granted place ends before the grant does: at any time the granted places in use were all
    started within a grant that still lives, and are no more than that grant's. Kept places are counted apart.
    Floor places stay shut until no request of the process before can be out.
    """

    FLOOR, GRANTED, KEPT = range(3)

    def __init__(self, whole: Whole, times: Times, now: float) -> None:
        self.whole = whole
        self.times = times
        self.extra = NOTHING
        self.until = NEVER
        self.keeps = False
        self.used = [0, 0, 0]
        self.out: dict[int, int] = {}  # ticket to the kind of its place; no more than places
        self.ends: list[tuple[float, int]] = []
        self.asked = Asked(now, times.window)  # refused ones alone: the others are seen by `high`
        self.high = 0  # most out at once since the last look

    @property
    def rate(self) -> int:
        return self.whole.floor.milli + self.extra.milli

    def advance(self, now: float, cut_off: bool) -> None:
        while self.ends and self.ends[0][0] <= now:
            self.give(heapq.heappop(self.ends)[1])
        while self.until <= now:
            keeps = cut_off and not self.keeps and self.times.keep > 0
            self.extra = self.extra.least(self.whole.kept) if keeps else NOTHING
            self.until = self.until + self.times.keep if keeps else NEVER
            self.keeps = keeps

    def grant(self, share: Share, until: float) -> None:
        self.extra, self.until, self.keeps = share, until, False

    def opened(self, now: float) -> bool:
        """Whether the floor's places may be used: nothing of the process before is out."""
        return now >= self.times.began + self.times.shut

    def kind(self, now: float, lasts: float) -> int | None:
        """Which place a request of `lasts` seconds may have now."""
        if self.opened(now) and self.used[self.FLOOR] * REQUEST < self.whole.floor.milli:
            return self.FLOOR
        kind = self.KEPT if self.keeps else self.GRANTED
        if (self.used[kind] + 1) * REQUEST > self.extra.milli:
            return None
        return kind if self.keeps or now + lasts <= self.until else None

    def fits(self, now: float, lasts: float) -> bool:
        return self.kind(now, lasts) is not None

    def take(self, ticket: int, now: float, lasts: float) -> None:
        kind = self.kind(now, lasts)
        assert kind is not None  # `fits` was asked at the same moment
        self.used[kind] += 1
        self.out[ticket] = kind
        heapq.heappush(self.ends, (now + lasts, ticket))
        self.high = max(self.high, len(self.out))

    def give(self, ticket: int) -> None:
        """The request is over; once it has ended by its time-out too, this is nothing."""
        kind = self.out.pop(ticket, None)
        if kind is not None:
            self.used[kind] -= 1

    def retry_in(self, now: float) -> float | None:
        return None

    def demand(self, now: float) -> int:
        """Places that would be used: the most that were, and what was refused in a window."""
        high, self.high = self.high, len(self.out)
        return (high + self.asked.peak(now)) * REQUEST

    def idle(self) -> bool:
        return self.until == NEVER and not self.out
