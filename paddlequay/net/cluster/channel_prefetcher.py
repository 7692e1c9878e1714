"""Joins the live channels with the exchange: counts clients' reads, and sends prefetches as requests.

It sends requests that no client has sent, so it exists only where the cluster's settings name channels. Its
`admit`, `before_write` and `request_ended` are those of the exchange's interceptor.
"""

from collections.abc import Callable, Sequence
from functools import partial

from paddlequay.cluster.channels import Channels
from paddlequay.cluster.prefetch import Prefetch, channel_id
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

MAX_PENDING_PREFETCHES = 256  # beyond it the next read of a channel tries again
MEMBER_SCAN_INTERVAL_S = 1.0  # between two scans of all members for an unknown digest


class ChannelPrefetcher:
    """Sends the prefetches of one router, and passes owners' hints to the routing decisions."""

    def __init__(
        self,
        channels: Channels,
        zone: str,
        exchange: Exchange,
        counters: Counters,
        apply_actions: Callable[[Sequence[Action]], None],
        clock: Callable[[], float],
    ) -> None:
        """Makes a prefetcher.

        Args:
            channels: The decisions on channels.
            zone: The router's zone.
            exchange: Executes the prefetches as it does clients' requests.
            counters: Counts hints and prefetches.
            apply_actions: Executes the actions that the channels return.
            clock: The cluster's clock, in seconds.
        """
        self.channels = channels
        self.zone = zone
        self.exchange = exchange
        self.counters = counters
        self.apply_actions = apply_actions
        self.clock = clock
        self.pending: dict[str, Prefetch] = {}  # by request id
        self.names_by_digest: dict[NameDigest, str] = {}  # of the listed members
        self.last_number = 0
        self.scanned_at = -MEMBER_SCAN_INTERVAL_S

    # --- as an interceptor ---

    def admit(self, item: PendingRequest) -> None:
        """Counts a client's read; passes the hint on its part to the decisions, and starts due prefetches."""
        request = item.request
        if not self.is_channel_read(request) or request.part is None:
            return
        now = self.clock()
        self.pass_hint(request, request.part, now)
        due = self.channels.record_read(request.object_name, request.class_name, request.part, now)
        for prefetch in due:
            # Not inside the client's own request, which goes first.
            self.exchange.scheduler.call_later(0.0, partial(self.send_prefetch, prefetch, request))

    def before_write(self, attempt: UpstreamAttempt) -> ReplyDetail | None:
        """Withdraws a prefetch whose channel this router does not own any more; returns the reason then."""
        item = attempt.pending
        prefetch = self.pending.get(item.request.id)
        if prefetch is None or self.channels.writable_term(prefetch, self.clock()) is not None:
            return None
        self.counters.add("channels.too_late")
        self.channels.prefetch_failed(prefetch, self.clock())
        self.exchange.withdraw(item)  # no member is at fault, and no other is to be tried
        return ReplyDetail.STALE_TERM

    def request_ended(self, item: PendingRequest) -> None:
        """Forgets a prefetch that has ended."""
        self.pending.pop(item.request.id, None)

    # --- reads ---

    def is_channel_read(self, request: ClientRequest) -> bool:
        """Returns whether a request is a client's, of a class that makes channels."""
        return request.id not in self.pending and request.class_name in self.channels.rule.classes

    def pass_hint(self, request: ClientRequest, part: int, now: float) -> None:
        """Tells the routing decisions which member holds the part of a request, if a hint is known."""
        cache = self.channels.find_cache(channel_id(self.zone, request.object_name), part, now)
        member = None if cache is None else self.member_name(cache)
        if member is not None:
            self.counters.add("channels.hints")
            self.exchange.deliver(CopyReported(request.key, part, member))

    def member_name(self, cache: NameDigest) -> str | None:
        """Returns the listed member of a digest, None if no listed member has it."""
        name = self.names_by_digest.get(cache)
        if name is None and self.clock() - self.scanned_at >= MEMBER_SCAN_INTERVAL_S:
            self.scanned_at = self.clock()
            self.names_by_digest = {digest(each): each for each in self.exchange.members}
            name = self.names_by_digest.get(cache)
        return name if name in self.exchange.members else None

    # --- prefetches ---

    def send_prefetch(self, prefetch: Prefetch, read: ClientRequest) -> None:
        """Submits a prefetch as a request like the read that led to it; only the cache keeps the answer."""
        now = self.clock()
        has_capacity = len(self.pending) < MAX_PENDING_PREFETCHES
        if not has_capacity or self.channels.writable_term(prefetch, now) is None:
            self.channels.prefetch_failed(prefetch, now)
            return
        request = self.prefetch_request(prefetch, read)
        self.pending[request.id] = prefetch
        self.counters.add("channels.ahead")
        if self.exchange.submit(request, partial(self.prefetch_ended, prefetch)) is None:
            self.pending.pop(request.id, None)

    def prefetch_request(self, prefetch: Prefetch, read: ClientRequest) -> ClientRequest:
        """Returns the request of a prefetch, which carries the channel and the owner's term."""
        self.last_number += 1
        channel_fields = {"chan": f"{prefetch.channel:x}", "term": f"{prefetch.term:x}"}
        return ClientRequest(
            id=f"ahead.{self.last_number:x}",
            class_name=prefetch.class_name,
            time_to_live=self.exchange.router.classes[prefetch.class_name].deadline,
            object_name=prefetch.object_name,
            key=read.key,
            part=prefetch.part,
            group=read.group,
            extra_fields=lambda target: channel_fields,
        )

    def prefetch_ended(self, prefetch: Prefetch, answer: FinalAnswer) -> None:
        """Reports a filled part to the channel's followers, or notes the failure."""
        now = self.clock()
        if answer.status is not AnswerStatus.SERVED or not answer.served_by:
            self.counters.add("channels.ahead_failed")
            self.channels.prefetch_failed(prefetch, now)
            return
        cache = digest(answer.served_by)
        self.names_by_digest[cache] = answer.served_by
        self.apply_actions(self.channels.prefetch_succeeded(prefetch, cache, now))
