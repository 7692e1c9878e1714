"""The quotas of this process: its share of the router's limits on descriptors and memory.

The share is the whole, except during a hot restart, when predecessor and successor process divide the limits.
"""

from dataclasses import dataclass

from paddlequay.config.limits import Limits

MIN_CACHE_CONNECTIONS = 4
SHARED_MEMORY_RATIO = 0.5  # share of each of two processes in the memory for unsent answers and bodies


@dataclass(frozen=True, slots=True)
class QuotaInUse:
    """The numbers of connections that the predecessor may keep; the successor may open the rest."""

    client_connections: int
    cache_connections: int


class ProcessQuotas:
    """Divides the limits of a router between its two processes during a hot restart.

    The predecessor reports the connections that it still has open, whose number only decreases; the successor
    uses the rest of the limits.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.client_connections = limits.client_connections
        self.cache_connections = limits.all_cache_connections
        self.memory_share = 1.0  # share of this process in the memory for unsent answers and bodies

    def take_all(self) -> None:
        """Uses the whole limits, because there is no other process."""
        self.client_connections = self.limits.client_connections
        self.cache_connections = self.limits.all_cache_connections
        self.memory_share = 1.0

    def limit_to(self, in_use: QuotaInUse) -> None:
        """Limits this process, as the predecessor, to the connections that it may keep."""
        self.client_connections = in_use.client_connections
        self.cache_connections = in_use.cache_connections
        self.memory_share = SHARED_MEMORY_RATIO

    def use_rest_of(self, predecessor: QuotaInUse) -> None:
        """Limits this process, as the successor, to what the predecessor leaves unused."""
        limits = self.limits
        self.client_connections = max(1, limits.client_connections - predecessor.client_connections)
        free = limits.all_cache_connections - limits.reserved_descriptors - predecessor.cache_connections
        self.cache_connections = max(MIN_CACHE_CONNECTIONS, free)
        self.memory_share = SHARED_MEMORY_RATIO
