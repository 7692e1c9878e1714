"""The one entry: hands each event to the parts that it concerns, and their actions back."""

import random
from collections.abc import Iterator

from paddlequay.routing import interface as say
from paddlequay.policy.answers import Answers
from paddlequay.policy.attempts import Attempts
from paddlequay.policy.beliefs import Beliefs
from paddlequay.policy.ladder import Ladder
from paddlequay.policy.refusals import give_up
from paddlequay.routing.state import Open, Server, Tier
from paddlequay.config.settings import check

ASK_AGAIN_S = (0.5, 1.5)  # for the list, after a failed call: discovery may be what is overloaded


class Router:
    """One router's decisions; `handle` is its only entry and keeps no clock, thread or file."""

    def __init__(self, settings: say.Settings, seed: int) -> None:
        check(settings)
        self.settings, self.random = settings, random.Random(seed)
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.open: dict[str, Open] = {}
        self.begun, self.now = False, 0.0
        self.actions: list[say.Action] = []
        self.know = know = Beliefs(settings, self.recall)
        self.ladder, self.attempts, self.answers = Ladder(know), Attempts(know), Answers(know)

    def handle(self, event: say.Event, now: float) -> list[say.Action]:
        """What to do about one event."""
        self.actions, self.now = [], now
        if not self.begun:
            self.begun = True
            if self.settings.must_ask:
                self.actions.append(say.Subscribe())
        match event:
            case say.MembersChanged():
                self.on_members(event)
            case say.Request():
                self.on_request(event)
            case say.AttemptEnded():
                self.on_ended(event)
            case say.Started() if event.request in self.open:
                self.open[event.request].streaming = True
            case say.ClientGone():
                self.close(event.request)
            case say.Surrender() if event.request in self.open:
                self.give_up(self.open[event.request], "surrender")
            case say.Inherited():
                self.know.members.inherit(event.knowledge)
                self.know.latency.inherit(event.knowledge)
                self.know.limits.inherit(self.know.members.servers.values(), event.knowledge)
            case say.FleetWord() if event.member in self.know.members.servers:
                self.know.health.told(self.know.members.servers[event.member], now)
            case say.HeldBy():
                self.know.hotness.told((event.key, event.part), event.member, now)
            case say.Purged():
                self.know.purges.add(event.group, event.key, now - event.age, now)
            case say.TimerDue(token="subscribe"):
                self.actions.append(say.Subscribe())
        return self.actions

    def names_of_edges(self) -> list[str]:
        """Whom requests go to first: their connections can be made beforehand."""
        return list(self.know.members.homes[Tier.EDGE].members)

    def knowledge(self) -> dict[str, float]:
        """What a process that replaces this one could only learn anew while it turns requests away."""
        cold, servers = self.know.members.cold, self.know.members.servers
        rates = {"edge_rate": cold[Tier.EDGE].rate, "fill_rate": cold[Tier.PARENT].rate}
        limits = {f"limit {name}": server.limit for name, server in servers.items()}
        return rates | self.know.latency.knowledge() | limits

    def on_members(self, event: say.MembersChanged) -> None:
        if event.failed:
            return self.actions.append(say.SetTimer(self.random.uniform(*ASK_AGAIN_S), "subscribe"))
        for server in self.know.members.follow(event, self.now):
            self.actions += self.recall(server)
        self.spread()

    def spread(self) -> None:
        """The list has changed, and so has how many routers' worth of sending meets at each member."""
        members = self.know.members
        self.know.limits.spread(members.everywhere, len(members.homes[Tier.PARENT]), len(members.origins))

    def on_request(self, request: say.Request) -> None:
        if request.id in self.open:
            return
        kind = self.kinds.get(request.class_name)
        if kind is None:
            return self.actions.append(say.Fail(request.id))
        work, cost = self.know.latency.ask(request)
        seen, hot = self.know.hotness.asked(request, self.now)
        item = Open(request, kind, self.now + request.left, work, cost, self.random.random(), seen, hot)
        self.open[request.id] = item
        self.advance(item)

    def advance(self, item: Open) -> None:
        """Send the next attempt of a request, or give it its final answer at once."""
        if item.attempts and not self.attempts.may_repeat(item, self.now):
            return self.give_up(item, "spent")
        self.attempts.weigh(item)
        step = self.ladder.step(item, self.now)
        if isinstance(step, str):
            return self.give_up(item, step)
        self.actions.append(self.attempts.send(item, *step, self.now))

    def on_ended(self, event: say.AttemptEnded) -> None:
        """Settle an attempt: health first, then the request's next step."""
        item = self.open.get(event.request)
        attempt = None if item is None else item.settle(event.attempt)
        if item is None or attempt is None:
            return
        self.report(attempt.target, dict(event.load))
        self.actions += self.answers.judge(item, attempt, event, self.now)
        self.attempts.end(item, attempt, event.outcome)
        if event.final:
            self.close(event.request)
        elif event.outcome is not say.Outcome.SERVED:
            self.advance(item)

    def report(self, server: Server, load: dict[str, float]) -> None:
        """A member's own word on its load."""
        if server.tier is Tier.EDGE:
            if server.skipped and load.get("x0") == 0.0:
                # Empty after silence: it has started anew, and the list will say so seconds later. At full
                # pace until then, all routers of a plaza pushed the first one that was back over.
                self.know.members.back_empty(server, self.now)
                self.spread()
                self.actions.append(say.Log(f"{server.entry.name} is back empty"))
            self.know.room.heard(server.entry.name, load, self.now)
        self.know.limits.report(server, load, self.now)

    def recall(self, server: Server) -> Iterator[say.Action]:
        """Recall what waits at a member just found failing: it can go elsewhere while there is time."""
        for item in self.open.values() if self.settings.can_cancel else ():
            last = item.waiting if item.kind.effect is say.Effect.SAFE else None
            if last is not None and (last.target is server or (last.source is server and last.fills)):
                yield say.Cancel(item.request.id, len(item.attempts) - 1)

    def give_up(self, item: Open, cause: say.Cause) -> None:
        self.actions.append(give_up(item, cause, self.settings.max_retry_after, self.random))
        self.close(item.request.id)

    def close(self, request: str) -> None:
        """End a request; outcomes still to come are no news."""
        if request in self.open:
            item = self.open.pop(request)
            for attempt in item.attempts:
                if not attempt.over:
                    self.attempts.end(item, attempt)
