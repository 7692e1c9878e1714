"""The quotas of this process: all of the router's limits, or a part while one process replaces another."""

from dataclasses import dataclass

from paddlequay.config.limits import Limits

MIN_CACHE_CONNECTIONS = 4
SHARED_MEMORY = 0.5  # of the memory for unsent answers and waiting bodies, while there are two processes


@dataclass(frozen=True, slots=True)
class QuotaInUse:
    """What the predecessor may hold at most from now on: the successor uses the rest."""

    client_connections: int
    cache_connections: int


class ProcessQuotas:
    """One limit on descriptors and memory that holds for both processes of a router together.

    The predecessor says what it keeps, which only shrinks; the successor may use what that leaves.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.client_connections = limits.client_connections
        self.cache_connections = limits.all_cache_connections
        self.memory_share = 1.0  # of the memory for unsent answers and waiting bodies

    def take_all(self) -> None:
        """There is no other process any more."""
        self.client_connections = self.limits.client_connections
        self.cache_connections = self.limits.all_cache_connections
        self.memory_share = 1.0

    def limit_to(self, in_use: QuotaInUse) -> None:
        """As the predecessor: keep this, and no more."""
        self.client_connections = in_use.client_connections
        self.cache_connections = in_use.cache_connections
        self.memory_share = SHARED_MEMORY

    def use_rest_of(self, predecessor: QuotaInUse) -> None:
        """As the successor: use what the predecessor leaves."""
        limits = self.limits
        self.client_connections = max(1, limits.client_connections - predecessor.client_connections)
        free = limits.all_cache_connections - limits.reserved_descriptors - predecessor.cache_connections
        self.cache_connections = max(MIN_CACHE_CONNECTIONS, free)
        self.memory_share = SHARED_MEMORY
