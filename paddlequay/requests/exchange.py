"""The core between a front, the decisions and the upstreams: it executes what is decided and keeps the rules.

It owns every pending request, from the moment a front hands it in until the one final answer goes back by the
request's callback; its attempts are run by `attempts.py`. It knows no protocol and no socket.
"""

import logging
from collections import deque
from collections.abc import Callable

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import EJECTED_PREFIX, OperatorState
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.requests.attempts import AttemptRunner
from paddlequay.requests.intake import RequestIntake
from paddlequay.requests.messages import (
    AnswerStatus,
    ClientRequest,
    FinalAnswer,
    PendingRequest,
    Scheduler,
)
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.requests.write_checks import WriteChecks
from paddlequay.routing.interface import (
    AbandonRequest,
    Action,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    Fetch,
    LogMessage,
    Member,
    MembersChanged,
    Purged,
    Reject,
    Request,
    SetTimer,
    StateInherited,
    Subscribe,
    TimerFired,
)

LOGGER = logging.getLogger(__name__)

DEADLINE_SLACK_S = 0.004  # past a request's deadline, so that an attempt's own time-out comes first


class Exchange:
    """Pending requests by serial; events go to the decisions, and their actions are executed."""

    def __init__(
        self,
        router: Router,
        operator_state: OperatorState,
        quotas: ProcessQuotas,
        limits: Limits,
        scheduler: Scheduler,
        counters: Counters,
    ) -> None:
        self.router = router
        self.operator_state = operator_state
        operator_state.on_change.append(self.override_changed)
        self.limits = limits
        self.scheduler = scheduler
        self.counters = counters
        self.intake = RequestIntake(limits, quotas, counters)
        self.pending = self.intake.by_serial
        self.write_checks = WriteChecks(operator_state, limits, scheduler)
        self.members = self.write_checks.members
        self.attempts = AttemptRunner(self, router.classes, self.write_checks, limits, scheduler, counters)
        self.last_serial = 0
        self.events: deque[Event] = deque()
        self.delivering = False

    # --- from the front ---

    def submit(
        self,
        request: ClientRequest,
        send_answer: Callable[[FinalAnswer], None],
        client_disconnected: Callable[[], bool] | None = None,
    ) -> PendingRequest | None:
        """Take a request; `send_answer` is called exactly once, unless `withdraw` comes first.

        `client_disconnected` is called wherever something is about to be forwarded, and must not call back.
        None where the request was answered at once.
        """
        now = self.scheduler.monotonic()
        self.counters.add(f"received.{request.class_name}")
        answer = self.intake.answer_at_once(request)
        if answer is not None:
            send_answer(answer)
            return None
        self.last_serial += 1
        left = request.time_to_live - self.limits.answer_margin
        serial = f"q{self.last_serial}"
        pending = PendingRequest(serial, request, send_answer, now, now + left, client_disconnected)
        interceptor = self.attempts.interceptor
        if interceptor is not None and (wait := interceptor.admit(pending, left)) is not None:
            self.counters.add("rejected.fleet_limit")
            send_answer(FinalAnswer(AnswerStatus.REJECTED, retry_after=wait))
            return None
        self.intake.add(pending)
        self.deliver(request_event(serial, request, left))
        if serial in self.pending:
            # Whatever the decisions do, one final answer goes out before the client gives up.
            delay = max(0.0, left) + DEADLINE_SLACK_S
            pending.deadline_timer = self.scheduler.call_later(delay, lambda: self.fail_overdue(pending))
        return pending

    def withdraw(self, pending: PendingRequest) -> None:
        """The client no longer waits: nothing is owed, and attempts in flight are abandoned."""
        if pending.serial in self.pending:
            self.counters.add("withdrawn")
            self.release(pending)
            self.deliver(ClientDisconnected(pending.serial))

    def drop_if_disconnected(self, pending: PendingRequest) -> bool:
        """Whether its client has gone, which ends the request; checked before anything is forwarded."""
        if pending.client_disconnected is None or not pending.client_disconnected():
            return False
        self.withdraw(pending)
        return True

    def fail_overdue(self, pending: PendingRequest) -> None:
        """The deadline of a request has passed without a final answer: it fails."""
        if pending.serial in self.pending:
            self.counters.add("overdue")
            self.answer(pending, FinalAnswer(AnswerStatus.FAILED))
            self.deliver(ClientDisconnected(pending.serial))

    def abandon_all(self) -> None:
        """Give all pending requests their final answers now: the router is being drained."""
        for serial in list(self.pending):
            self.counters.add("abandoned")
            self.deliver(AbandonRequest(serial))

    def inherit_state(self, state: dict[str, float]) -> None:
        """Take over what a predecessor process of this router has learned."""
        self.deliver(StateInherited(state))

    # --- from discovery and operators ---

    def update_members(self, members: tuple[Member, ...], full: bool) -> None:
        """The list, or changes to it; holds for all that is not written yet."""
        self.write_checks.update_members(members, full)
        self.deliver(MembersChanged(tuple(map(self.write_checks.with_overrides, members)), full))

    def override_changed(self, name: str) -> None:
        """Operators eject a cache, or put it back: holds for all that is not written yet."""
        if not name.startswith(EJECTED_PREFIX):
            return
        member = self.members.get(name.removeprefix(EJECTED_PREFIX))
        if member is not None:
            self.deliver(MembersChanged((self.write_checks.with_overrides(member),)))

    def record_purge(self, key: int | None, group: int | None, issued: float) -> None:
        """An object or a group was purged at `issued`, in Unix seconds."""
        age = self.write_checks.record_purge(key, group, issued)
        self.deliver(Purged(age, group, key))

    # --- events in, actions out ---

    def deliver(self, event: Event) -> None:
        """Hand an event to the decisions and execute their actions; events that follow wait their turn."""
        self.events.append(event)
        if self.delivering:
            return
        self.delivering = True
        try:
            while self.events:
                self.handle(self.events.popleft())
        finally:
            self.delivering = False

    def handle(self, event: Event) -> None:
        """One event: an error fails the one request that it is about, and never stops the program."""
        try:
            actions = self.router.handle(event, self.scheduler.monotonic() + self.attempts.clock_offset)
        except Exception:  # whatever the decisions raise, the other requests go on
            self.attempts.log_failure("decision", event)
            self.abort_request(event.id if isinstance(event, Request) else getattr(event, "request", ""))
            return
        for action in actions:
            # Each for itself: one event may concern many requests, as when a member leaves.
            try:
                self.execute(action)
            except Exception:  # one action's error leaves the others to be executed
                self.attempts.log_failure("action", action)
                self.abort_request(getattr(action, "request", ""))

    def abort_request(self, serial: str) -> None:
        """Answer a request for which something failed, and abandon its attempts."""
        pending = self.pending.get(serial)
        if pending is not None:
            self.answer(pending, FinalAnswer(AnswerStatus.FAILED))
            self.events.append(ClientDisconnected(pending.serial))

    def execute(self, action: Action) -> None:
        """Carry out one action of the decisions."""
        match action:
            case Fetch():
                self.attempts.start(action)
            case Cancel():
                self.attempts.cancel(action)
            case Reject():
                self.reject(action)
            case Fail():
                if action.request in self.pending:
                    pending = self.pending[action.request]
                    self.answer(pending, FinalAnswer(AnswerStatus.FAILED, detail=pending.last_detail))
            case SetTimer():
                token = action.token
                self.scheduler.call_later(action.delay, lambda: self.deliver(TimerFired(token)))
            case Subscribe():
                pass  # the endpoint list is followed all the time
            case LogMessage():
                log.event(LOGGER, logging.INFO, "decision", text=action.text)

    def reject(self, action: Reject) -> None:
        """Answer a request that the decisions reject; counted by whether any attempt was made for it."""
        pending = self.pending.get(action.request)
        if pending is None:
            return
        # Never forwarded is priced apart from given up after attempts: the fleet loses by both.
        tried = "attempted" if pending.attempts else "unattempted"
        self.counters.add(f"rejected.{tried}.{action.cause.value}")
        retry_after, detail = action.retry_after, pending.last_detail
        self.answer(pending, FinalAnswer(AnswerStatus.REJECTED, retry_after=retry_after, detail=detail))

    def answer(self, pending: PendingRequest, answer: FinalAnswer) -> None:
        """Give a request its one final answer."""
        self.release(pending)
        self.counters.add(f"answered.{answer.status.value}")
        try:
            pending.send_answer(answer)
        except Exception:  # its client's affair: the decisions are notified of the end all the same
            self.attempts.log_failure("reply", answer)

    def release(self, pending: PendingRequest) -> None:
        """The request is over; attempts that are still in flight are abandoned."""
        self.intake.remove(pending)
        if pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
        self.attempts.release(pending)
        if self.attempts.interceptor is not None:
            self.attempts.interceptor.request_ended(pending)


def request_event(serial: str, request: ClientRequest, time_left: float) -> Request:
    """A client's request as an event for the decisions."""
    return Request(
        serial,
        request.class_name,
        time_left,
        request.key,
        request.part,
        request.group,
        tenant=request.tenant,
        retry=request.retry,
        fill=request.fill,
    )
