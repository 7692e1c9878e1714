"""The servers of the resolver: how each does, and which is queried next."""

import math
import random
from collections.abc import Iterable

from paddlequay.discovery.resolver_types import Lookup, ResolverLimits, Server, ServerHealth

LATENCY_GAIN = 0.3  # of the newest latency in the smoothed one
JITTER = (0.75, 1.25)  # of a backoff, so that routers do not come back in step
MAX_DOUBLINGS = 10


class DnsServers:
    """The servers in the order of the settings, with the health of each. Raises ValueError without any."""

    def __init__(self, addresses: Iterable[Server], rng: random.Random, limits: ResolverLimits) -> None:
        self.addresses = list(dict.fromkeys(addresses))
        if not self.addresses:
            raise ValueError("expected at least one server")
        self.rng, self.limits = rng, limits
        self.health = {address: ServerHealth() for address in self.addresses}

    def __len__(self) -> int:
        return len(self.addresses)

    def choose(self, tried_servers: list[Server], now: float) -> Server:
        """The best server not tried yet, or the best of all where each was.

        By health: who is not passed over first, then who answers soonest, in bands that keep the order.
        """

        def rank(server: Server) -> tuple[bool, bool, int, int]:
            health = self.health[server]
            band = int(math.log2(max(health.smoothed_latency, 0.001) * 1000))
            place = self.addresses.index(server)
            return (server in tried_servers, now < health.backoff_until, band // 2, place)

        return min(self.addresses, key=rank)

    def record_success(self, lookup: Lookup, now: float) -> None:
        """The server of a lookup has answered."""
        health = self.health[lookup.question.server]
        latency = max(0.0, now - lookup.sent_at)
        health.smoothed_latency += LATENCY_GAIN * (latency - health.smoothed_latency)
        health.failures = 0
        health.backoff_until = -math.inf

    def record_failure(self, lookup: Lookup, why: str, now: float) -> None:
        """The server of a lookup has failed: from the second failure in a row on it is passed over."""
        limits, health = self.limits, self.health[lookup.question.server]
        health.failures += 1
        health.counts[why] += 1
        if health.failures >= 2:
            pause = limits.min_server_backoff * 2 ** min(MAX_DOUBLINGS, health.failures - 2)
            health.backoff_until = now + min(limits.max_server_backoff, pause) * self.rng.uniform(*JITTER)
