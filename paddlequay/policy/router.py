"""The one entry: hands each event to the parts that it concerns, and their actions back."""

import random
from collections.abc import Iterator

from paddlequay.config.settings import check_settings
from paddlequay.policy.attempt_results import ResultHandler
from paddlequay.policy.attempts import AttemptManager
from paddlequay.policy.rejection import give_up
from paddlequay.policy.route_selection import SourceSelector
from paddlequay.policy.router_state import RouterState
from paddlequay.routing import interface
from paddlequay.routing.state import CacheTier, RequestState, Upstream

SUBSCRIBE_BACKOFF_S = (0.5, 1.5)  # after a failed call for the list: discovery may be what is overloaded
SUBSCRIBE_TIMER = "subscribe"


class Router:
    """One router's decisions; `handle` is its only entry and keeps no clock, thread or file."""

    def __init__(self, settings: interface.RoutingSettings, seed: int) -> None:
        check_settings(settings)
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {kind.name: kind for kind in settings.classes}
        self.requests: dict[str, RequestState] = {}
        self.started, self.now = False, 0.0
        self.actions: list[interface.Action] = []
        self.state = RouterState(settings, self.cancel_waiting)
        self.selector = SourceSelector(self.state)
        self.attempts = AttemptManager(self.state)
        self.results = ResultHandler(self.state)

    def handle(self, event: interface.Event, now: float) -> list[interface.Action]:
        """What to do about one event; `now` is in seconds and does not go back."""
        self.actions, self.now = [], now
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
                self.give_up(self.requests[event.request], "abandoned")
            case interface.StateInherited():
                self.state.members.inherit_state(event.state)
                self.state.latency.inherit_state(event.state)
                self.state.limits.inherit_state(self.state.members.upstreams.values(), event.state)
            case interface.OutlierReported() if event.member in self.state.members.upstreams:
                self.state.outliers.record_hint(self.state.members.upstreams[event.member], now)
            case interface.CopyReported():
                self.state.hot_objects.report_holder((event.key, event.part), event.member, now)
            case interface.Purged():
                self.state.purges.add(event.group, event.key, now - event.age, now)
            case interface.TimerFired() if event.token == SUBSCRIBE_TIMER:
                self.actions.append(interface.Subscribe())
        return self.actions

    def edge_names(self) -> list[str]:
        """Whom requests go to first: their connections can be made beforehand."""
        return list(self.state.members.homes[CacheTier.EDGE].members)

    def export_state(self) -> dict[str, float]:
        """What a successor could only learn anew while it rejects requests; other versions read its keys."""
        slow_start, upstreams = self.state.members.slow_start, self.state.members.upstreams
        edges, parents = slow_start[CacheTier.EDGE], slow_start[CacheTier.PARENT]
        rates = {"edge_rate": edges.load_per_member, "fill_rate": parents.load_per_member}
        limits = {f"limit {name}": upstream.concurrency_limit for name, upstream in upstreams.items()}
        return rates | self.state.latency.export_state() | limits

    def on_members(self, event: interface.MembersChanged) -> None:
        """Follow the list; what waits at members that have left goes elsewhere."""
        if event.failed:
            backoff = self.random.uniform(*SUBSCRIBE_BACKOFF_S)
            return self.actions.append(interface.SetTimer(backoff, SUBSCRIBE_TIMER))
        for upstream in self.state.members.update(event, self.now):
            self.actions += self.cancel_waiting(upstream)
        self.update_contention()

    def update_contention(self) -> None:
        """The list has changed, and so has how many routers' worth of sending meets at each member."""
        members = self.state.members
        parents = len(members.homes[CacheTier.PARENT])
        self.state.limits.set_contention(members.ready_edge_count, parents, len(members.origins))

    def on_request(self, received: interface.Request) -> None:
        """Take a request in; one under an id that is open is passed over, one of no class fails."""
        if received.id in self.requests:
            return
        kind = self.classes.get(received.class_name)
        if kind is None:
            return self.actions.append(interface.Fail(received.id))
        work, cost = self.state.latency.record_request(received)
        part, is_hot = self.state.hot_objects.record_request(received, self.now)
        deadline, draw = self.now + received.time_left, self.random.random()
        request = RequestState(received, kind, deadline, work, cost, draw, part, is_hot)
        self.requests[received.id] = request
        self.advance(request)

    def advance(self, request: RequestState) -> None:
        """Send the next attempt of a request, or give it its final answer at once."""
        if request.attempts and not self.attempts.may_retry(request, self.now):
            return self.give_up(request, "retries_exhausted")
        self.attempts.charge_budget(request)
        route = self.selector.next_route(request, self.now)
        if isinstance(route, str):
            return self.give_up(request, route)
        self.actions.append(self.attempts.send(request, *route, self.now))

    def on_attempt_ended(self, event: interface.AttemptEnded) -> None:
        """Settle an attempt: health first, then the request's next step."""
        request = self.requests.get(event.request)
        attempt = None if request is None else request.settle(event.attempt)
        if request is None or attempt is None:
            return
        self.report(attempt.target, dict(event.load_report))
        self.actions += self.results.handle(request, attempt, event, self.now)
        self.attempts.finish(request, attempt, event.outcome)
        if event.final:
            self.close(event.request)
        elif event.outcome is not interface.Outcome.SERVED:
            self.advance(request)

    def report(self, upstream: Upstream, load: dict[str, float]) -> None:
        """A member's own load report."""
        if upstream.tier is CacheTier.EDGE:
            if upstream.ejected and load.get("x0") == 0.0:
                # Empty after silence: it has restarted, and the list will say so seconds later. At full pace
                # until then, all routers of a zone pushed the first one that was back over.
                self.state.members.mark_restarted(upstream, self.now)
                self.update_contention()
                self.actions.append(interface.LogMessage(f"{upstream.member.name} is back empty"))
            self.state.zone_load.report(upstream.member.name, load, self.now)
        self.state.limits.report(upstream, load, self.now)

    def cancel_waiting(self, upstream: Upstream) -> Iterator[interface.Action]:
        """Cancel what waits at a member just ejected: it can go elsewhere while there is time."""
        for request in self.requests.values() if self.settings.can_cancel else ():
            if request.request_class.idempotency is not interface.Idempotency.IDEMPOTENT:
                continue
            last = request.unanswered_attempt
            if last is not None and (last.target is upstream or (last.source is upstream and last.fills)):
                yield interface.Cancel(request.received.id, len(request.attempts) - 1)

    def give_up(self, request: RequestState, cause: interface.RejectCause) -> None:
        """The final answer of a request without one, and its end."""
        self.actions.append(give_up(request, cause, self.settings.max_retry_after, self.random))
        self.close(request.received.id)

    def close(self, request_id: str) -> None:
        """End a request; outcomes still to come are passed over."""
        if request_id not in self.requests:
            return
        request = self.requests.pop(request_id)
        for attempt in request.attempts:
            if not attempt.ended:
                self.attempts.finish(request, attempt)
