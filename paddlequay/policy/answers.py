"""What the end of an attempt teaches: whom to credit, whom to blame, and what the request knows now."""

import math

from paddlequay.routing.interface import Action, AttemptEnded, Note, Outcome
from paddlequay.policy.beliefs import Beliefs
from paddlequay.policy.health import ALIVE_S
from paddlequay.policy.limits import FILL_SHARE
from paddlequay.routing.state import Attempt, Open, Server, Tier

WAITED_SHARE = 0.25  # of a filled answer's latency, waited for the source: then its lateness is the source's
FILLS = (Note.FILLED, Note.FILLED_FROM_ORIGIN)
SOURCE_NOTES = (Note.SOURCE_REFUSED, Note.SOURCE_UNREACHED, Note.SOURCE_LACKS, Note.ORIGIN_FAILED)


class Answers:
    """Tells the parts; its own is what each request has failed at."""

    def __init__(self, know: Beliefs) -> None:
        self.know = know

    def judge(self, item: Open, attempt: Attempt, event: AttemptEnded, now: float) -> list[Action]:
        """Credit or blame: whom the note names, else the named source of a fill, else the edge."""
        target, source = attempt.target, attempt.source
        if event.outcome is Outcome.SERVED:
            return self.served(item, attempt, event, now)
        if event.outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            item.failed.append(target.entry.name)
            return []
        self.know.hotness.drop_holder(item.seen, target.entry.name)
        if event.outcome is Outcome.MISS:
            item.failed.append(source.entry.name)
            item.lacking = item.lacking or source.tier is Tier.PARENT
            self.know.hotness.drop_holder(item.seen, source.entry.name)
            return self.know.health.succeed(target, now)
        item.lost = event.outcome is Outcome.RESET
        blamed = self.blame(attempt, event)
        item.failed.append(blamed.entry.name)
        short = item.deadline - attempt.sent < self.know.latency.aim(item) and not blamed.skipped
        if event.outcome is Outcome.TIMEOUT and short:
            return []  # its client gave it less time than answers take: no word on whoever was asked
        plain = event.outcome is Outcome.ERROR and event.note is None
        item.errors += plain
        cut_off = event.note is Note.ORIGIN_FAILED
        # Another parent would have to ask the same origin: what is held may still do.
        item.lacking = item.lacking or cut_off
        if event.silent:
            return self.know.health.fail(blamed, True, now)  # nothing for anybody: no word on source or load
        if event.outcome is Outcome.TIMEOUT and attempt.fills and self.know.room.well(target.entry.name, now):
            self.know.origin_waits.given_up(event.latency, now)
        if event.outcome in (Outcome.TIMEOUT, Outcome.REFUSED):
            self.know.limits.pace(blamed, True, now)
        away = cut_off or event.note is Note.SOURCE_UNREACHED
        if event.outcome is Outcome.REFUSED and self.know.settings.notes and not away:
            return []  # full, not failing: skipped, it would fill up the next one with its load and its fills
        if event.outcome is Outcome.TIMEOUT and blamed.ok_at > attempt.sent:
            # Slow, not silent: skipping it would move its load to members as busy, and its fills to a parent
            # that must fetch them anew. The limit answers for slowness, and time-outs grow, for a fill cut
            # short is lost work that its next reader asks for again.
            self.know.latency.slow_down(item, math.inf)
            return []
        if plain and (item.errors > 1 or now - blamed.ok_at < ALIVE_S):
            return []  # the request is at fault: bad clients' got healthy members skipped one after the other
        return self.know.health.fail(blamed, event.outcome in (Outcome.RESET, Outcome.UNREACHED), now)

    def served(self, item: Open, attempt: Attempt, event: AttemptEnded, now: float) -> list[Action]:
        """The edge has answered, and so has the source of what it filled."""
        source, origins, cold = attempt.source, self.know.members.origins, self.know.members.cold
        said = self.know.health.succeed(attempt.target, now)
        filled = attempt.fills if event.note is None else event.note in FILLS
        work = self.know.latency.work[item.kind.name]
        share = filled * (FILL_SHARE if event.note is None else 1.0)
        cold[Tier.EDGE].served(work * (attempt.target.tier is Tier.EDGE), now, self.know.room.used())
        cold[Tier.PARENT].served(work * share, now)
        if filled:
            said += self.know.health.succeed(source, now)
        if event.note is Note.FILLED_FROM_ORIGIN and origins:
            said += self.know.health.succeed(origins[0], now)
            if event.waited is not None:
                # No wait is longer than its answer took: a spoilt one would close the origin for minutes.
                self.know.origin_waits.heard(min(event.waited, event.latency), now)
        if event.note is Note.HIT and attempt.fills:
            source.bucket.take(-work)
        # A late answer that did not wait for its fill, or does not tell, says nothing of who filled it: one
        # edge that bore all of its location was late, and the parents' limits were cut for it.
        waited = event.note and (event.waited is None or event.waited > WAITED_SHARE * event.latency)
        late = self.know.latency.learn(item, event.latency)
        self.know.limits.pace(source if filled and waited else attempt.target, late, now)
        if filled and event.note is None and not (late or source.fits):
            self.know.limits.pace(source, late, now)  # no size bounds its cuts, and nothing else clears them
        return said

    def blame(self, attempt: Attempt, event: AttemptEnded) -> Server:
        """Whom the note names; else the edge for a lost connection, the named source for a fill."""
        if event.note is Note.ORIGIN_FAILED and self.know.members.origins:
            return self.know.members.origins[0]
        if event.note in SOURCE_NOTES:
            return attempt.source
        own = event.note is Note.FILLS_FULL or event.outcome in (Outcome.UNREACHED, Outcome.RESET)
        own = own or event.silent or (bool(self.know.settings.notes) and event.outcome is not Outcome.TIMEOUT)
        return attempt.source if attempt.fills and not own else attempt.target
