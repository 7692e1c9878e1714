"""Connects the live channels to the exchange: records clients' reads, and sends prefetches as requests.

Prefetches are requests that no client has sent, so a prefetcher is created only if the cluster's settings
name channels. The exchange's interceptor calls `admit`, `before_write` and `request_ended`.
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

MAX_PENDING_PREFETCHES = 256  # a prefetch beyond it is tried again at a later read of its channel
MEMBER_SCAN_INTERVAL_S = 1.0  # between two scans of all members, which an unknown digest causes


class ChannelPrefetcher:
    """Sends one router's prefetches, and passes owners' hints to its routing decisions."""

    def __init__(
        self,
        channels: Channels,
        zone: str,
        exchange: Exchange,
        counters: Counters,
        apply_actions: Callable[[Sequence[Action]], None],
        clock: Callable[[], float],
    ) -> None:
        """Initialises a prefetcher.

        Args:
            channels: The decisions on channels.
            zone: The router's zone.
            exchange: Executes prefetches in the same way as clients' requests.
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
        self.last_request_number = 0
        self.scanned_at = -MEMBER_SCAN_INTERVAL_S

    def admit(self, item: PendingRequest) -> None:
        """Records a client's read, passes on a hint about its part, and schedules the due prefetches."""
        request = item.request
        if not self.is_channel_read(request) or request.part is None:
            return
        now = self.clock()
        self.pass_hint(request, request.part, now)
        due = self.channels.record_read(request.object_name, request.class_name, request.part, now)
        for prefetch in due:
            # Deferred, so that the client's own request is sent first.
            self.exchange.scheduler.call_later(0.0, partial(self.send_prefetch, prefetch, request))

    def before_write(self, attempt: UpstreamAttempt) -> ReplyDetail | None:
        """Withdraws a prefetch if this router no longer owns its channel, and then returns the reason."""
        item = attempt.pending
        prefetch = self.pending.get(item.request.id)
        if prefetch is None or self.channels.writable_term(prefetch, self.clock()) is not None:
            return None
        self.counters.add("channels.too_late")
        self.channels.prefetch_failed(prefetch, self.clock())
        self.exchange.withdraw(item)  # without blaming a member or trying another one
        return ReplyDetail.STALE_TERM

    def request_ended(self, item: PendingRequest) -> None:
        """Removes a prefetch that has ended."""
        self.pending.pop(item.request.id, None)

    def is_channel_read(self, request: ClientRequest) -> bool:
        """Returns whether a request is from a client and of a class whose objects may be channels."""
        return request.id not in self.pending and request.class_name in self.channels.rule.classes

    def pass_hint(self, request: ClientRequest, part: int, now: float) -> None:
        """Reports to the routing decisions which member holds the part of a request, if a hint names one."""
        cache = self.channels.find_cache(channel_id(self.zone, request.object_name), part, now)
        member = None if cache is None else self.member_name(cache)
        if member is not None:
            self.counters.add("channels.hints")
            self.exchange.deliver(CopyReported(request.key, part, member))

    def member_name(self, cache: NameDigest) -> str | None:
        """Returns the name of the member with a digest, None if no listed member has it."""
        name = self.names_by_digest.get(cache)
        if name is None and self.clock() - self.scanned_at >= MEMBER_SCAN_INTERVAL_S:
            self.scanned_at = self.clock()
            self.names_by_digest = {digest(each): each for each in self.exchange.members}
            name = self.names_by_digest.get(cache)
        return name if name in self.exchange.members else None

    def send_prefetch(self, prefetch: Prefetch, read: ClientRequest) -> None:
        """Submits a prefetch as a request like the read that caused it; only the cache stores the answer."""
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
        """Returns the request for a prefetch, which carries the channel and the owner's term."""
        self.last_request_number += 1
        channel_fields = {"chan": f"{prefetch.channel:x}", "term": f"{prefetch.term:x}"}
        return ClientRequest(
            id=f"ahead.{self.last_request_number:x}",
            class_name=prefetch.class_name,
            time_to_live=self.exchange.router.classes[prefetch.class_name].deadline,
            object_name=prefetch.object_name,
            key=read.key,
            part=prefetch.part,
            group=read.group,
            extra_fields=lambda target: channel_fields,
        )

    def prefetch_ended(self, prefetch: Prefetch, answer: FinalAnswer) -> None:
        """Reports a filled part to the channel's followers, or records the failure."""
        now = self.clock()
        if answer.status is not AnswerStatus.SERVED or not answer.served_by:
            self.counters.add("channels.ahead_failed")
            self.channels.prefetch_failed(prefetch, now)
            return
        cache = digest(answer.served_by)
        self.names_by_digest[cache] = answer.served_by
        self.apply_actions(self.channels.prefetch_succeeded(prefetch, cache, now))
