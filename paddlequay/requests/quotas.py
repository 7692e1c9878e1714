"""What this process may hold of the router's limits: all, or a part while one process replaces another."""

from dataclasses import dataclass

from paddlequay.config.loader import Limits


@dataclass(frozen=True, slots=True)
class Held:
    """What the other process may hold at the most: it takes no more than it has told."""

    clients: int
    caches: int


class Shares:
    """The one limit on descriptors and memory holds for both processes together.

    The older one tells what it keeps, which only shrinks; the newer one may use what that leaves.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.clients = limits.client_connections
        self.caches = limits.all_cache_connections
        self.part = 1.0  # of the memory for unsent answers and waiting bodies

    def alone(self) -> None:
        """No other process any more."""
        self.clients, self.caches = self.limits.client_connections, self.limits.all_cache_connections
        self.part = 1.0

    def give(self, held: Held) -> None:
        """As the older process: keep this, and no more."""
        self.clients, self.caches, self.part = held.clients, held.caches, 0.5

    def beside(self, other: Held) -> None:
        """As the newer process: use what the older one leaves."""
        limits = self.limits
        self.clients = max(1, limits.client_connections - other.clients)
        self.caches = max(4, limits.all_cache_connections - limits.own_descriptors - other.caches)
        self.part = 0.5
