"""The core between a front, the decisions and the caches. It executes what is decided and holds the rules.

It owns every open request and its attempts, from the moment a front hands a request in until the one final
answer goes back by the request's callback. It knows no protocol and no socket: a front speaks to it with
`Ask` and `Reply`, the caches' side with `Attempt`, `Order` and `End`, discovery with `Member` and purges.
"""

import logging
from collections import deque
from collections.abc import Callable

from paddlequay.observability import log
from paddlequay.requests.messages import (
    NOTHING,
    Ask,
    Attempt,
    Caches,
    End,
    Open,
    Order,
    Reply,
    Scheduler,
    Verdict,
    Watch,
)
from paddlequay.requests.write_checks import Bounds
from paddlequay.config.loader import Limits
from paddlequay.observability.counters import Counters
from paddlequay.routing.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientGone,
    Effect,
    Event,
    Fail,
    Fetch,
    Inherited,
    Log,
    Member,
    MembersChanged,
    Outcome,
    Purged,
    Refuse,
    Request,
    SetTimer,
    Subscribe,
    Surrender,
    TimerDue,
)
from paddlequay.lifecycle.operator_state import OUT, Operation
from paddlequay.policy import Router
from paddlequay.requests.quotas import Shares

LOGGER = logging.getLogger(__name__)

LOOK_FIRST = 0.002  # seconds: two turns of the loop, in which what has come is read and answered


