"""The core between a front, the decisions and the caches. It executes what is decided and holds the rules.

It owns every open request and its attempts, from the moment a front hands a request in until the one final
answer goes back by the request's callback. It knows no protocol and no socket: a front speaks to it with
`Ask` and `Reply`, the caches' side with `Attempt`, `Order` and `End`, discovery with `Member` and purges.
"""

import logging
from collections import deque
from collections.abc import Callable

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import EJECTED_PREFIX, OperatorState
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.requests.messages import (
    NO_FIELDS,
    AnswerStatus,
    AttemptResult,
    ClientRequest,
    FinalAnswer,
    PendingRequest,
    RequestInterceptor,
    Scheduler,
    UpstreamAttempt,
    UpstreamPool,
    UpstreamRequest,
)
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.requests.write_checks import WriteChecks
from paddlequay.routing.interface import (
    AbandonRequest,
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    Fetch,
    Idempotency,
    LogMessage,
    Member,
    MembersChanged,
    Outcome,
    Purged,
    Reject,
    Request,
    SetTimer,
    StateInherited,
    Subscribe,
    TimerFired,
)

LOGGER = logging.getLogger(__name__)

LOOK_FIRST = 0.002  # seconds: two turns of the loop, in which what has come is read and answered


class Exchange:
    """Open requests, timers, events in, actions out."""

    def __init__(
        self,
        router: Router,
        operation: OperatorState,
        shares: ProcessQuotas,
        limits: Limits,
        scheduler: Scheduler,
        counters: Counters,
    ) -> None:
        self.router = router
        self.operator_state = operation
        operation.on_change.append(self.override_changed)
        self.quotas = shares
        self.limits = limits
        self.scheduler = scheduler
        self.counters = counters
        self.upstreams: UpstreamPool | None = None
        self.interceptor: RequestInterceptor | None = None
        self.pending: dict[str, PendingRequest] = {}
        self.open_ids: set[str] = set()
        self.body_bytes = 0  # bytes of bodies of open requests
        self.write_checks = WriteChecks(operation, limits, scheduler)
        self.members = self.write_checks.members
        self.last_serial = 0
        self.events: deque[Event] = deque()
        self.delivering = False
        # One clock for the decisions: it never goes back, and list entries' Unix start times stand on it.
        self.clock_offset = scheduler.unix() - scheduler.monotonic()

    # --- from the front ---

    def submit(
        self,
        request: ClientRequest,
        send_answer: Callable[[FinalAnswer], None],
        client_disconnected: Callable[[], bool] | None = None,
    ) -> PendingRequest | None:
        """Take a request; `reply` is called exactly once, unless `withdraw` comes first.

        `gone` is asked wherever something is about to be sent on, and must not call back.
        """
        now = self.scheduler.monotonic()
        self.counters.add(f"received.{request.class_name}")
        full = self.body_bytes + len(request.body) > self.limits.max_body_bytes * self.quotas.memory_share
        if full or len(self.pending) >= self.limits.max_open_requests:
            # Bodies wait here for their caches: thirty-two of 48,000 bytes on each connection are more than a
            # small router has.
            self.counters.add("rejected.too_many_open")
            send_answer(FinalAnswer(AnswerStatus.REJECTED, retry_after=self.limits.busy_retry_after))
            return None
        if request.id in self.open_ids:
            # The first request's answer must not serve another object, nor a second one's end end the first.
            self.counters.add("rejected.id_open")
            send_answer(FinalAnswer(AnswerStatus.FAILED))
            return None
        self.last_serial += 1
        left = request.time_to_live - self.limits.answer_margin
        item = PendingRequest(
            f"q{self.last_serial}", request, send_answer, now, now + left, client_disconnected
        )
        if self.interceptor is not None and (wait := self.interceptor.admit(item, left)) is not None:
            self.counters.add("rejected.fleet_limit")
            send_answer(FinalAnswer(AnswerStatus.REJECTED, retry_after=wait))
            return None
        self.open_ids.add(request.id)
        self.body_bytes += len(request.body)
        self.pending[item.serial] = item
        event = Request(
            item.serial,
            request.class_name,
            left,
            request.key,
            request.part,
            request.group,
            tenant=request.tenant,
            retry=request.retry,
            fill=request.fill,
        )
        self.deliver(event)
        if item.serial in self.pending:
            # Whatever the decisions do, one final answer goes out before the client gives up.
            item.deadline_timer = self.scheduler.call_later(
                max(0.0, left) + 0.004, lambda: self.fail_overdue(item)
            )
        return item

    def withdraw(self, item: PendingRequest) -> None:
        """The client no longer waits: nothing is owed, and what is out is given up."""
        if item.serial in self.pending:
            self.counters.add("withdrawn")
            self.release(item)
            self.deliver(ClientDisconnected(item.serial))

    def drop_if_disconnected(self, item: PendingRequest) -> bool:
        """Whether its client has gone, which ends the request; asked where it would be sent on."""
        if item.client_disconnected is None or not item.client_disconnected():
            return False
        self.withdraw(item)
        return True

    def fail_overdue(self, item: PendingRequest) -> None:
        if item.serial in self.pending:
            self.counters.add("overdue")
            self.answer(item, FinalAnswer(AnswerStatus.FAILED))
            self.deliver(ClientDisconnected(item.serial))

    def abandon_all(self) -> None:
        """Give all open requests their final answers now: the router is being emptied."""
        for serial in list(self.pending):
            self.counters.add("abandoned")
            self.deliver(AbandonRequest(serial))

    def inherit_state(self, knowledge: dict[str, float]) -> None:
        """What an older process of this router has learned."""
        self.deliver(StateInherited(knowledge))

    # --- from discovery ---

    def update_members(self, members: tuple[Member, ...], full: bool) -> None:
        """The list, or changes to it; holds for all that is not written yet."""
        self.write_checks.update_members(members, full)
        self.deliver(MembersChanged(tuple(map(self.write_checks.with_overrides, members)), full))

    def override_changed(self, name: str) -> None:
        """Operators leave a cache out, or put it back: holds for all that is not written yet."""
        member = (
            self.members.get(name.removeprefix(EJECTED_PREFIX)) if name.startswith(EJECTED_PREFIX) else None
        )
        if member is not None:
            self.deliver(MembersChanged((self.write_checks.with_overrides(member),)))

    def record_purge(self, key: int | None, group: int | None, issued: float) -> None:
        """An object or a group was purged at `issued`, in Unix seconds."""
        age = self.write_checks.record_purge(key, group, issued)
        self.deliver(Purged(age, group, key))

    # --- from the caches' side ---

    def prepare_write(self, attempt: UpstreamAttempt) -> UpstreamRequest | None:
        """What to write, asked at the moment of writing; None when it must not be written any more.

        A decision may be written late, after a connection came up or a socket took bytes again. What held
        when it was made is looked at once more: drains and new starts of target and source, the window and
        the group of a repeat, purges, and the time left.
        """
        if attempt.ended or self.drop_if_disconnected(attempt.pending):
            return None
        item, fetch = attempt.pending, attempt.fetch
        now = self.scheduler.monotonic()
        left = attempt.expires_at - now
        if left < self.limits.min_time_left or not self.write_checks.allows(attempt, now + self.clock_offset):
            self.counters.add("not_sent")
            self.end_attempt(attempt, AttemptResult(Outcome.NOT_SENT))
            return None
        # The last word is asked last: what it lends is lent to what is written now.
        if (
            self.interceptor is not None
            and (note := self.interceptor.before_write(attempt, left)) is not None
        ):
            self.counters.add("not_sent.fleet_limit")
            self.end_attempt(attempt, AttemptResult(Outcome.REJECTED, detail=note))
            return None
        ask = item.request
        return UpstreamRequest(
            id=ask.id,
            class_name=ask.class_name,
            object_name=ask.object_name,
            part=ask.part,
            body=ask.body,
            known_tag=ask.known_tag,
            idempotency_key=ask.idempotency_key,
            time_left=left,
            source=None if fetch.source == fetch.target else fetch.source,
            retention=fetch.retention,
            max_age=self.write_checks.max_age(ask, self.router.classes[ask.class_name], fetch.max_age),
            coalesce=fetch.coalesce,
            only_if_cached=fetch.only_if_cached,
            refresh=fetch.refresh,
            extra_fields=NO_FIELDS if ask.extra_fields is None else ask.extra_fields(fetch.target),
        )

    def mark_written(self, attempt: UpstreamAttempt) -> None:
        attempt.written_at = self.scheduler.monotonic()
        self.counters.add("sent")

    def end_attempt(self, attempt: UpstreamAttempt, end: AttemptResult) -> None:
        """An attempt's end; the first `SERVED` is the request's final answer."""
        if attempt.ended:
            return
        now = self.scheduler.monotonic()
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        item = attempt.pending
        if self.interceptor is not None:
            self.interceptor.attempt_ended(attempt, end)
        self.counters.add(f"ended.{end.outcome.value.replace(' ', '_')}")
        final = end.outcome is Outcome.SERVED and item.serial in self.pending
        item.last_detail = end.detail
        if final:
            verdict = AnswerStatus.NOT_MODIFIED if end.not_modified else AnswerStatus.SERVED
            reply = FinalAnswer(
                verdict, end.body, stamp=end.stamp, detail=end.detail, served_by=attempt.fetch.target
            )
            self.answer(item, reply)
        self.deliver(
            AttemptEnded(
                request=item.serial,
                attempt=attempt.number,
                target=attempt.fetch.target,
                outcome=end.outcome,
                latency=now - attempt.started_at,
                final=final,
                detail=end.detail,
                source_wait=end.source_wait,
                load_report=end.load_report,
                unresponsive=end.unresponsive,
                loop_hint=end.loop_hint,
            )
        )

    # --- events in, actions out ---

    def deliver(self, event: Event) -> None:
        """Hand an event to the decisions and carry out what they ask; events that follow wait their turn."""
        self.events.append(event)
        if self.delivering:
            return
        self.delivering = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    actions = self.router.handle(event, self.scheduler.monotonic() + self.clock_offset)
                except Exception:
                    self.log_failure("decision", event)
                    self.abort_request(
                        event.id if isinstance(event, Request) else getattr(event, "request", "")
                    )
                    continue
                for action in actions:
                    # Each for itself: one event may concern many requests, as when a member leaves.
                    try:
                        self.execute(action)
                    except Exception:
                        self.log_failure("action", action)
                        self.abort_request(getattr(action, "request", ""))
        finally:
            self.delivering = False

    def log_failure(self, what: str, on: object) -> None:
        """An error that is one request's own and never stops the program; the first of a kind is logged."""
        if self.counters.add_once(f"{what}_errors"):
            LOGGER.exception(f"{what}_failed", extra={"fields": {"on": type(on).__name__}})

    def abort_request(self, serial: str) -> None:
        """Answer a request for which something failed, and give up what is out for it."""
        item = self.pending.get(serial)
        if item is not None:
            self.answer(item, FinalAnswer(AnswerStatus.FAILED))
            self.events.append(ClientDisconnected(item.serial))

    def execute(self, action: Action) -> None:
        match action:
            case Fetch():
                self.start_attempt(action)
            case Cancel():
                self.cancel_attempt(action)
            case Reject():
                if action.request in self.pending:
                    item = self.pending[action.request]
                    # Never sent on is priced apart from given up after attempts: the fleet loses by both.
                    self.counters.add(
                        f"rejected.{'attempted' if item.attempts else 'unattempted'}.{action.cause}"
                    )
                    self.answer(
                        item,
                        FinalAnswer(
                            AnswerStatus.REJECTED, retry_after=action.retry_after, detail=item.last_detail
                        ),
                    )
            case Fail():
                if action.request in self.pending:
                    item = self.pending[action.request]
                    self.answer(item, FinalAnswer(AnswerStatus.FAILED, detail=item.last_detail))
            case SetTimer():
                token = action.token
                self.scheduler.call_later(action.delay, lambda: self.deliver(TimerFired(token)))
            case Subscribe():
                pass  # the bulletin is followed without asking
            case LogMessage():
                log.event(LOGGER, logging.INFO, "decision", text=action.text)

    def start_attempt(self, action: Fetch) -> None:
        item = self.pending.get(action.request)
        if item is None or self.drop_if_disconnected(item):
            return
        now = self.scheduler.monotonic()
        expires = item.deadline if not action.timeout else min(item.deadline, now + action.timeout)
        attempt = UpstreamAttempt(item, len(item.attempts), action, now, expires)
        attempt.never_resend = (
            self.router.classes[item.request.class_name].idempotency is not Idempotency.IDEMPOTENT
        )
        attempt.chosen_members = self.write_checks.chosen_members(action)
        item.attempts.append(attempt)
        if len(item.attempts) > self.limits.max_attempts or expires <= now or self.upstreams is None:
            return self.end_attempt(attempt, AttemptResult(Outcome.NOT_SENT))
        attempt.timer = self.scheduler.call_later(expires - now, lambda: self.expire_attempt(attempt))
        try:
            self.upstreams.start(attempt)
        except Exception:
            self.log_failure("start", attempt)  # such as no descriptor left for its connection
            self.abandon_attempt(attempt)

    def expire_attempt(self, attempt: UpstreamAttempt, last: bool = False) -> None:
        """Out of time: proved idle where never written, else it may have run. What has come is read first."""
        if not attempt.ended and not last and attempt.carrier is not None and attempt.carrier.has_unread:
            attempt.timer = self.scheduler.call_later(
                LOOK_FIRST, lambda: self.expire_attempt(attempt, last=True)
            )
        elif not attempt.ended:
            ran = attempt.written_at is not None
            silent = self.release_carrier(attempt)
            self.end_attempt(
                attempt, AttemptResult(Outcome.TIMEOUT if ran else Outcome.NOT_SENT, unresponsive=silent)
            )

    def cancel_attempt(self, action: Cancel) -> None:
        item = self.pending.get(action.request)
        if item is None or action.attempt >= len(item.attempts) or item.attempts[action.attempt].ended:
            return
        self.abandon_attempt(item.attempts[action.attempt])

    def abandon_attempt(self, attempt: UpstreamAttempt) -> None:
        """Give up an attempt by our own will: proved idle where it was never written."""
        ran = attempt.written_at is not None
        self.release_carrier(attempt)
        self.end_attempt(attempt, AttemptResult(Outcome.CANCELLED if ran else Outcome.NOT_SENT))

    def release_carrier(self, attempt: UpstreamAttempt) -> bool:
        """Have its carrier forget it, and was that silent since? Its end here does not hang on that."""
        try:
            return attempt.carrier is not None and attempt.carrier.abandon(attempt)
        except Exception:
            self.log_failure("abandon", attempt)
            return False

    def answer(self, item: PendingRequest, reply: FinalAnswer) -> None:
        """The one final answer."""
        self.release(item)
        self.counters.add(f"answered.{reply.status.value}")
        try:
            item.send_answer(reply)
        except Exception:
            self.log_failure(
                "reply", reply
            )  # its client's affair: the decisions hear of the end all the same

    def release(self, item: PendingRequest) -> None:
        """The request is over; attempts that are still out are given up."""
        del self.pending[item.serial]
        self.open_ids.discard(item.request.id)
        self.body_bytes -= len(item.request.body)
        if item.deadline_timer is not None:
            item.deadline_timer.cancel()
        for attempt in item.attempts:
            if not attempt.ended:
                attempt.ended = True
                if attempt.timer is not None:
                    attempt.timer.cancel()
                self.release_carrier(attempt)
        # Attempts name their owner: without this, each request would wait for the cycle collector.
        item.attempts.clear()
        if self.interceptor is not None:
            self.interceptor.request_ended(item)
