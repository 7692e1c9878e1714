"""The servers of the resolver: the health of each, and the choice of the next one to query."""

import math
import random
from collections.abc import Iterable

from paddlequay.discovery.resolver_types import Lookup, ResolverLimits, Server, ServerHealth

LATENCY_GAIN = 0.3  # the weight of the newest latency in the smoothed one
JITTER = (0.75, 1.25)  # factors of a backoff, so that routers do not retry in step
MAX_DOUBLINGS = 10
MIN_LATENCY_S = 0.001
MS_PER_S = 1000
LATENCY_BAND_OCTAVES = 2  # servers within a factor of four keep the order of the settings
MIN_FAILURES_FOR_BACKOFF = 2  # in a row


class DnsServers:
    """The servers in the order of the settings, with the health of each.

    Args:
        addresses: The host and port of each server; duplicates are ignored.
        rng: Draws the jitter of backoffs.
        limits: The bounds of backoffs.

    Raises:
        ValueError: If there is no server.
    """

    def __init__(self, addresses: Iterable[Server], rng: random.Random, limits: ResolverLimits) -> None:
        self.addresses = list(dict.fromkeys(addresses))
        if not self.addresses:
            raise ValueError("expected at least one server")
        self.rng = rng
        self.limits = limits
        self.health = {address: ServerHealth() for address in self.addresses}

    def __len__(self) -> int:
        return len(self.addresses)

    def choose(self, tried_servers: list[Server], now: float) -> Server:
        """Returns the best server not tried yet, or the best of all if each was tried.

        Servers without backoff come first, then those with the lower latency, in bands; within a band the
        order of the settings decides.
        """

        def rank(server: Server) -> tuple[bool, bool, int, int]:
            health = self.health[server]
            latency_ms = max(health.smoothed_latency, MIN_LATENCY_S) * MS_PER_S
            band = int(math.log2(latency_ms)) // LATENCY_BAND_OCTAVES
            return server in tried_servers, now < health.backoff_until, band, self.addresses.index(server)

        return min(self.addresses, key=rank)

    def record_success(self, lookup: Lookup, now: float) -> None:
        """Records that the server of a lookup has answered, with the latency of the answer."""
        health = self.health[lookup.question.server]
        latency = max(0.0, now - lookup.sent_at)
        health.smoothed_latency += LATENCY_GAIN * (latency - health.smoothed_latency)
        health.failures = 0
        health.backoff_until = -math.inf

    def record_failure(self, lookup: Lookup, why: str, now: float) -> None:
        """Records that the server of a lookup has failed; after two failures in a row it backs off."""
        limits = self.limits
        health = self.health[lookup.question.server]
        health.failures += 1
        health.counts[why] += 1
        if health.failures >= MIN_FAILURES_FOR_BACKOFF:
            doublings = min(MAX_DOUBLINGS, health.failures - MIN_FAILURES_FOR_BACKOFF)
            backoff = min(limits.max_server_backoff, limits.min_server_backoff * 2**doublings)
            health.backoff_until = now + backoff * self.rng.uniform(*JITTER)
