"""Joins the channels with the exchange: reads go in, fills ahead go out as requests of the router's own.

It sends requests that no client has sent, so it exists only where the cluster's settings name channels. Its
`asked`, `writing` and `over` are those of the exchange's `Watch`; who watches for several hands them on.
"""

from collections.abc import Callable, Sequence

from paddlequay.cluster.channels import Channels
from paddlequay.cluster.prefetch import Ahead, channel_of
from paddlequay.cluster.types import Action, NameDigest
from paddlequay.observability.counters import Counters
from paddlequay.placement.homes import digest
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import (
    AnswerStatus,
    ClientRequest,
    FinalAnswer,
    PendingRequest,
    UpstreamAttempt,
)
from paddlequay.routing.interface import CopyReported, ReplyDetail

OUT_MOST = 256  # fills ahead that are out; past it the next read of their channel asks again
LOOK_S = 1.0  # between two walks through all members for a digest that is not known


class ChannelPrefetcher:
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
        self.boxes: dict[NameDigest, str] = {}  # members by digest, as many as are listed
        self.number = 0
        self.looked = -LOOK_S

    # --- as a watch ---

    def admit(self, item: PendingRequest) -> None:
        """A client's request is about to be taken in: tell the decisions who holds its part, and count it."""
        ask = item.request
        if ask.id in self.out or ask.part is None or ask.class_name not in self.channels.rule.classes:
            return
        now = self.clock()
        box = self.channels.carried(channel_of(self.zone, ask.object_name), ask.part, now)
        member = None if box is None else self.member(box)
        if member is not None:
            self.counters.add("channels.hints")
            self.exchange.deliver(CopyReported(ask.key, ask.part, member))
        for ahead in self.channels.asked(ask.object_name, ask.class_name, ask.part, now):
            # Not inside the client's own request, which goes first.
            self.exchange.scheduler.call_later(0.0, lambda ahead=ahead: self.fill(ahead, ask))  # type: ignore[misc]

    def before_write(self, attempt: UpstreamAttempt) -> ReplyDetail | None:
        """An attempt is about to be written: a fill ahead only by who owns its channel at this moment."""
        item = attempt.pending
        ahead = self.out.get(item.request.id)
        if ahead is None or self.channels.may_fill(ahead, self.clock()) is not None:
            return None
        self.counters.add("channels.too_late")
        self.channels.failed(ahead, self.clock())
        self.exchange.withdraw(item)  # no member is to blame, and nobody else is to be asked
        return ReplyDetail.STALE_TERM

    def request_ended(self, item: PendingRequest) -> None:
        self.out.pop(item.request.id, None)

    # --- fills ahead ---

    def fill(self, ahead: Ahead, like: ClientRequest) -> None:
        """Ask for a part in the way of any request; what comes back is kept by the box alone."""
        now = self.clock()
        if len(self.out) >= OUT_MOST or self.channels.may_fill(ahead, now) is None:
            return self.channels.failed(ahead, now)
        self.number += 1
        told = {"chan": f"{ahead.channel:x}", "term": f"{ahead.term:x}"}
        ask = ClientRequest(
            id=f"ahead.{self.number:x}",
            class_name=ahead.kind,
            time_to_live=self.exchange.router.classes[ahead.kind].deadline,
            object_name=ahead.name,
            key=like.key,
            part=ahead.part,
            group=like.group,
            extra_fields=lambda target: told,
        )
        self.out[ask.id] = ahead
        self.counters.add("channels.ahead")
        if self.exchange.submit(ask, lambda reply: self.filled(ahead, reply)) is None:
            self.out.pop(ask.id, None)

    def filled(self, ahead: Ahead, reply: FinalAnswer) -> None:
        now = self.clock()
        if reply.status is not AnswerStatus.SERVED or not reply.served_by:
            self.counters.add("channels.ahead_failed")
            return self.channels.failed(ahead, now)
        self.boxes[digest(reply.served_by)] = reply.served_by
        self.tell(self.channels.filled(ahead, digest(reply.served_by), now))

    def member(self, box: NameDigest) -> str | None:
        """The listed member of a digest."""
        name = self.boxes.get(box)
        if name is None and self.clock() - self.looked >= LOOK_S:
            self.looked = self.clock()
            self.boxes = {digest(each): each for each in self.exchange.members}
            name = self.boxes.get(box)
        return name if name in self.exchange.members else None
