"""Joins the channels with the exchange: reads go in, fills ahead go out as requests of the router's own.

It sends requests that no client has sent, so it exists only where the cluster's settings name channels. Its
`asked`, `writing` and `over` are those of the exchange's `Watch`; who watches for several hands them on.
"""

from collections.abc import Callable, Sequence

from paddlequay.requests.messages import Ask, Attempt, Open, Reply, Verdict
from paddlequay.cluster.ahead import Ahead, channel_of
from paddlequay.cluster.channels import Channels
from paddlequay.cluster.types import Action, Name
from paddlequay.observability.counters import Counters
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import HeldBy, Note
from paddlequay.placement.homes import digest

OUT_MOST = 256  # fills ahead that are out; past it the next read of their channel asks again
LOOK_S = 1.0  # between two walks through all members for a digest that is not known


class ChannelFront:
    """One router's fills ahead. `tell` settles what the channels ask for; the clock is the cluster's."""

    def __init__(
        self,
        channels: Channels,
        zone: str,
        exchange: Exchange,
        counters: Counters,
        tell: Callable[[Sequence[Action]], None],
        clock: Callable[[], float],
    ) -> None:
        self.channels, self.zone, self.exchange = channels, zone, exchange
        self.counters, self.tell, self.clock = counters, tell, clock
        self.out: dict[str, Ahead] = {}  # by the request's id
        self.boxes: dict[Name, str] = {}  # members by digest, as many as are listed
        self.number = 0
        self.looked = -LOOK_S

    # --- as a watch ---

    def asked(self, item: Open) -> None:
        """A client's request is about to be taken in: tell the decisions who holds its part, and count it."""
        ask = item.ask
        if ask.id in self.out or ask.part is None or ask.class_name not in self.channels.rule.classes:
            return
        now = self.clock()
        box = self.channels.carried(channel_of(self.zone, ask.name), ask.part, now)
        member = None if box is None else self.member(box)
        if member is not None:
            self.counters.add("channels.hints")
            self.exchange.deliver(HeldBy(ask.key, ask.part, member))
        for ahead in self.channels.asked(ask.name, ask.class_name, ask.part, now):
            # Not inside the client's own request, which goes first.
            self.exchange.scheduler.later(0.0, lambda ahead=ahead: self.fill(ahead, ask))  # type: ignore[misc]

    def writing(self, attempt: Attempt) -> Note | None:
        """An attempt is about to be written: a fill ahead only by who owns its channel at this moment."""
        item = attempt.owner
        ahead = self.out.get(item.ask.id)
        if ahead is None or self.channels.may_fill(ahead, self.clock()) is not None:
            return None
        self.counters.add("channels.too_late")
        self.channels.failed(ahead, self.clock())
        self.exchange.withdraw(item)  # no member is to blame, and nobody else is to be asked
        return Note.OLD_TERM

    def over(self, item: Open) -> None:
        self.out.pop(item.ask.id, None)

    # --- fills ahead ---

    def fill(self, ahead: Ahead, like: Ask) -> None:
        """Ask for a part in the way of any request; what comes back is kept by the box alone."""
        now = self.clock()
        if len(self.out) >= OUT_MOST or self.channels.may_fill(ahead, now) is None:
            return self.channels.failed(ahead, now)
        self.number += 1
        told = {"chan": f"{ahead.channel:x}", "term": f"{ahead.term:x}"}
        ask = Ask(
            id=f"ahead.{self.number:x}",
            class_name=ahead.kind,
            ttl=self.exchange.router.kinds[ahead.kind].deadline,
            name=ahead.name,
            key=like.key,
            part=ahead.part,
            group=like.group,
            extra=lambda target: told,
        )
        self.out[ask.id] = ahead
        self.counters.add("channels.ahead")
        if self.exchange.ask(ask, lambda reply: self.filled(ahead, reply)) is None:
            self.out.pop(ask.id, None)

    def filled(self, ahead: Ahead, reply: Reply) -> None:
        now = self.clock()
        if reply.verdict is not Verdict.SERVED or not reply.source:
            self.counters.add("channels.ahead_failed")
            return self.channels.failed(ahead, now)
        self.boxes[digest(reply.source)] = reply.source
        self.tell(self.channels.filled(ahead, digest(reply.source), now))

    def member(self, box: Name) -> str | None:
        """The listed member of a digest."""
        name = self.boxes.get(box)
        if name is None and self.clock() - self.looked >= LOOK_S:
            self.looked = self.clock()
            self.boxes = {digest(each): each for each in self.exchange.members}
            name = self.boxes.get(box)
        return name if name in self.exchange.members else None
