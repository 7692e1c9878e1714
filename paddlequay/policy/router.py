"""The router: passes each event to the rules that it concerns and returns their actions."""

import random
from collections.abc import Iterator

from paddlequay.config.settings import check_settings
from paddlequay.policy.attempt_results import ResultHandler
from paddlequay.policy.attempts import AttemptManager
from paddlequay.policy.rejection import final_answer
from paddlequay.policy.route_selection import RouteSelector
from paddlequay.policy.router_state import RouterState
from paddlequay.routing import interface
from paddlequay.routing.interface import Idempotency, Outcome, RejectCause
from paddlequay.routing.state import AttemptState, CacheTier, RequestState, Upstream

# Backoff after a failed request for the endpoint list, as discovery itself may be overloaded.
MIN_SUBSCRIBE_BACKOFF_S = 0.5
MAX_SUBSCRIBE_BACKOFF_S = 1.5
SUBSCRIBE_TIMER = "subscribe"


class Router:
    """The decisions of one router; events enter through `handle`. It does no I/O and has no clock.

    Args:
        settings: The settings, which are checked; raises `SettingsError`.
        seed: The seed of all random draws.
    """

    def __init__(self, settings: interface.RoutingSettings, seed: int) -> None:
        check_settings(settings)
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {each.name: each for each in settings.classes}
        self.requests: dict[str, RequestState] = {}
        self.started = False
        self.now = 0.0
        self.actions: list[interface.Action] = []
        self.state = RouterState(settings, self.cancel_pending)
        self.selector = RouteSelector(self.state)
        self.attempts = AttemptManager(self.state)
        self.results = ResultHandler(self.state)

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """Returns the actions that follow from an event; `now` is in seconds and never goes back."""
        self.actions = []
        self.now = now
        if not self.started:
            self.started = True
            if self.settings.must_subscribe:
                self.actions.append(interface.Subscribe())
        match event:
            case interface.MembersChanged():
                self.on_members(event)
            case interface.Request():
                self.on_request(event)
            case interface.AttemptEnded():
                self.on_attempt_ended(event)
            case interface.ResponseStarted() if event.request in self.requests:
                self.requests[event.request].streaming = True
            case interface.ClientDisconnected():
                self.close(event.request)
            case interface.AbandonRequest() if event.request in self.requests:
                self.give_up(self.requests[event.request], RejectCause.ABANDONED)
            case interface.StateInherited():
                self.inherit_state(event)
            case interface.OutlierReported() if event.member in self.state.members.upstreams:
                self.state.outliers.record_outlier_report(self.state.members.upstreams[event.member], now)
            case interface.CopyReported():
                self.state.hot_objects.report_holder((event.key, event.part), event.member, now)
            case interface.Purged():
                self.state.purges.add(event.group, event.key, now - event.age, now)
            case interface.TimerFired() if event.token == SUBSCRIBE_TIMER:
                self.actions.append(interface.Subscribe())
        return self.actions

    def edge_names(self) -> list[str]:
        """Returns the edges that requests may be sent to, so that callers can connect in advance."""
        return list(self.state.members.homes[CacheTier.EDGE].members)

    def export_state(self) -> dict[str, float]:
        """Returns the estimates that a successor process would otherwise learn by rejecting requests.

        Processes of other versions read these keys.
        """
        slow_start = self.state.members.slow_start
        rates = {
            "edge_rate": slow_start[CacheTier.EDGE].load_per_member,
            "fill_rate": slow_start[CacheTier.PARENT].load_per_member,
        }
        upstreams = self.state.members.upstreams
        limits = {f"limit {name}": upstream.concurrency_limit for name, upstream in upstreams.items()}
        return rates | self.state.latency.export_state() | limits

    def inherit_state(self, event: interface.StateInherited) -> None:
        """Takes over the state that a predecessor process exported."""
        self.state.members.inherit_state(event.state)
        self.state.latency.inherit_state(event.state)
        self.state.limits.inherit_state(self.state.members.upstreams.values(), event.state)

    def on_members(self, event: interface.MembersChanged) -> None:
        """Applies a change of the endpoint list; cancels the requests pending at members that left."""
        if event.failed:
            backoff = self.random.uniform(MIN_SUBSCRIBE_BACKOFF_S, MAX_SUBSCRIBE_BACKOFF_S)
            self.actions.append(interface.SetTimer(backoff, SUBSCRIBE_TIMER))
            return
        for upstream in self.state.members.update(event, self.now):
            self.actions += self.cancel_pending(upstream)
        self.update_sharing_routers()

    def update_sharing_routers(self) -> None:
        """Updates how many routers share each concurrency limit, after a change of the members."""
        members = self.state.members
        parent_count = len(members.homes[CacheTier.PARENT])
        self.state.limits.set_sharing_routers(members.ready_edge_count, parent_count, len(members.origins))

    def on_request(self, received: interface.Request) -> None:
        """Starts a request. Ignores an id that is already pending; fails a request of an unknown class."""
        if received.id in self.requests:
            return
        request_class = self.classes.get(received.class_name)
        if request_class is None:
            self.actions.append(interface.Fail(received.id))
            return
        work = self.state.latency.record_request(received)
        read = self.state.hot_objects.record_read((received.key, received.part), self.now)
        request = RequestState(
            received=received,
            request_class=request_class,
            deadline=self.now + received.time_left,
            work=work,
            cost=self.state.latency.cost(work),
            sampling_draw=self.random.random(),
            part_state=read.part_state,
            is_hot=read.is_hot,
        )
        self.requests[received.id] = request
        self.advance(request)

    def advance(self, request: RequestState) -> None:
        """Sends the next attempt of a request, or gives its final answer."""
        if request.attempts and not self.state.retries.may_retry(request, self.now):
            self.give_up(request, RejectCause.RETRIES_EXHAUSTED)
            return
        self.state.retries.update_budget(request)
        route = self.selector.next_route(request, self.now)
        if isinstance(route, RejectCause):
            self.give_up(request, route)
            return
        self.actions.append(self.attempts.send(request, route, self.now))

    def on_attempt_ended(self, event: interface.AttemptEnded) -> None:
        """Records the result of an attempt, and takes the next step of its request."""
        request = self.requests.get(event.request)
        attempt = None if request is None else request.end_attempt(event.attempt)
        if request is None or attempt is None:
            return
        self.record_load_report(attempt.target, event.load_report)
        self.actions += self.results.handle(request, attempt, event, self.now)
        self.attempts.finish(request, attempt, event.outcome)
        if event.final:
            self.close(event.request)
        elif event.outcome is not Outcome.SERVED:
            self.advance(request)

    def record_load_report(self, upstream: Upstream, report: interface.LoadReport) -> None:
        """Records a member's report of its own load; detects an edge that has restarted."""
        if upstream.tier is CacheTier.EDGE:
            if upstream.ejected and report.hit_ratio == 0.0:
                # An ejected edge that is empty has restarted, which the endpoint list reports seconds later.
                # Until then, the first edge of a zone to come back would get the requests of all routers.
                self.state.members.presume_restart(upstream, self.now)
                self.update_sharing_routers()
                self.actions.append(interface.LogMessage(f"{upstream.member.name} is back empty"))
            self.state.zone_load.record(upstream.member.name, report, self.now)
        self.state.limits.record_report(upstream, report, self.now)

    def cancel_pending(self, upstream: Upstream) -> Iterator[interface.Action]:
        """Cancels the idempotent requests pending at a member; others can still answer them in time."""
        if not self.settings.can_cancel:
            return
        for request in self.requests.values():
            attempt = request.unanswered_attempt
            if attempt is None or request.request_class.idempotency is not Idempotency.IDEMPOTENT:
                continue
            if self.is_pending_at(attempt, upstream):
                yield interface.Cancel(request.received.id, len(request.attempts) - 1)

    @staticmethod
    def is_pending_at(attempt: AttemptState, upstream: Upstream) -> bool:
        """Whether an attempt waits for a member, as its target or as the source of its fill."""
        return attempt.target is upstream or (attempt.fills and attempt.source is upstream)

    def give_up(self, request: RequestState, cause: RejectCause) -> None:
        """Ends a request with a rejection or a failure."""
        self.actions.append(final_answer(request, cause, self.settings.max_retry_after, self.random))
        self.close(request.received.id)

    def close(self, request_id: str) -> None:
        """Ends a request and its attempts, whose later outcomes are ignored; ignores unknown ids."""
        if request_id not in self.requests:
            return
        request = self.requests.pop(request_id)
        for attempt in request.attempts:
            if not attempt.ended:
                self.attempts.finish(request, attempt)
