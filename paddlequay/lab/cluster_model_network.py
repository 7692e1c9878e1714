"""The simulated network between routers: delay, loss, one-way cuts, partitions and flapping zones."""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from paddlequay.cluster.types import Peer
from paddlequay.lab.cluster_model_router import CallScheduler, SimulatedRouter

FLAP_INTERVAL_S = 2.0  # a flapping zone is alternately separated and connected, each for this time

Deliver = Callable[[SimulatedRouter, bytes, Peer], None]


@dataclass(frozen=True, slots=True)
class LinkModel:
    """Delay, loss and duplication on links. Times are one-way, in seconds; ratios are of all datagrams."""

    same_zone_s: float = 0.0005
    cross_zone_s: float = 0.008
    mean_jitter_s: float = 0.002
    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0


class SimulatedNetwork:
    """Carries datagrams between routers with `deliver`; `log_event` records faults of the network."""

    def __init__(
        self,
        scheduler: CallScheduler,
        rng: random.Random,
        links: LinkModel,
        routers: Sequence[SimulatedRouter],
        deliver: Deliver,
        log_event: Callable[..., None],
    ) -> None:
        self._scheduler = scheduler
        self._rng = rng
        self._links = links
        self._routers = routers
        self._deliver = deliver
        self._log_event = log_event
        self.blocked_links: set[tuple[Peer, Peer]] = set()  # one-way: (sender, receiver)
        self.lost: Counter[str] = Counter()

    def transmit(self, sender: SimulatedRouter, receiver: SimulatedRouter, data: bytes) -> None:
        """Sends a datagram, which may be lost or duplicated, and is delayed otherwise."""
        sender.sent_bytes += len(data)
        if self._is_lost(sender, receiver):
            self.lost["link"] += 1
            return
        links = self._links
        delay_s = links.same_zone_s if sender.zone == receiver.zone else links.cross_zone_s
        is_duplicated = links.duplicate_ratio and self._rng.random() < links.duplicate_ratio
        for _ in range(2 if is_duplicated else 1):
            jitter_s = self._rng.expovariate(1 / links.mean_jitter_s)
            total_s = delay_s + jitter_s + sender.extra_delay_s + receiver.extra_delay_s
            self._scheduler.schedule(
                self._scheduler.now + total_s, self._deliver, receiver, data, sender.number
            )

    def _is_lost(self, sender: SimulatedRouter, receiver: SimulatedRouter) -> bool:
        """Returns whether a datagram is lost; draws a random number only if the routers are connected."""
        if (sender.number, receiver.number) in self.blocked_links:
            return True
        if sender.partition_side != receiver.partition_side:
            return True
        zones_separated = bool(sender.zone_partition_count or receiver.zone_partition_count)
        if sender.zone != receiver.zone and zones_separated:
            return True
        loss_ratio = max(self._links.loss_ratio, sender.loss_ratio, receiver.loss_ratio)
        return self._rng.random() < loss_ratio

    def flap_zone(self, zone: str, until: float) -> None:
        """Alternately separates a zone from the others and connects it again, until a true time."""
        now = self._scheduler.now
        if now < until:
            self._change_zone_partition(zone, 1)
            self._scheduler.schedule(now + FLAP_INTERVAL_S, self._change_zone_partition, zone, -1)
            self._scheduler.schedule(now + 2 * FLAP_INTERVAL_S, self.flap_zone, zone, until)

    def _change_zone_partition(self, zone: str, change: int) -> None:
        self._log_event("part", zone, change)
        for router in self._routers:
            if router.zone == zone:
                router.zone_partition_count += change
                router.zone_partition_ended_at = self._scheduler.now
