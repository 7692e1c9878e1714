"""Runs a node's fills as requests through the exchange, by the same rules as any other request."""

from collections.abc import Callable, Mapping

from paddlequay.hierarchy.copy_cache import CachedCopy
from paddlequay.hierarchy.fill_leases import SourceKind
from paddlequay.hierarchy.fill_path import Keyring
from paddlequay.hierarchy.fill_requests import (
    Action,
    FillResult,
    OwnershipClaim,
    PeerIntroduction,
    StartFill,
)
from paddlequay.hierarchy.node import CacheNode
from paddlequay.hierarchy.source_fallback import CACHE_KIND
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability.counters import Counters
from paddlequay.placement.homes import object_key
from paddlequay.protocol.endpoint_watch import Endpoint
from paddlequay.protocol.fill_messages import encode_claim, signing_context
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AnswerStatus, ClientRequest, FinalAnswer
from paddlequay.routing.interface import Member, ReplyDetail


class FillDriver:
    """Carries out the node's orders to start fills and to introduce peers.

    Args:
        node: The node.
        exchange: Runs the fills.
        pool: The connections to other nodes.
        keyring: Signs the paths of fills.
        counters: The program's counters.
        execute: Carries out the actions that the node returns at the end of a fill.
    """

    def __init__(
        self,
        node: CacheNode,
        exchange: Exchange,
        pool: ConnectionPool,
        keyring: Keyring,
        counters: Counters,
        execute: Callable[[list[Action]], None],
    ) -> None:
        self.node = node
        self.exchange = exchange
        self.pool = pool
        self.keyring = keyring
        self.counters = counters
        self.execute = execute
        self.own_address = ("", 0)  # sent with ownership claims
        self.last_fill_id = 0
        self.in_flight = 0

    def start(self, order: StartFill) -> None:
        """Starts a fill."""
        self.last_fill_id += 1
        self.in_flight += 1
        fill_id = f"{self.node.name}.{self.last_fill_id:x}"
        request = ClientRequest(
            id=fill_id,
            class_name=order.class_name,
            time_to_live=order.max_duration_s,
            object_name=order.key.object_name,
            key=object_key(order.key.object_name),
            part=order.key.part,
            group=None,
            fill=order.number,
            extra_fields=lambda target: self._extra_fields(order, fill_id, target),
        )
        self.exchange.submit(request, lambda answer: self._on_answer(order, answer))

    def introduce(self, peer: PeerIntroduction) -> None:
        """Adds a claimant that the topology does not list yet, so that fills can ask it."""
        member = Member(peer.name, None, CACHE_KIND, None, None, 1.0, self.exchange.scheduler.unix())
        self.counters.add("met")
        self.pool.update_endpoints((Endpoint(member, peer.address),), False)
        self.exchange.update_members((member,), False)

    def _extra_fields(self, order: StartFill, fill_id: str, target: str) -> Mapping[str, str]:
        """Returns the fields that a fill sends to another node: its path and any claim; none to an origin."""
        lease = self.node.leases.by_number.get(order.number)
        if lease is None or self._is_origin(target):
            return {}
        object_name, part = order.key
        signed = {"queue": order.class_name, "path": object_name, "blk": "" if part is None else str(part)}
        extra = {}
        if lease.source_kind is SourceKind.CACHED_COPY:
            extra["claim"] = encode_claim(OwnershipClaim(order.topology_version, self.own_address))
        context = signing_context(fill_id, signed | extra)
        extra["hops"] = self.keyring.encode(lease.path, context, self.exchange.scheduler.unix())
        return extra

    def _on_answer(self, order: StartFill, answer: FinalAnswer) -> None:
        self.in_flight -= 1
        result = self._result(answer)
        self.execute(self.node.on_fill_ended(order.number, result, self.exchange.scheduler.unix()))

    def _result(self, answer: FinalAnswer) -> FillResult:
        """Returns the result of a fill.

        A copy without a stamp is not used, as it may have been generated before a purge.
        """
        if answer.status is not AnswerStatus.SERVED:
            is_rejected = answer.status is AnswerStatus.REJECTED
            return FillResult(failure=answer.detail, is_rejected=is_rejected)
        stamp = answer.stamp
        if stamp is None:
            self.counters.add("fills_without_stamp")
            return FillResult(failure=ReplyDetail.ORIGIN_FAILED)
        copy = CachedCopy(answer.body, stamp.tag, stamp.generated_at, stamp.group)
        return FillResult(copy, from_origin=self._is_origin(answer.served_by))

    def _is_origin(self, name: str) -> bool:
        node = self.node.topology.nodes.get(name)
        return node is not None and node.is_origin
