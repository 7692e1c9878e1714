"""Ownership claims: which other node has claimed to be the home of an object.

The topology determines the homes, so of two nodes that both claim an object the one with the later topology
version is right.
"""

from collections import OrderedDict
from dataclasses import dataclass

from paddlequay.hierarchy.copy_cache import PartKey

MAX_CLAIMS = 20_000


@dataclass(frozen=True, slots=True)
class AcceptedClaim:
    """An accepted claim: the claimant, its topology version, and when the claim expires (Unix seconds)."""

    node: str
    topology_version: int
    valid_until: float


class OwnershipClaims:
    """The claims that a node has accepted, at most `MAX_CLAIMS`.

    Args:
        own_name: The name of this node.
        lifetime_s: For how many seconds a claim is valid unless it is renewed.
    """

    def __init__(self, own_name: str, lifetime_s: float) -> None:
        self.own_name = own_name
        self.lifetime_s = lifetime_s
        self.topology_version = 0  # of this node's topology
        self.claims: OrderedDict[PartKey, AcceptedClaim] = OrderedDict()  # in the order in which they expire

    def __len__(self) -> int:
        return len(self.claims)

    def accept(self, key: PartKey, node: str, topology_version: int, now: float) -> bool:
        """Accepts a claim, unless this node or a valid earlier claim has a later topology version.

        Args:
            key: The object and part that are claimed.
            node: The claimant.
            topology_version: The claimant's topology version.
            now: The time in Unix seconds.

        Returns:
            Whether the claim was accepted; a node's claim to itself never is.
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
        """Returns the node that has claimed an object; None if no claim is valid at `now` (Unix seconds)."""
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
        """Drops the claims that have expired at `now` (Unix seconds)."""
        while self.claims and next(iter(self.claims.values())).valid_until <= now:
            self.claims.popitem(last=False)
