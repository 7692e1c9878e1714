"""The simulated network between routers: delay, loss, one-way cuts, partitions and flapping zones."""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from paddlequay.cluster.types import Peer
from paddlequay.lab.cluster_model_router import EventQueue, SimulatedRouter

FLAP_S = 2.0  # for so long a flapping zone is separated, and for so long connected

Deliver = Callable[[SimulatedRouter, bytes, Peer], None]


@dataclass(frozen=True, slots=True)
class LinkModel:
    """What links do to a datagram. Times are seconds one way, ratios are of all datagrams."""

    same_zone_s: float = 0.0005
    cross_zone_s: float = 0.008
    mean_jitter_s: float = 0.002
    loss_ratio: float = 0.0
    repeat_ratio: float = 0.0


class SimulatedNetwork:
    """Carries datagrams between routers with `deliver`; `log_event` records faults of the network."""

    def __init__(
        self,
        events: EventQueue,
        rng: random.Random,
        links: LinkModel,
        routers: Sequence[SimulatedRouter],
        deliver: Deliver,
        log_event: Callable[..., None],
    ) -> None:
        self._events = events
        self._rng = rng
        self._links = links
        self._routers = routers
        self._deliver = deliver
        self._log_event = log_event
        self.cuts: set[tuple[Peer, Peer]] = set()  # one-way: from a sender to a receiver
        self.lost: Counter[str] = Counter()

    def transmit(self, sender: SimulatedRouter, receiver: SimulatedRouter, data: bytes) -> None:
        """Sends a datagram, which may be lost, delayed or repeated."""
        sender.sent_bytes += len(data)
        if self._loses(sender, receiver):
            self.lost["link"] += 1
            return
        links = self._links
        delay_s = links.same_zone_s if sender.zone == receiver.zone else links.cross_zone_s
        repeats = links.repeat_ratio and self._rng.random() < links.repeat_ratio
        for _ in range(2 if repeats else 1):
            jitter_s = self._rng.expovariate(1 / links.mean_jitter_s)
            total_s = delay_s + jitter_s + sender.extra_delay_s + receiver.extra_delay_s
            self._events.schedule(self._events.now + total_s, self._deliver, receiver, data, sender.number)

    def _loses(self, sender: SimulatedRouter, receiver: SimulatedRouter) -> bool:
        """Returns whether a datagram is lost; draws only where the routers are connected."""
        if (sender.number, receiver.number) in self.cuts:
            return True
        if sender.partition_side != receiver.partition_side:
            return True
        zones_separated = bool(sender.zone_partition_count or receiver.zone_partition_count)
        if sender.zone != receiver.zone and zones_separated:
            return True
        loss_ratio = max(self._links.loss_ratio, sender.loss_ratio, receiver.loss_ratio)
        return self._rng.random() < loss_ratio

    def flap_zone(self, zone: str, until: float) -> None:
        """Separates a zone from the others and connects it again, by turns."""
        now = self._events.now
        if now < until:
            self._change_zone_partition(zone, 1)
            self._events.schedule(now + FLAP_S, self._change_zone_partition, zone, -1)
            self._events.schedule(now + 2 * FLAP_S, self.flap_zone, zone, until)

    def _change_zone_partition(self, zone: str, change: int) -> None:
        self._log_event("part", zone, change)
        for router in self._routers:
            if router.zone == zone:
                router.zone_partition_count += change
                router.zone_partition_ended_at = self._events.now
