"""Attempts: whether and where a further one may go, its time-out, rank and age limit, and what it holds."""

import math

from paddlequay.routing.interface import Effect, Fetch, Outcome, Repeat
from paddlequay.policy.beliefs import Beliefs
from paddlequay.routing.state import Attempt, Open, Server, Tier

BUDGET_SHARE = 0.2  # further attempts as a share of first ones, so that a failing tier is not hit harder
BUDGET_RESERVE = 20.0  # attempts saved up at most: covers the burst when one member dies
WINDOW_MARGIN_S = 0.1  # a keyed repeat must arrive inside its window: this is its way to the member
AGE_LEAST_S = 0.001  # an age limit of 0 would mean the default
PROVEN_IDLE = (Outcome.REFUSED, Outcome.UNREACHED, Outcome.NOT_SENT, Outcome.MISS)


def free(item: Open) -> bool:
    """What one lost connection ended is bounded by what was out on it, and no sign of load.

    It may be sent once more beyond the budget, which a single connection with thirty requests on it used up.
    """
    return len(item.attempts) == 1 and item.lost


class Attempts:
    """The attempts of open requests, each of which ends once, and the budget of further ones."""

    def __init__(self, know: Beliefs) -> None:
        self.know = know
        self.budget = BUDGET_RESERVE

    def may_repeat(self, item: Open, now: float) -> bool:
        """A further attempt must be within the limits and the class's word on repeats."""
        spent = len(item.attempts) >= (self.know.settings.max_attempts or math.inf)
        over = spent or now >= item.deadline or item.streaming
        return not over and (item.repeat is None or now < item.repeat.until)

    def repeat(self, item: Open, target: Server, now: float) -> Repeat | None:
        """What an attempt sent now binds further ones to while it may have run."""
        kind, keyed = item.kind, item.kind.effect is Effect.KEYED
        until = now + (kind.repeat_window or 0.0) - WINDOW_MARGIN_S if keyed else -math.inf
        bound = Repeat(until, kind.repeat_group if keyed else None, target.entry)
        return None if kind.effect is Effect.SAFE else bound

    def weigh(self, item: Open) -> None:
        """A first attempt adds to the budget of further ones; past it no source is asked again."""
        if not item.attempts:
            self.budget = min(BUDGET_RESERVE, self.budget + BUDGET_SHARE)
        elif self.budget < 1.0 and not free(item):
            item.poor = True

    def begin(self, item: Open, attempt: Attempt) -> None:
        """Count an attempt at whom it asks: in their limits, paces and trials."""
        target, source = attempt.target, attempt.source
        for server in {target.entry.name: target, source.entry.name: source}.values():
            server.bucket.take(self.know.latency.work[item.kind.name])
            self.know.health.try_out(server, item.request.id)
        self.know.limits.take(attempt, item.cost)
        item.attempts.append(attempt)
        item.may_have_run = item.may_have_run or attempt

    def send(self, item: Open, target: Server, source: Server, now: float) -> Fetch:
        """One attempt, with its time-out, rank and age limit chosen."""
        know = self.know
        if item.attempts and target is not source and not free(item):
            self.budget -= 1.0
        held = know.hotness.held(item.seen, know.members.servers, now)
        fills = target is not source and target.entry.name not in held
        bound = item.repeat  # by an earlier attempt
        self.begin(item, Attempt(target, source, now, fills, self.repeat(item, target, now)))
        cut_off = item.held_only and fills and source.tier is Tier.PARENT
        for origin in know.members.origins:
            if origin.skipped and source.tier is Tier.PARENT and target is not origin:
                # What parents lack would wait at an origin that does not answer, in places that hits need.
                cut_off = not know.health.usable(origin, now)
                if not cut_off:
                    know.health.try_out(origin, item.request.id)
        if item.cacheable and target.tier is Tier.EDGE:
            know.hotness.add_holder(item.seen, target.entry.name, now)
        return Fetch(
            request=item.request.id,
            target=target.entry.name,
            source=source.entry.name,
            keep=know.hotness.rank(item),
            timeout=know.latency.timeout(item, now),
            max_age=self.max_age(item, cut_off or target is source, now),
            join=bool(know.settings.joins) and item.cacheable,
            only_held=cut_off or (source is not target and source.tier is Tier.EDGE),
            renew=item.hot and bool(item.kind.fresh),
            repeat=bound,
        )

    def max_age(self, item: Open, old: bool, now: float) -> float | None:
        """Purges bind until all older copies are cleared; an old copy is for when the sources fail."""
        fresh, grace = item.kind.fresh, item.kind.grace
        limit = fresh + grace if old and fresh and grace else None
        age = self.know.purges.age(item.request.group, item.request.key, now)
        if age is not None:
            limit = min(limit or fresh or math.inf, max(AGE_LEAST_S, age))
        return limit

    def end(self, item: Open, attempt: Attempt, outcome: Outcome | None = None) -> None:
        """Free what an attempt held: its share of the limits and a trial."""
        self.know.limits.release(attempt, item.cost)
        for server in (attempt.target, attempt.source, *self.know.members.origins):
            self.know.health.end_trial(server, item.request.id)
        if outcome in PROVEN_IDLE and item.may_have_run is attempt:
            item.may_have_run = None
