"""Ownership claims: which other node has said that it is the home of an object.

Homes are a function of the topology's version, so of two nodes that both take themselves for the home the one
with the later version is right.
"""

from collections import OrderedDict
from dataclasses import dataclass

from paddlequay.hierarchy.copy_cache import PartKey

MAX_CLAIMS = 20_000


@dataclass(frozen=True, slots=True)
class AcceptedClaim:
    """A claim in force: the node, the topology version it claims by, and until when (Unix seconds)."""

    node: str
    topology_version: int
    valid_until: float


class OwnershipClaims:
    """The claims that a node has accepted, at most `MAX_CLAIMS`.

    Args:
        own_name: The name of this node.
        lifetime_s: For how many seconds a claim holds without being made again.
    """

    def __init__(self, own_name: str, lifetime_s: float) -> None:
        self.own_name = own_name
        self.lifetime_s = lifetime_s
        self.topology_version = 0  # the version that this node knows
        self.claims: OrderedDict[PartKey, AcceptedClaim] = OrderedDict()  # the one made first, first

    def __len__(self) -> int:
        return len(self.claims)

    def accept(self, key: PartKey, node: str, topology_version: int, now: float) -> bool:
        """Accepts a claim unless a later topology or a claim by one is known; returns whether it did.

        Args:
            key: The object and part that are claimed.
            node: The node that claims them.
            topology_version: The version that it claims by.
            now: The time in Unix seconds.
        """
        if topology_version < self.topology_version or node == self.own_name:
            return False
        known = self.claims.get(key)
        if known is not None and known.topology_version > topology_version and known.valid_until > now:
            return False
        self.claims[key] = AcceptedClaim(node, topology_version, now + self.lifetime_s)
        self.claims.move_to_end(key)
        while len(self.claims) > MAX_CLAIMS:
            self.claims.popitem(last=False)
        return True

    def claimant(self, key: PartKey, now: float) -> str | None:
        """Returns the node that has claimed an object; None where no claim holds at `now` (Unix seconds)."""
        claim = self.claims.get(key)
        if claim is None or claim.valid_until <= now or claim.topology_version < self.topology_version:
            return None
        return claim.node

    def release(self, key: PartKey, node: str) -> None:
        """Drops the claim of a node that could not be reached."""
        claim = self.claims.get(key)
        if claim is not None and claim.node == node:
            del self.claims[key]

    def forget_expired(self, now: float) -> None:
        """Drops the claims that no longer hold at `now` (Unix seconds)."""
        while self.claims and next(iter(self.claims.values())).valid_until <= now:
            self.claims.popitem(last=False)