class Exchange:
    """Open requests, timers, events in, actions out."""

    def __init__(
        self,
        router: Router,
        operation: Operation,
        shares: Shares,
        limits: Limits,
        scheduler: Scheduler,
        counters: Counters,
    ) -> None:
        self.router = router
        self.operation = operation
        operation.changed.append(self.ordered)
        self.shares = shares
        self.limits = limits
        self.scheduler = scheduler
        self.counters = counters
        self.caches: Caches | None = None
        self.watch: Watch | None = None
        self.open: dict[str, Open] = {}
        self.ids: set[str] = set()
        self.held = 0  # bytes of bodies of open requests
        self.bounds = Bounds(operation, limits, scheduler)
        self.members = self.bounds.members
        self.serials = 0
        self.queue: deque[Event] = deque()
        self.running = False
        # One clock for the decisions: it never goes back, and list entries' Unix start times stand on it.
        self.offset = scheduler.unix() - scheduler.monotonic()

    # --- from the front ---

    def ask(
        self, ask: Ask, reply: Callable[[Reply], None], gone: Callable[[], bool] | None = None
    ) -> Open | None:
        """Take a request; `reply` is called exactly once, unless `withdraw` comes first.

        `gone` is asked wherever something is about to be sent on, and must not call back.
        """
        now = self.scheduler.monotonic()
        self.counters.add(f"asked.{ask.class_name}")
        full = self.held + len(ask.body) > self.limits.held_bodies * self.shares.part
        if full or len(self.open) >= self.limits.open_requests:
            # Bodies wait here for their caches: thirty-two of 48,000 bytes on each connection are more than a
            # small router has.
            self.counters.add("refused.too_many_open")
            reply(Reply(Verdict.REFUSED, retry_in=self.limits.busy_pushback))
            return None
        if ask.id in self.ids:
            # The first request's answer must not serve another object, nor a second one's end end the first.
            self.counters.add("refused.id_open")
            reply(Reply(Verdict.FAILED))
            return None
        self.serials += 1
        left = ask.ttl - self.limits.answer_margin
        item = Open(f"q{self.serials}", ask, reply, now, now + left, gone)
        if self.watch is not None and (wait := self.watch.asked(item, left)) is not None:
            self.counters.add("refused.fleet_limit")
            reply(Reply(Verdict.REFUSED, retry_in=wait))
            return None
        self.ids.add(ask.id)
        self.held += len(ask.body)
        self.open[item.serial] = item
        request = Request(
            item.serial,
            ask.class_name,
            left,
            ask.key,
            ask.part,
            ask.group,
            tenant=ask.tenant,
            retry=ask.retry,
            fill=ask.fill,
        )
        self.deliver(request)
        if item.serial in self.open:
            # Whatever the decisions do, one final answer goes out before the client gives up.
            item.guard = self.scheduler.later(max(0.0, left) + 0.004, lambda: self.overdue(item))
        return item

    def withdraw(self, item: Open) -> None:
        """The client no longer waits: nothing is owed, and what is out is given up."""
        if item.serial in self.open:
            self.counters.add("withdrawn")
            self.forget(item)
            self.deliver(ClientGone(item.serial))

    def left(self, item: Open) -> bool:
        """Whether its client has gone, which ends the request; asked where it would be sent on."""
        if item.gone is None or not item.gone():
            return False
        self.withdraw(item)
        return True

    def overdue(self, item: Open) -> None:
        if item.serial in self.open:
            self.counters.add("overdue")
            self.finish(item, Reply(Verdict.FAILED))
            self.deliver(ClientGone(item.serial))

    def surrender(self) -> None:
        """Give all open requests their final answers now: the router is being emptied."""
        for serial in list(self.open):
            self.counters.add("surrendered")
            self.deliver(Surrender(serial))

    def inherit(self, knowledge: dict[str, float]) -> None:
        """What an older process of this router has learned."""
        self.deliver(Inherited(knowledge))

    # --- from discovery ---

    def list_changed(self, members: tuple[Member, ...], full: bool) -> None:
        """The list, or changes to it; holds for all that is not written yet."""
        self.bounds.listed(members, full)
        self.deliver(MembersChanged(tuple(map(self.bounds.as_ordered, members)), full))

    def ordered(self, name: str) -> None:
        """Operators leave a cache out, or put it back: holds for all that is not written yet."""
        member = self.members.get(name.removeprefix(OUT)) if name.startswith(OUT) else None
        if member is not None:
            self.deliver(MembersChanged((self.bounds.as_ordered(member),)))

    def purged(self, key: int | None, group: int | None, issued: float) -> None:
        """An object or a group was purged at `issued`, in Unix seconds."""
        age = self.bounds.purged(key, group, issued)
        self.deliver(Purged(age, group, key))

    # --- from the caches' side ---

    def order(self, attempt: Attempt) -> Order | None:
        """What to write, asked at the moment of writing; None when it must not be written any more.

        A decision may be written late, after a connection came up or a socket took bytes again. What held
        when it was made is looked at once more: drains and new starts of target and source, the window and
        the group of a repeat, purges, and the time left.
        """
        if attempt.over or self.left(attempt.owner):
            return None
        item, fetch = attempt.owner, attempt.fetch
        now = self.scheduler.monotonic()
        left = attempt.expires - now
        if left < self.limits.least_budget or not self.bounds.allow(attempt, now + self.offset):
            self.counters.add("not_sent")
            self.end(attempt, End(Outcome.NOT_SENT))
            return None
        # The last word is asked last: what it lends is lent to what is written now.
        if self.watch is not None and (note := self.watch.writing(attempt, left)) is not None:
            self.counters.add("not_sent.fleet_limit")
            self.end(attempt, End(Outcome.REFUSED, note=note))
            return None
        ask = item.ask
        return Order(
            id=ask.id,
            class_name=ask.class_name,
            name=ask.name,
            part=ask.part,
            body=ask.body,
            known=ask.known,
            dedupe=ask.dedupe,
            budget=left,
            source=None if fetch.source == fetch.target else fetch.source,
            keep=fetch.keep,
            max_age=self.bounds.max_age(ask, self.router.kinds[ask.class_name], fetch.max_age),
            join=fetch.join,
            only_held=fetch.only_held,
            renew=fetch.renew,
            extra=NOTHING if ask.extra is None else ask.extra(fetch.target),
        )

    def written(self, attempt: Attempt) -> None:
        attempt.written = self.scheduler.monotonic()
        self.counters.add("sent")

    def end(self, attempt: Attempt, end: End) -> None:
        """An attempt's end; the first `SERVED` is the request's final answer."""
        if attempt.over:
            return
        now = self.scheduler.monotonic()
        attempt.over = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        item = attempt.owner
        if self.watch is not None:
            self.watch.ended(attempt, end)
        self.counters.add(f"ended.{end.outcome.value.replace(' ', '_')}")
        final = end.outcome is Outcome.SERVED and item.serial in self.open
        item.note = end.note
        if final:
            verdict = Verdict.UNCHANGED if end.unchanged else Verdict.SERVED
            reply = Reply(verdict, end.body, stamp=end.stamp, note=end.note, source=attempt.fetch.target)
            self.finish(item, reply)
        self.deliver(
            AttemptEnded(
                request=item.serial,
                attempt=attempt.number,
                target=attempt.fetch.target,
                outcome=end.outcome,
                latency=now - attempt.began,
                final=final,
                note=end.note,
                waited=end.waited,
                load=end.load,
                silent=end.silent,
                hint=end.hint,
            )
        )

    # --- events in, actions out ---

    def deliver(self, event: Event) -> None:
        """Hand an event to the decisions and carry out what they ask; events that follow wait their turn."""
        self.queue.append(event)
        if self.running:
            return
        self.running = True
        try:
            while self.queue:
                event = self.queue.popleft()
                try:
                    actions = self.router.handle(event, self.scheduler.monotonic() + self.offset)
                except Exception:
                    self.failed("decision", event)
                    self.abort(event.id if isinstance(event, Request) else getattr(event, "request", ""))
                    continue
                for action in actions:
                    # Each for itself: one event may concern many requests, as when a member leaves.
                    try:
                        self.carry_out(action)
                    except Exception:
                        self.failed("action", action)
                        self.abort(getattr(action, "request", ""))
        finally:
            self.running = False

    def failed(self, what: str, on: object) -> None:
        """An error that is one request's own and never stops the program; the first of a kind is logged."""
        if self.counters.add_once(f"{what}_errors"):
            LOGGER.exception(f"{what}_failed", extra={"fields": {"on": type(on).__name__}})

    def abort(self, serial: str) -> None:
        """Answer a request for which something failed, and give up what is out for it."""
        item = self.open.get(serial)
        if item is not None:
            self.finish(item, Reply(Verdict.FAILED))
            self.queue.append(ClientGone(item.serial))

    def carry_out(self, action: Action) -> None:
        match action:
            case Fetch():
                self.fetch(action)
            case Cancel():
                self.cancel(action)
            case Refuse():
                if action.request in self.open:
                    item = self.open[action.request]
                    # Never sent on is priced apart from given up after attempts: the fleet loses by both.
                    self.counters.add(f"refused.{'tried' if item.attempts else 'untried'}.{action.cause}")
                    self.finish(item, Reply(Verdict.REFUSED, retry_in=action.retry_in, note=item.note))
            case Fail():
                if action.request in self.open:
                    item = self.open[action.request]
                    self.finish(item, Reply(Verdict.FAILED, note=item.note))
            case SetTimer():
                token = action.token
                self.scheduler.later(action.delay, lambda: self.deliver(TimerDue(token)))
            case Subscribe():
                pass  # the bulletin is followed without asking
            case Log():
                log.event(LOGGER, logging.INFO, "decision", text=action.text)

    def fetch(self, action: Fetch) -> None:
        item = self.open.get(action.request)
        if item is None or self.left(item):
            return
        now = self.scheduler.monotonic()
        expires = item.deadline if not action.timeout else min(item.deadline, now + action.timeout)
        attempt = Attempt(item, len(item.attempts), action, now, expires)
        attempt.once = self.router.kinds[item.ask.class_name].effect is not Effect.SAFE
        attempt.decided = self.bounds.chosen(action)
        item.attempts.append(attempt)
        if len(item.attempts) > self.limits.attempts or expires <= now or self.caches is None:
            return self.end(attempt, End(Outcome.NOT_SENT))
        attempt.timer = self.scheduler.later(expires - now, lambda: self.expire(attempt))
        try:
            self.caches.start(attempt)
        except Exception:
            self.failed("start", attempt)  # such as no descriptor left for its connection
            self.take_back(attempt)

    def expire(self, attempt: Attempt, last: bool = False) -> None:
        """Out of time: proved idle where never written, else it may have run. What has come is read first."""
        if not attempt.over and not last and attempt.carrier is not None and attempt.carrier.unread:
            attempt.timer = self.scheduler.later(LOOK_FIRST, lambda: self.expire(attempt, last=True))
        elif not attempt.over:
            ran = attempt.written is not None
            silent = self.drop(attempt)
            self.end(attempt, End(Outcome.TIMEOUT if ran else Outcome.NOT_SENT, silent=silent))

    def cancel(self, action: Cancel) -> None:
        item = self.open.get(action.request)
        if item is None or action.attempt >= len(item.attempts) or item.attempts[action.attempt].over:
            return
        self.take_back(item.attempts[action.attempt])

    def take_back(self, attempt: Attempt) -> None:
        """Give up an attempt by our own will: proved idle where it was never written."""
        ran = attempt.written is not None
        self.drop(attempt)
        self.end(attempt, End(Outcome.CANCELLED if ran else Outcome.NOT_SENT))

    def drop(self, attempt: Attempt) -> bool:
        """Have its carrier forget it, and was that silent since? Its end here does not hang on that."""
        try:
            return attempt.carrier is not None and attempt.carrier.abandon(attempt)
        except Exception:
            self.failed("abandon", attempt)
            return False

    def finish(self, item: Open, reply: Reply) -> None:
        """The one final answer."""
        self.forget(item)
        self.counters.add(f"answered.{reply.verdict.value}")
        try:
            item.reply(reply)
        except Exception:
            self.failed("reply", reply)  # its client's affair: the decisions hear of the end all the same

    def forget(self, item: Open) -> None:
        """The request is over; attempts that are still out are given up."""
        del self.open[item.serial]
        self.ids.discard(item.ask.id)
        self.held -= len(item.ask.body)
        if item.guard is not None:
            item.guard.cancel()
        for attempt in item.attempts:
            if not attempt.over:
                attempt.over = True
                if attempt.timer is not None:
                    attempt.timer.cancel()
                self.drop(attempt)
        # Attempts name their owner: without this, each request would wait for the cycle collector.
        item.attempts.clear()
        if self.watch is not None:
            self.watch.over(item)
