"""The descriptors and memory of this process: all of the router's limits, or a part during a hot restart."""

from dataclasses import dataclass

from paddlequay.config.limits import Limits

MIN_CACHE_CONNECTIONS = 4
SHARED_MEMORY_RATIO = 0.5  # of the memory for unsent answers and waiting bodies, for each of two processes


@dataclass(frozen=True, slots=True)
class QuotaInUse:
    """The connections that a predecessor may still hold; the successor may use the rest."""

    client_connections: int
    cache_connections: int


class ProcessQuotas:
    """Divides the limits of a router between its two processes during a hot restart.

    The predecessor reports what it still holds, which only shrinks; the successor uses what that leaves.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.client_connections = limits.client_connections
        self.cache_connections = limits.all_cache_connections
        self.memory_share = 1.0  # of the memory for unsent answers and waiting bodies

    def take_all(self) -> None:
        """Takes the whole limits: there is no other process."""
        self.client_connections = self.limits.client_connections
        self.cache_connections = self.limits.all_cache_connections
        self.memory_share = 1.0

    def limit_to(self, in_use: QuotaInUse) -> None:
        """Keeps the connections in use and no more, as the predecessor."""
        self.client_connections = in_use.client_connections
        self.cache_connections = in_use.cache_connections
        self.memory_share = SHARED_MEMORY_RATIO

    def use_rest_of(self, predecessor: QuotaInUse) -> None:
        """Uses what the predecessor leaves, as the successor."""
        limits = self.limits
        self.client_connections = max(1, limits.client_connections - predecessor.client_connections)
        free = limits.all_cache_connections - limits.reserved_descriptors - predecessor.cache_connections
        self.cache_connections = max(MIN_CACHE_CONNECTIONS, free)
        self.memory_share = SHARED_MEMORY_RATIO
