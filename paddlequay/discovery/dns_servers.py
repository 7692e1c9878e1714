"""Tracks the health of the DNS servers, and chooses the server for the next query."""

import math
import random
from collections.abc import Iterable

from paddlequay.discovery.resolver_types import PendingQuery, ResolverLimits, Server, ServerHealth

LATENCY_GAIN = 0.3  # weight of the latest sample in the smoothed latency
JITTER = (0.75, 1.25)  # range of factors of a backoff, so that routers do not retry in step
MAX_DOUBLINGS = 10
MIN_LATENCY_S = 0.001
MS_PER_S = 1000
LATENCY_BAND_OCTAVES = 2  # a band spans a factor of four; latencies in one band rank equal
MIN_FAILURES_FOR_BACKOFF = 2  # consecutive


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
            raise ValueError("expected at least one DNS server, got none")
        self.rng = rng
        self.limits = limits
        self.health = {address: ServerHealth() for address in self.addresses}

    def __len__(self) -> int:
        return len(self.addresses)

    def choose(self, tried_servers: list[Server], now: float) -> Server:
        """Returns the best server not tried yet, or the best of all if each was tried.

        Servers that are not in backoff come first. Among these, the server in the lowest band of latency is
        preferred; within a band, the order of the settings decides.
        """

        def rank(server: Server) -> tuple[bool, bool, int, int]:
            health = self.health[server]
            latency_ms = max(health.smoothed_latency, MIN_LATENCY_S) * MS_PER_S
            band = int(math.log2(latency_ms)) // LATENCY_BAND_OCTAVES
            return server in tried_servers, now < health.backoff_until, band, self.addresses.index(server)

        return min(self.addresses, key=rank)

    def record_success(self, query: PendingQuery, now: float) -> None:
        """Records that the server of a query has answered, and updates its smoothed latency."""
        health = self.health[query.question.server]
        latency = max(0.0, now - query.sent_at)
        health.smoothed_latency += LATENCY_GAIN * (latency - health.smoothed_latency)
        health.failures = 0
        health.backoff_until = -math.inf

    def record_failure(self, query: PendingQuery, why: str, now: float) -> None:
        """Records that the server of a query has failed.

        From the second failure in a row, the server is in backoff.
        """
        limits = self.limits
        health = self.health[query.question.server]
        health.failures += 1
        health.counts[why] += 1
        if health.failures >= MIN_FAILURES_FOR_BACKOFF:
            doublings = min(MAX_DOUBLINGS, health.failures - MIN_FAILURES_FOR_BACKOFF)
            backoff = min(limits.max_server_backoff, limits.min_server_backoff * 2**doublings)
            health.backoff_until = now + backoff * self.rng.uniform(*JITTER)
