"""Connects a front, the routing policy and the upstreams, and executes the actions that the policy returns.

The routing policy is `paddlequay.policy.Router`, which turns events into actions. The exchange owns every
pending request from its submission to its one final answer; `attempts.py` runs the attempts. The exchange
depends on no protocol and no socket.
"""

import logging
import math
from collections.abc import Callable

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import EJECTED_PREFIX, OperatorState
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.requests.attempts import AttemptRunner
from paddlequay.requests.event_queue import RoutingEventQueue
from paddlequay.requests.executed_ids import ExecutedIds
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
    Idempotency,
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

DEADLINE_SLACK_S = 0.004  # added to a request's deadline, so that its attempts time out before it fails


class Exchange:
    """Owns the pending requests, delivers events to the routing policy and executes its actions."""

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
        self.executed_ids = ExecutedIds(scheduler.monotonic)
        self.pending = self.intake.by_serial
        self.write_checks = WriteChecks(operator_state, limits, scheduler)
        self.members = self.write_checks.members
        self.attempts = AttemptRunner(self, router.classes, self.write_checks, limits, scheduler, counters)
        self.last_serial = 0
        self.events = RoutingEventQueue(self.handle)

    def submit(
        self,
        request: ClientRequest,
        send_answer: Callable[[FinalAnswer], None],
        client_disconnected: Callable[[], bool] | None = None,
    ) -> PendingRequest | None:
        """Submits a request; calls `send_answer` exactly once, unless the request is withdrawn before.

        Args:
            request: The request of a client.
            send_answer: Sends the final answer to the client.
            client_disconnected: Returns whether the client has disconnected; called before an attempt is
                started and before it is written. It must not call the exchange.

        Returns:
            The pending request; None if it was answered at once.
        """
        now = self.scheduler.monotonic()
        self.counters.add(f"received.{request.class_name}")
        answer = self.intake.immediate_answer(request)
        if answer is None and request.id in self.executed_ids and self.must_run_once(request):
            self.counters.add("rejected.id_executed")
            answer = FinalAnswer(AnswerStatus.FAILED)
        if answer is not None:
            send_answer(answer)
            return None
        self.last_serial += 1
        serial = f"q{self.last_serial}"
        time_left = request.time_to_live - self.limits.answer_margin
        pending = PendingRequest(serial, request, send_answer, now, now + time_left, client_disconnected)
        retry_after = self.attempts.admit_by_fleet_limits(pending, time_left)
        if retry_after is not None:
            self.counters.add("rejected.fleet_limit")
            send_answer(FinalAnswer(AnswerStatus.REJECTED, retry_after=retry_after))
            return None
        self.intake.add(pending)
        self.deliver(request_event(serial, request, time_left))
        if serial in self.pending:
            self.schedule_deadline(pending, time_left)
        return pending

    def must_run_once(self, request: ClientRequest) -> bool:
        """Returns whether a request must not run twice and no cache recognizes its repetition."""
        return self.router.classes[request.class_name].idempotency is Idempotency.NON_IDEMPOTENT

    def schedule_deadline(self, pending: PendingRequest, time_left: float) -> None:
        """Guarantees a final answer at the deadline, whatever the routing policy does."""
        delay = max(0.0, time_left) + DEADLINE_SLACK_S
        pending.deadline_timer = self.scheduler.call_later(delay, lambda: self.fail_overdue(pending))

    def withdraw(self, pending: PendingRequest) -> None:
        """Ends a request without an answer, because its client no longer waits; abandons its attempts."""
        if pending.serial in self.pending:
            self.counters.add("withdrawn")
            self.release(pending)
            self.deliver(ClientDisconnected(pending.serial))

    def drop_if_disconnected(self, pending: PendingRequest) -> bool:
        """Withdraws a request if its client has disconnected, and returns whether it has."""
        if pending.client_disconnected is None or not pending.client_disconnected():
            return False
        self.withdraw(pending)
        return True

    def fail_overdue(self, pending: PendingRequest) -> None:
        """Fails a request whose deadline has passed without a final answer."""
        if pending.serial in self.pending:
            self.counters.add("overdue")
            self.answer(pending, FinalAnswer(AnswerStatus.FAILED))
            self.deliver(ClientDisconnected(pending.serial))

    def abandon_all(self) -> None:
        """Ends all pending requests with an answer, because a drain or shutdown no longer waits for them."""
        for serial in list(self.pending):
            self.counters.add("abandoned")
            self.deliver(AbandonRequest(serial))

    def inherit_state(self, state: dict[str, float]) -> None:
        """Passes the state that a predecessor process has exported to the routing policy."""
        self.deliver(StateInherited(state))

    def update_members(self, members: tuple[Member, ...], full: bool) -> None:
        """Applies the endpoint list (`full`) or its changes to the policy and to attempts not written yet."""
        self.write_checks.update_members(members, full)
        self.deliver(MembersChanged(tuple(map(self.write_checks.with_overrides, members)), full))

    def override_changed(self, name: str) -> None:
        """Tells the routing policy of a member that operators eject or readmit; ignores other overrides."""
        if not name.startswith(EJECTED_PREFIX):
            return
        member = self.members.get(name.removeprefix(EJECTED_PREFIX))
        if member is not None:
            self.deliver(MembersChanged((self.write_checks.with_overrides(member),)))

    def record_purge(self, key: int | None, group: int | None, issued_at: float) -> None:
        """Records the purge of an object, or of a group if `key` is None; `issued_at` is in Unix seconds."""
        age = self.write_checks.record_purge(key, group, issued_at)
        self.deliver(Purged(age, group, key))

    def purge_all(self) -> None:
        """Counts every object as purged now, because purges may have been missed."""
        self.write_checks.all_purged_at = self.scheduler.unix()

    def end_purge_of_all(self) -> None:
        """Ends the effect of `purge_all`, because all purges are known again."""
        self.write_checks.all_purged_at = -math.inf

    def deliver(self, event: Event) -> None:
        """Delivers an event to the routing policy and executes its actions; queues events raised by them."""
        self.events.deliver(event)

    def handle(self, event: Event) -> None:
        """Handles one event; an error fails only the request to which the event belongs."""
        try:
            actions = self.router.handle(event, self.scheduler.monotonic() + self.attempts.clock_offset)
        except Exception:  # error boundary of one event: other requests are not affected
            self.attempts.log_failure("decision", event)
            self.abort_request(event.id if isinstance(event, Request) else getattr(event, "request", ""))
            return
        for action in actions:
            try:
                self.execute(action)
            except Exception:  # error boundary of one action: the others may belong to other requests
                self.attempts.log_failure("action", action)
                self.abort_request(getattr(action, "request", ""))

    def abort_request(self, serial: str) -> None:
        """Fails a request after an internal error, and abandons its attempts."""
        pending = self.pending.get(serial)
        if pending is not None:
            self.answer(pending, FinalAnswer(AnswerStatus.FAILED))
            self.events.append(ClientDisconnected(pending.serial))

    def execute(self, action: Action) -> None:
        """Executes one action of the routing policy."""
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
                pass  # this program always follows the endpoint list
            case LogMessage():
                log.event(LOGGER, logging.INFO, "decision", text=action.text)

    def reject(self, action: Reject) -> None:
        """Executes a rejection; requests without any attempt are counted separately."""
        pending = self.pending.get(action.request)
        if pending is None:
            return
        attempt_label = "attempted" if pending.attempts else "unattempted"
        self.counters.add(f"rejected.{attempt_label}.{action.cause.value}")
        answer = FinalAnswer(
            AnswerStatus.REJECTED, retry_after=action.retry_after, detail=pending.last_detail
        )
        self.answer(pending, answer)

    def answer(self, pending: PendingRequest, answer: FinalAnswer) -> None:
        """Sends the one final answer to a request."""
        self.release(pending)
        if answer.status is AnswerStatus.REJECTED and self.must_run_once(pending.request):
            self.executed_ids.remove(pending.request.id)  # a rejection promises that there was no effect
        self.counters.add(f"answered.{answer.status.value}")
        try:
            pending.send_answer(answer)
        except Exception:  # error boundary of one client: the routing policy is still told of the end
            self.attempts.log_failure("reply", answer)

    def release(self, pending: PendingRequest) -> None:
        """Removes a request that has ended, cancels its deadline timer and ends its remaining attempts."""
        self.intake.remove(pending)
        if pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
        self.attempts.release(pending)
        if self.attempts.interceptor is not None:
            self.attempts.interceptor.request_ended(pending)


def request_event(serial: str, request: ClientRequest, time_left: float) -> Request:
    """Returns the event that tells the routing policy of a client's request."""
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
