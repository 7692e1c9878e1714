"""What this process may hold of the router's limits: all, or a part while one process replaces another."""

from dataclasses import dataclass

from paddlequay.config.limits import Limits


@dataclass(frozen=True, slots=True)
class QuotaInUse:
    """What the other process may hold at the most: it takes no more than it has told."""

    client_connections: int
    cache_connections: int


class ProcessQuotas:
    """The one limit on descriptors and memory holds for both processes together.

    The older one tells what it keeps, which only shrinks; the newer one may use what that leaves.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.client_connections = limits.client_connections
        self.cache_connections = limits.all_cache_connections
        self.memory_share = 1.0  # of the memory for unsent answers and waiting bodies

    def take_all(self) -> None:
        """No other process any more."""
        self.client_connections, self.cache_connections = (
            self.limits.client_connections,
            self.limits.all_cache_connections,
        )
        self.memory_share = 1.0

    def limit_to(self, held: QuotaInUse) -> None:
        """As the older process: keep this, and no more."""
        self.client_connections, self.cache_connections, self.memory_share = (
            held.client_connections,
            held.cache_connections,
            0.5,
        )

    def use_rest_of(self, other: QuotaInUse) -> None:
        """As the newer process: use what the older one leaves."""
        limits = self.limits
        self.client_connections = max(1, limits.client_connections - other.client_connections)
        self.cache_connections = max(
            4, limits.all_cache_connections - limits.reserved_descriptors - other.cache_connections
        )
        self.memory_share = 0.5
